package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

const (
	// hedgeDelayFactor is how many times the typical time of its route a request may take
	// before it is hedged. It is above 4, as request sizes of one route differ by up to a
	// factor of four.
	hedgeDelayFactor = 6
	// minHedgeDelay is the shortest delay before a hedge, for routes that take very little
	// time; defaultHedgeDelay is the delay for routes whose typical time is unknown.
	minHedgeDelay, defaultHedgeDelay = 40 * time.Millisecond, 400 * time.Millisecond
	// hedgeShare is the share of repeatable requests that may be hedged, and hedgeBurst the
	// number of hedges that may be saved up: hedges must not double the load of a service
	// that is slow as a whole.
	hedgeShare, hedgeBurst = 0.1, 10
)

// hedgeBudget limits hedges to a share of the requests.
type hedgeBudget struct {
	mu sync.Mutex
	// credit is the number of hedges that may be sent now, 0 to hedgeBurst.
	credit float64
}

// deposit adds the credit that one request earns.
func (b *hedgeBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(hedgeBurst, b.credit+hedgeShare)
}

// withdraw takes the credit for one hedge and reports whether there was enough.
func (b *hedgeBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// refund returns the credit of a hedge that was not sent.
func (b *hedgeBudget) refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(hedgeBurst, b.credit+1)
}

// attemptResult is the result of one attempt of a request at an endpoint.
type attemptResult struct {
	target   endpoint.Target
	response bufferedResponse
	err      error
	// end closes the response and releases the endpoint. It must be called once the response has
	// been passed on.
	end func()
}

// mayHaveRun reports whether the endpoint may have run the request.
func (r attemptResult) mayHaveRun() bool {
	return !r.response.notRun && (r.err == nil || !notRun(r.err))
}

// succeeded reports whether there is a response that can be passed to the caller.
func (r attemptResult) succeeded() bool { return r.err == nil && !r.response.notRun }

// sendHedged sends the request to the current target and returns the result. If the
// request may be repeated and its response is late, it sends a hedge to another endpoint,
// returns the first success and cancels the other attempt. If no attempt succeeds, it
// returns the last result.
func (c *call) sendHedged(ctx context.Context) attemptResult {
	results := make(chan attemptResult, 2)
	cancels := map[string]context.CancelFunc{}
	cancelOthers := func(winner string) {
		for id, cancel := range cancels {
			if id != winner {
				cancel()
			}
		}
	}
	cancels[c.target.ID()] = c.startAttempt(ctx, c.target, results)
	var hedgeAfter <-chan time.Time
	if c.canRetry() {
		c.hedges.deposit()
		t := time.NewTimer(c.hedgeDelay())
		defer t.Stop()
		hedgeAfter = t.C
	}
	for pending := 1; ; {
		select {
		case result := <-results:
			pending--
			if !result.mayHaveRun() {
				c.attempts--
			}
			if result.succeeded() || pending == 0 {
				cancelOthers(result.target.ID())
				return result
			}
			c.target = result.target
			c.recordFailedAttempt(ctx, result)
		case <-hedgeAfter:
			c.Directory.RecordOverdue(c.target, time.Now())
			if t, ok := c.pickHedge(); ok {
				cancels[t.ID()] = c.startHedge(ctx, t, results)
				pending++
			}
		}
	}
}

// startAttempt sends the request to an endpoint in a new goroutine, which delivers the result;
// results must have room for it. The function that it returns cancels the attempt.
func (c *call) startAttempt(ctx context.Context, t endpoint.Target, results chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	c.attempts++
	repeatable := c.canRetry()
	go func() { results <- c.attemptAt(ctx, cancel, t, repeatable) }()
	return cancel
}

// attemptAt sends the request to an endpoint and returns the result. It releases the endpoint at
// once if the response has been read, and otherwise when ctx ends, by cancel or before.
func (c *call) attemptAt(ctx context.Context, cancel context.CancelFunc, t endpoint.Target, repeatable bool) attemptResult {
	response, closeResponse, err := c.roundTrip(ctx, t, repeatable)
	if closeResponse == nil {
		cancel()
		c.Directory.Release(t)
		return attemptResult{target: t, response: response, err: err, end: func() {}}
	}
	context.AfterFunc(ctx, func() { c.Directory.Release(t) })
	return attemptResult{target: t, response: response, end: func() {
		closeResponse()
		cancel()
	}}
}

// startHedge does the same for a hedge, which counts once more towards the customer's quota. A hedge
// beyond the quota, or to an endpoint that has stopped taking requests, is not sent.
func (c *call) startHedge(ctx context.Context, t endpoint.Target, results chan<- attemptResult) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	c.attempts++
	repeatable := c.canRetry()
	go func() {
		if !c.repeatWithinQuota(ctx) || !c.Directory.Usable(t, time.Now()) {
			cancel()
			c.Directory.Release(t)
			results <- attemptResult{target: t, response: bufferedResponse{notRun: true}}
			return
		}
		results <- c.attemptAt(ctx, cancel, t, repeatable)
	}()
	return cancel
}

// pickHedge picks another endpoint with a free slot for the hedge of a late request; it
// returns false if the request, the hedge budget or the endpoints do not permit one.
func (c *call) pickHedge() (endpoint.Target, bool) {
	q := c.plainQuery()
	q.MaxQueued, q.Unlimited = 0, true
	q.ExcludedIDs = map[string]bool{c.target.ID(): true}
	for id := range c.excludedIDs {
		q.ExcludedIDs[id] = true
	}
	if !c.canRetry() || !c.hedges.withdraw() {
		return endpoint.Target{}, false
	}
	t, result := c.Directory.Pick(q, time.Now())
	if result != endpoint.Picked {
		c.hedges.refund()
		return endpoint.Target{}, false
	}
	c.Metrics.hedges.Inc()
	return t, true
}

// hedgeDelay returns how long to wait for the response before the request is hedged.
func (c *call) hedgeDelay() time.Duration {
	typical, ok := c.Directory.TypicalTime(c.route.Name())
	if !ok {
		return defaultHedgeDelay
	}
	return max(minHedgeDelay, hedgeDelayFactor*typical)
}
