package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

const (
	// overdueFactor is how many usual times an idempotent request waits for its answer
	// before it is sent to another endpoint as well: sizes differ by up to four.
	hedgeDelayFactor = 6
	// minOverdue and firstOverdue bound that wait, for kinds that are quick or not known.
	minHedgeDelay, defaultHedgeDelay = 40 * time.Millisecond, 400 * time.Millisecond
	// hedgeShare is the share of the idempotent requests that may be sent twice, and
	// hedgeBurst how many may be at once: a service that is slow as a whole must not get
	// twice its load.
	hedgeShare, hedgeBurst = 0.1, 10
)

// hedgeBudget bounds second sends to a share of the requests.
type hedgeBudget struct {
	mu     sync.Mutex
	credit float64
}

// earn books a request.
func (b *hedgeBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(hedgeBurst, b.credit+hedgeShare)
}

// spend takes one second send, if the budget holds it.
func (b *hedgeBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// outcome is how one send of a request ended.
type attemptResult struct {
	target endpoint.Target
	response fullResponse
	err    error
}

// ran reports whether the endpoint may have run the request.
func (o attemptResult) mayHaveRun() bool {
	return !o.response.notRun && (o.err == nil || !notRun(o.err))
}

// good reports whether the caller can have the answer.
func (o attemptResult) succeeded() bool { return o.err == nil && !o.response.notRun }

// send sends the request to the target and returns how it ended. An idempotent request
// whose answer is overdue goes to a second endpoint as well, and the first good answer
// counts; the other send is canceled.
func (c *call) sendHedged(ctx context.Context) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan attemptResult, 2)
	c.startAttempt(ctx, c.target, ended)
	var hedgeAfter <-chan time.Time
	if c.canRetry() {
		c.hedges.deposit()
		t := time.NewTimer(c.hedgeAfter())
		defer t.Stop()
		hedgeAfter = t.C
	}
	for waiting := 1; ; {
		select {
		case o := <-ended:
			waiting--
			if !o.mayHaveRun() {
				c.attempts--
			}
			if o.succeeded() || waiting == 0 {
				return o
			}
			c.target = o.target
			c.recordFailedAttempt(ctx, o)
		case <-hedgeAfter:
			c.Directory.RecordOverdue(c.target, time.Now())
			if t, ok := c.pickHedge(); ok {
				c.startAttempt(ctx, t, ended)
				waiting++
			}
		}
	}
}

// start sends the request to an endpoint.
func (c *call) startAttempt(ctx context.Context, t endpoint.Target, ended chan<- attemptResult) {
	c.attempts++
	go func() {
		response, err := c.roundTrip(ctx, t)
		c.Directory.Release(t)
		ended <- attemptResult{target: t, response: response, err: err}
	}()
}

// second picks another endpoint with a free slot for a request that is overdue.
func (c *call) pickHedge() (endpoint.Target, bool) {
	q := c.plainQuery()
	q.MaxQueued = 0
	q.ExcludedIDs = map[string]bool{c.target.ID(): true}
	for id := range c.excludedIDs {
		q.ExcludedIDs[id] = true
	}
	if !c.canRetry() || !c.hedges.withdraw() {
		return endpoint.Target{}, false
	}
	t, verdict := c.Directory.Pick(q, time.Now())
	c.Metrics.hedges.Inc()
	return t, verdict == endpoint.Picked
}

// overdue returns how long the answer may take before it is late for its kind.
func (c *call) hedgeAfter() time.Duration {
	usual, ok := c.Directory.TypicalTime(c.route.Name())
	if !ok {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, hedgeDelayFactor*usual)
}
