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
	overdueFactor = 6
	// minOverdue and firstOverdue bound that wait, for kinds that are quick or not known.
	minOverdue, firstOverdue = 40 * time.Millisecond, 400 * time.Millisecond
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
func (b *hedgeBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.credit = min(hedgeBurst, b.credit+hedgeShare)
}

// spend takes one second send, if the budget holds it.
func (b *hedgeBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

// outcome is how one send of a request ended.
type outcome struct {
	target endpoint.Target
	answer wholeAnswer
	err    error
}

// ran reports whether the endpoint may have run the request.
func (o outcome) ran() bool {
	return !o.answer.notRun && (o.err == nil || !notRun(o.err))
}

// good reports whether the caller can have the answer.
func (o outcome) good() bool { return o.err == nil && !o.answer.notRun }

// send sends the request to the target and returns how it ended. An idempotent request
// whose answer is overdue goes to a second endpoint as well, and the first good answer
// counts; the other send is canceled.
func (c *call) send(ctx context.Context) outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan outcome, 2)
	c.start(ctx, c.target, ended)
	var overdue <-chan time.Time
	if c.mayRepeat() {
		c.hedges.earn()
		t := time.NewTimer(c.overdue())
		defer t.Stop()
		overdue = t.C
	}
	for waiting := 1; ; {
		select {
		case o := <-ended:
			waiting--
			if !o.ran() {
				c.attempts--
			}
			if o.good() || waiting == 0 {
				return o
			}
			c.target = o.target
			c.miss(ctx, o)
		case <-overdue:
			c.Directory.Overdue(c.target, time.Now())
			if t, ok := c.second(); ok {
				c.start(ctx, t, ended)
				waiting++
			}
		}
	}
}

// start sends the request to an endpoint.
func (c *call) start(ctx context.Context, t endpoint.Target, ended chan<- outcome) {
	c.attempts++
	go func() {
		answer, err := c.exchange(ctx, t)
		c.Directory.Done(t)
		ended <- outcome{target: t, answer: answer, err: err}
	}()
}

// second picks another endpoint with a free slot for a request that is overdue.
func (c *call) second() (endpoint.Target, bool) {
	q := c.plainQuery()
	q.Depth = 0
	q.Avoid = map[string]bool{c.target.ID(): true}
	for id := range c.avoid {
		q.Avoid[id] = true
	}
	if !c.mayRepeat() || !c.hedges.spend() {
		return endpoint.Target{}, false
	}
	t, verdict := c.Directory.Pick(q, time.Now())
	c.Metrics.hedges.Inc()
	return t, verdict == endpoint.Picked
}

// overdue returns how long the answer may take before it is late for its kind.
func (c *call) overdue() time.Duration {
	usual, ok := c.Directory.Usual(c.route.Name())
	if !ok {
		return firstOverdue
	}
	return max(minOverdue, overdueFactor*usual)
}
