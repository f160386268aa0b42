package admission

import (
	"time"

	"github.com/lavendervale/lavendervale/class"
)

const (
	// targetQuantile is the share of programs that should finish within the corrected
	// prediction of their latency.
	targetQuantile = 0.95
	// correctionStep is the relative step by which one finished program moves the
	// correction.
	correctionStep = 0.05
	// minCorrection and maxCorrection bound the factor applied to predictions.
	minCorrection = 1.0
	maxCorrection = 8.0
	// memoryOvercommit is the size of the admitted programs' contexts as a multiple of
	// the engine's cache; it exceeds 1 because many programs pause at any time.
	memoryOvercommit = 1.5
	// initialCorrection is the correction before any program has finished.
	initialCorrection = 1.5
	// usageTimeConstant is the time constant of the moving average of slots in use.
	usageTimeConstant = 10 * time.Second
	// maxProgramsPerSlotWithoutEstimate bounds the admitted programs of a rank while
	// their service can't be estimated.
	maxProgramsPerSlotWithoutEstimate = 2
	// minRetryAfter and maxRetryAfter bound the time that a refused caller is asked to
	// wait.
	minRetryAfter = 500 * time.Millisecond
	maxRetryAfter = time.Minute
)

// Controller is the admission controller of one endpoint. It is not safe for concurrent
// use; its owner serializes access. The zero value is ready for use.
type Controller struct {
	// remainingService is the service that the admitted programs still need.
	remainingService [class.Ranks]time.Duration
	// programCounts counts the admitted programs.
	programCounts [class.Ranks]int
	usage         [class.Ranks]usage
	// corrections holds factors on predicted latencies; 0 stands for initialCorrection.
	corrections [class.Ranks]float64
}

// Request describes a program to be admitted and the state of the endpoint.
type Request struct {
	// Rank is the rank of its class.
	Rank class.Rank
	// Target is the time within which the program must finish.
	Target time.Duration
	// MeanService is the mean service of a program of its class.
	MeanService time.Duration
	// HasEstimate is set when MeanService is usable.
	HasEstimate bool
	// MeanPauses is the mean time that a program of its class spends between calls in
	// all.
	MeanPauses time.Duration
	// Slots is the number of calls that the engine runs at once.
	Slots int
	// FloorShare is a share of service, from 0 to 1. For an urgent program it is kept
	// for background work, for a background program it is kept for its own rank.
	FloorShare float64
	// Slowdown is how much longer service takes at a full engine than in the calls that
	// MeanService was measured in; less than 1 counts as 1.
	Slowdown float64
	// MeanContextTokens is the mean context size of a program of its class.
	MeanContextTokens int64
	// ContextTokens is the total context size of the admitted programs, by rank.
	ContextTokens [class.Ranks]int64
	// CacheTokens is the size of the engine's prompt cache, in tokens; 0 means that it
	// is unknown and bounds nothing.
	CacheTokens int64
}

// Decision is the result of an admission request.
type Decision struct {
	admitted         bool
	predictedLatency time.Duration
	retryAfter       time.Duration
}

// Admitted reports whether the program may start.
func (d Decision) Admitted() bool { return d.admitted }

// PredictedLatency returns the predicted latency of the program, without correction;
// 0 means that there was no estimate.
func (d Decision) PredictedLatency() time.Duration { return d.predictedLatency }

// RetryAfter returns how long to wait before the next attempt; 0 when admitted.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// New returns a controller without admitted programs.
func New() *Controller { return &Controller{} }

// Decide admits a program when its corrected latency prediction meets its target and
// its context fits the engine's cache: a program beyond that would evict the contexts
// of others. Decide doesn't add the program; the caller does so with AddProgram.
func (c *Controller) Decide(r Request, now time.Time) Decision {
	if !r.HasEstimate {
		return c.decideWithoutEstimate(r)
	}
	predicted := c.predictLatency(r, now)
	if !c.fitsCache(r) {
		return Decision{predictedLatency: predicted, retryAfter: minRetryAfter}
	}
	correctedLatency := time.Duration(float64(predicted) * c.correction(r.Rank))
	d := Decision{admitted: correctedLatency <= r.Target, predictedLatency: predicted}
	if !d.admitted {
		d.retryAfter = min(maxRetryAfter, max(minRetryAfter, correctedLatency-r.Target))
	}
	return d
}

// fitsCache reports whether the engine's cache can hold the program beside the admitted
// ones. Each rank may use its own share, whatever the other holds, and the first
// program of a rank always fits.
func (c *Controller) fitsCache(r Request) bool {
	if r.CacheTokens == 0 || c.programCounts[r.Rank] == 0 {
		return true
	}
	capacityTokens := memoryOvercommit * float64(r.CacheTokens)
	rankTokens := float64(r.ContextTokens[r.Rank] + r.MeanContextTokens)
	totalTokens := rankTokens
	for rank, tokens := range r.ContextTokens {
		if class.Rank(rank) != r.Rank {
			totalTokens += float64(tokens)
		}
	}
	if r.Rank == class.Urgent {
		return rankTokens <= capacityTokens*(1-r.FloorShare)
	}
	return totalTokens <= capacityTokens || rankTokens <= capacityTokens*r.FloorShare
}

// decideWithoutEstimate bounds the number of programs of a rank while too few of the
// class have finished to estimate their service.
func (c *Controller) decideWithoutEstimate(r Request) Decision {
	if c.programCounts[r.Rank] < maxProgramsPerSlotWithoutEstimate*max(1, r.Slots) {
		return Decision{admitted: true}
	}
	return Decision{retryAfter: minRetryAfter}
}

// predictLatency returns the time until the remaining service of the rank and the
// program's own is done, or the program's own service alone when that takes longer,
// plus its pauses.
func (c *Controller) predictLatency(r Request, now time.Time) time.Duration {
	available := float64(max(1, r.Slots)) * c.availableShare(r, now)
	slowdown := max(1, r.Slowdown)
	drainTime := time.Duration(slowdown * float64(c.remainingService[r.Rank]+r.MeanService) / available)
	return max(drainTime, time.Duration(slowdown*float64(r.MeanService))) + r.MeanPauses
}

// availableShare returns the share of the slots that the rank can count on: for urgent
// work all but the floor of background work, for background work what more urgent
// ranks leave, but at least its own floor.
func (c *Controller) availableShare(r Request, now time.Time) float64 {
	// minShare keeps the prediction finite when urgent work uses all slots and the rank
	// has no floor.
	const minShare = 0.02
	if r.Rank == class.Urgent {
		return 1 - r.FloorShare
	}
	usedSlots := 0.0
	for rank := class.Rank(0); rank < r.Rank; rank++ {
		usedSlots += c.usage[rank].meanSlots(now)
	}
	return max(minShare, r.FloorShare, 1-usedSlots/float64(max(1, r.Slots)))
}

// AddProgram adds a program with the service that it is expected to need.
func (c *Controller) AddProgram(rank class.Rank, expectedService time.Duration) {
	c.programCounts[rank]++
	c.remainingService[rank] += expectedService
}

// AdjustRemaining changes the service that one program of the rank is expected to need
// from before to after.
func (c *Controller) AdjustRemaining(rank class.Rank, before, after time.Duration) {
	c.remainingService[rank] = max(0, c.remainingService[rank]+after-before)
}

// RemoveProgram removes a program that has ended; remaining is the service that it was
// still expected to need.
func (c *Controller) RemoveProgram(rank class.Rank, remaining time.Duration) {
	c.programCounts[rank] = max(0, c.programCounts[rank]-1)
	c.remainingService[rank] = max(0, c.remainingService[rank]-remaining)
}

// ObserveLatency compares the latency of a finished program with its prediction and
// moves the correction so that the corrected prediction approaches targetQuantile of
// latencies (stochastic approximation of a quantile, after Robbins and Monro). A
// prediction of 0 is ignored.
func (c *Controller) ObserveLatency(rank class.Rank, predicted, actual time.Duration) {
	if predicted <= 0 {
		return
	}
	factor := c.correction(rank)
	if float64(actual) > factor*float64(predicted) {
		factor *= 1 + correctionStep*targetQuantile
	} else {
		factor *= 1 - correctionStep*(1-targetQuantile)
	}
	c.corrections[rank] = min(maxCorrection, max(minCorrection, factor))
}

// correction returns the factor on predicted latencies of a rank.
func (c *Controller) correction(rank class.Rank) float64 {
	if c.corrections[rank] == 0 {
		return initialCorrection
	}
	return c.corrections[rank]
}

// RecordUsage records slot time that a rank has used, as of now.
func (c *Controller) RecordUsage(rank class.Rank, service time.Duration, now time.Time) {
	c.usage[rank].add(service, now)
}

// RemainingService returns the service that the admitted programs of a rank are
// expected to need still.
func (c *Controller) RemainingService(rank class.Rank) time.Duration { return c.remainingService[rank] }

// Programs returns the number of admitted programs of a rank.
func (c *Controller) Programs(rank class.Rank) int { return c.programCounts[rank] }
