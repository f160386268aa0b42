package bench

import (
	"slices"
	"time"

	"github.com/lavendervale/lavendervale/class"
)

// result holds the measurements of one simulation. Programs count if they arrive
// after the warm-up, calls if they are answered within the measured interval.
type result struct {
	workload *workload
	scenario scenario
	policy   policy
	seed     uint64
	byRank   [class.Ranks]rankResult
	// promptTokens counts all prompt tokens, prefilledTokens those that engines
	// computed, also again after a preemption, and freshTokens those that no engine
	// can have cached because they were sent for the first time.
	promptTokens    int64
	prefilledTokens int64
	freshTokens     int64
	// answeredWork is the work of answered calls by rank; prompt tokens count only
	// when they are fresh.
	answeredWork [class.Ranks]tokenDemand
	// outputTokens counts the tokens generated in the measured interval.
	outputTokens int64
	// admissionRequests counts the requests to endpoints to admit a program.
	admissionRequests int64
	// moves counts the programs that moved because their home was leaving.
	moves       int64
	preemptions int64
	// backgroundFloor is the share of service that background work keeps when urgent
	// work floods the fleet.
	backgroundFloor float64
	// totalAdmitted counts all admitted programs, including those of the warm-up.
	totalAdmitted int
	// measuring is set during the measured interval.
	measuring bool
	// outputTokensAtStart and outputTokensAtEnd are the tokens generated since the
	// start of the simulation when the measured interval starts and ends.
	outputTokensAtStart int64
	outputTokensAtEnd   int64
}

// rankResult holds the measurements of the programs of one rank.
type rankResult struct {
	admitted int
	refused  int
	finished int
	// metTarget counts the programs that finished within their target.
	metTarget int
	// latencies holds the time from start to end of each finished program.
	latencies []time.Duration
	// firstTokenTimes holds the time from arrival at the endpoint to the first token
	// of each call, and tokenIntervals its mean time between tokens.
	firstTokenTimes []time.Duration
	tokenIntervals  []time.Duration
}

func newResult(w *workload, s scenario, p policy, seed uint64) *result {
	return &result{workload: w, scenario: s, policy: p, seed: seed}
}

// startMeasuring returns the event that starts the measured interval.
func (r *result) startMeasuring(sim *simulation) func() {
	return func() {
		r.measuring = true
		r.outputTokensAtStart = sim.generatedTokens()
	}
}

// stopMeasuring returns the event that ends the measured interval.
func (r *result) stopMeasuring(sim *simulation) func() {
	return func() {
		r.measuring = false
		r.outputTokensAtEnd = sim.generatedTokens()
	}
}

// generatedTokens returns the tokens that all engines have generated so far.
func (sim *simulation) generatedTokens() int64 {
	var n int64
	for _, e := range sim.endpoints {
		n += e.engine.generatedTokens
	}
	return n
}

// isMeasured reports whether a program arrives after the warm-up.
func isMeasured(p *programPlan) bool { return p.arrivalOffset >= warmUpTime }

func (r *result) recordAdmission(p *programPlan) {
	r.totalAdmitted++
	if isMeasured(p) {
		r.byRank[p.class.Rank()].admitted++
	}
}

func (r *result) recordRefusal(p *programPlan) {
	if isMeasured(p) {
		r.byRank[p.class.Rank()].refused++
	}
}

func (r *result) recordFinish(run *programRun) {
	if !isMeasured(run.plan) {
		return
	}
	rank := &r.byRank[run.plan.class.Rank()]
	latency := run.simulation.loop.now.Sub(run.startedAt)
	rank.finished++
	if latency <= run.plan.class.Target() {
		rank.metTarget++
	}
	rank.latencies = append(rank.latencies, latency)
}

// recordCall records an answered call. freshTokens counts the prompt tokens that
// no engine can have cached.
func (r *result) recordCall(run *programRun, call *activeCall, freshTokens int64) {
	if !r.measuring {
		return
	}
	r.promptTokens += call.promptTokens
	r.prefilledTokens += call.prefilledTokens
	r.freshTokens += freshTokens
	work := &r.answeredWork[run.plan.class.Rank()]
	work.promptTokens += float64(freshTokens)
	work.outputTokens += float64(call.outputTokens)
	if !call.firstTokenAt.IsZero() {
		rank := &r.byRank[run.plan.class.Rank()]
		rank.firstTokenTimes = append(rank.firstTokenTimes, call.firstTokenAt.Sub(call.arrivedAt))
		if call.outputTokens > 1 {
			rank.tokenIntervals = append(rank.tokenIntervals, run.simulation.loop.now.Sub(call.firstTokenAt)/time.Duration(call.outputTokens-1))
		}
	}
}

// finalize computes the totals and sorts the durations at the end of a simulation.
func (r *result) finalize(sim *simulation) {
	r.backgroundFloor = sim.endpoints[0].schedule.FloorShare(class.Background)
	r.outputTokens = r.outputTokensAtEnd - r.outputTokensAtStart
	for i := range r.byRank {
		slices.Sort(r.byRank[i].latencies)
		slices.Sort(r.byRank[i].firstTokenTimes)
		slices.Sort(r.byRank[i].tokenIntervals)
	}
}

// quantile returns the q-quantile of the latencies of finished programs.
func (r *rankResult) quantile(q float64) time.Duration { return quantile(r.latencies, q) }

// quantile returns the q-quantile of sorted, or 0 if it is empty.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// mean returns the mean latency of finished programs, or 0 if there are none.
func (r *rankResult) mean() time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	var sum time.Duration
	for _, l := range r.latencies {
		sum += l
	}
	return sum / time.Duration(len(r.latencies))
}

// metFraction returns the fraction of the admitted programs that met their
// target. A program that has not finished counts as missed.
func (r *rankResult) metFraction() float64 { return fraction(r.metTarget, r.admitted) }

// finishedFraction returns the fraction of the admitted programs that finished.
func (r *rankResult) finishedFraction() float64 { return fraction(r.finished, r.admitted) }

// fraction returns count/total, or 1 if total is 0.
func fraction(count, total int) float64 {
	if total == 0 {
		return 1
	}
	return float64(count) / float64(total)
}

// allRanks returns the counts and latencies of all ranks together.
func (r *result) allRanks() *rankResult {
	sum := &rankResult{}
	for i := range r.byRank {
		rank := &r.byRank[i]
		sum.admitted += rank.admitted
		sum.refused += rank.refused
		sum.finished += rank.finished
		sum.metTarget += rank.metTarget
		sum.latencies = append(sum.latencies, rank.latencies...)
	}
	slices.Sort(sum.latencies)
	return sum
}

// prefillRatio returns the prefilled tokens divided by the fresh ones. It is 1 if
// everything but the fresh tokens was cached.
func (r *result) prefillRatio() float64 {
	if r.freshTokens == 0 {
		return 1
	}
	return float64(r.prefilledTokens) / float64(r.freshTokens)
}

// workShare returns the share of the answered work that belongs to a rank.
func (r *result) workShare(rank class.Rank) float64 {
	e := defaultEngine()
	total := 0.0
	for _, d := range r.answeredWork {
		total += d.engineSeconds(e)
	}
	if total == 0 {
		return 0
	}
	return r.answeredWork[rank].engineSeconds(e) / total
}

// rankGoodput returns the answered work of a rank as a fraction of the fleet's
// capacity in the measured interval.
func (r *result) rankGoodput(rank class.Rank) float64 {
	return r.answeredWork[rank].engineSeconds(defaultEngine()) / ((arrivalTime - warmUpTime).Seconds() * float64(r.workload.engines))
}

// goodput returns the answered work of all ranks as a fraction of the fleet's
// capacity in the measured interval.
func (r *result) goodput() float64 {
	sum := tokenDemand{}
	for _, d := range r.answeredWork {
		sum.promptTokens += d.promptTokens
		sum.outputTokens += d.outputTokens
	}
	return sum.engineSeconds(defaultEngine()) / ((arrivalTime - warmUpTime).Seconds() * float64(r.workload.engines))
}

// outputTokensPerSecond returns the rate of generated tokens in the measured
// interval.
func (r *result) outputTokensPerSecond() float64 {
	return float64(r.outputTokens) / (arrivalTime - warmUpTime).Seconds()
}
