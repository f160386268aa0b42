package schedule

import (
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/queue"
)

// Call describes a model call to be scheduled.
type Call struct {
	// First is set for the first call of a program.
	First bool
	// PromptTokens counts the tokens of the whole prompt, cached ones included.
	PromptTokens int64
	// MaxOutputTokens is the most tokens that the call may generate.
	MaxOutputTokens int64
	// Exclusive is set for a call that must not run beside any other.
	Exclusive bool
}

// Ticket represents a call in the schedule, from Enqueue until Complete or Cancel.
type Ticket struct {
	programID program.ID
	program   *programState
	call      Call
	item      *queue.Item[*Ticket]
	arrivedAt time.Time
	// slotGrantedAt is when the call last got a slot.
	slotGrantedAt time.Time
	// service is the time that the call has held slots, up to the last release.
	service time.Duration
	// running is set while the call holds a slot.
	running bool
	// preempted is set once the call has been preempted; it is not preempted again.
	preempted bool
}

// Program returns the ID of the call's program.
func (t *Ticket) Program() program.ID { return t.programID }

// Call returns the description of the call. After a preemption its token counts
// are those passed to Requeue.
func (t *Ticket) Call() Call { return t.call }

// Rank returns the rank of the program.
func (t *Ticket) Rank() class.Rank { return t.program.class.Rank() }

// EnginePriority returns the rank that the engine should serve the call at. A call
// that must not be preempted gets the urgent rank: one that runs because of its
// rank's floor would otherwise wait again inside the engine.
func (t *Ticket) EnginePriority() class.Rank {
	if t.item.NonPreemptible() {
		return class.Urgent
	}
	return t.program.class.Rank()
}

// Running reports whether the call has a slot.
func (t *Ticket) Running() bool { return t.running }

// QueueTime returns how long the call has waited for a slot up to now, the waits
// after preemptions included.
func (t *Ticket) QueueTime(now time.Time) time.Duration {
	if t.running {
		return t.slotGrantedAt.Sub(t.arrivedAt) - t.service
	}
	return now.Sub(t.arrivedAt) - t.service
}

// programState is what a schedule keeps of a registered program.
type programState struct {
	class     *class.Class
	startedAt time.Time
	// attainedService is the service of the program's ended calls.
	attainedService time.Duration
	// totalPauses is the time that the program spent between calls in all.
	totalPauses time.Duration
	// idleSince is when the last call ended, or the time of registration.
	idleSince time.Time
	// remainingService is the expected service as last reported to admission.
	remainingService time.Duration
	// enqueuedCalls counts the calls queued since registration.
	enqueuedCalls int
	// contextTokens is how much of the program's context the engine holds; until the
	// first answer it is the mean of the class.
	contextTokens int64
	// predictedLatency is the latency that admission predicted; 0 means unknown.
	predictedLatency time.Duration
}

// classStats holds statistics about the programs of a class.
type classStats struct {
	service *class.ServiceEstimate
	// meanPauses is the mean time that a program spends between its calls in all.
	meanPauses       time.Duration
	finishedPrograms int
	// interTokenLatency is the mean latency at which service was learned; 0 means
	// that no call has completed.
	interTokenLatency time.Duration
	// meanContextTokens is the mean context size of a program at its end.
	meanContextTokens float64
}

const (
	// minProgramWeight is the least weight of a newly finished program in the means
	// of pauses and context size.
	minProgramWeight = 0.05
	// latencyWeight is the weight of a new call in a class's mean inter-token latency.
	latencyWeight = 0.002
)

func newClassStats() *classStats {
	return &classStats{service: class.NewServiceEstimate()}
}

// observeProgram updates the statistics with a finished program.
func (c *classStats) observeProgram(state *programState) {
	c.service.Observe(state.attainedService)
	c.finishedPrograms++
	weight := max(minProgramWeight, 1/float64(c.finishedPrograms))
	c.meanPauses += time.Duration(weight * float64(state.totalPauses-c.meanPauses))
	c.meanContextTokens += weight * (float64(state.contextTokens) - c.meanContextTokens)
}

// observeLatency updates the statistics with the inter-token latency that the
// engine had when a call ended.
func (c *classStats) observeLatency(latency time.Duration) {
	if c.interTokenLatency == 0 {
		c.interTokenLatency = latency
	}
	c.interTokenLatency += time.Duration(latencyWeight * float64(latency-c.interTokenLatency))
}
