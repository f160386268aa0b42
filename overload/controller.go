package overload

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

const (
	// DefaultLoad is the default of Config.Load. It leaves a tenth of the slots to turns that come back
	// from programs under way.
	DefaultLoad = 0.9
	// shareLoad is the load up to which programs of customers below their share begin.
	shareLoad = 1
	// overShareRatio is the part of the limit of the load up to which programs of customers over their
	// share begin: their programs go last, and have what nobody else takes.
	overShareRatio = 0.94
	// startSpan is how long after its start a front knows too little of the load of others, which they
	// report each 100 ms.
	startSpan = 200 * time.Millisecond
	// waitRatio is the part of its route's latency target that a beginning may wait; the rest is for
	// the engine.
	waitRatio = 0.25
	// defaultMaxWait is how long a beginning may wait on a route without a latency target.
	defaultMaxWait = 100 * time.Millisecond
	// defaultCost is the engine time that is expected of a turn of a kind that has not been seen yet.
	defaultCost = 100 * time.Millisecond
	// minRetryAfter is the shortest time to retry: load reports of other fronts arrive each 100 ms, of
	// which half is the least that can bring news.
	minRetryAfter = 50 * time.Millisecond
	// retryRatio bounds the time to retry to a part of the time left to the request. Callers honour up
	// to a third.
	retryRatio = 0.25
	// slackRatio bounds the time to retry to a part of the time left to the program, which it is better
	// spent on: in TestControlKeepsProgramsInTimeUnderOverload, a fixed time to retry of 500 ms left
	// 1,686 programs in time at 1.3 times the capacity, 50 ms left 2,041.
	slackRatio = 1.0 / 16
	// staleRatio is the part of its deadline that a program may have waited to begin while engines are
	// full. Deadlines are 1.2 to 1.5 times the time of a program that never waits; what it waits before
	// its first turn is missing for the waits before the later ones.
	staleRatio = 0.05
	// idleSpan is how long a service without turns is remembered at least.
	idleSpan = 10 * time.Second
	// waitedFrom is the time from which on a beginning counts as having waited; shorter waits are those
	// for locks and goroutines.
	waitedFrom = 2 * time.Millisecond
)

// Directory tells the load of services. It is implemented by *endpoint.Directory.
type Directory interface {
	// Capacity returns what is known of the load of a service; it must not add up all endpoints for
	// each call.
	Capacity(service string, now time.Time) endpoint.Capacity
	// TypicalTime returns the typical time of a kind of requests, and whether one has been seen.
	TypicalTime(kind string) (time.Duration, bool)
}

// Shares tells which customers are over their fair share of the engines.
type Shares interface {
	// Ask notes that a customer asks for engine time.
	Ask(customer string, cost time.Duration, now time.Time)
	// Over reports whether a customer is over its fair share of a capacity in slots, Under whether it is
	// clearly below it while others compete. Both may be false.
	Over(customer string, capacity float64, now time.Time) bool
	Under(customer string, capacity float64, now time.Time) bool
}

// Config holds the settings and dependencies of a Controller.
type Config struct {
	// Load is the ratio of running requests to slots from which on programs wait to begin, once engines
	// are full; 0 is DefaultLoad. Above 1 it counts on requests that wait inside engines.
	Load float64
	// Directory tells the load.
	Directory Directory
	// Shares tells the customers over their share; nil if customers have no shares.
	Shares Shares
	// Draw returns the next random number for times to retry, at least 0 and less than 1; nil is
	// rand.Float64. It is not called concurrently.
	Draw func() float64
}

// Controller decides which programs begin. It is safe for concurrent use.
type Controller struct {
	config    Config
	startedAt time.Time
	mu        sync.Mutex
	// services holds what is known of each service with turns within idleSpan, and of some without.
	services map[string]*service
}

// New returns a Controller that decides from startSpan after its creation on.
func New(c Config) *Controller {
	if c.Load <= 0 {
		c.Load = DefaultLoad
	}
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	return &Controller{config: c, startedAt: time.Now(), services: map[string]*service{}}
}

// Request describes a turn that begins its program.
type Request struct {
	// Service is the name of the service that is to run it.
	Service string
	// Kind groups requests that take about the same time, see endpoint.Query.
	Kind string
	// Customer is the name of the caller's customer, or empty.
	Customer string
	// Rank is its rank in the queue.
	Rank int
	// LatencyTarget is that of its route, 0 for none.
	LatencyTarget time.Duration
	// Deadline is when the request must have its response, ProgramDeadline when its program should be
	// finished.
	Deadline, ProgramDeadline time.Time
	// Waited is the time since the program was first to begin.
	Waited time.Duration
}

// stale reports whether the program has waited for so long that those that come now are more likely to
// be in time.
func (r Request) stale(now time.Time) bool {
	return r.Waited > 0 && r.Waited > time.Duration(staleRatio*float64(r.Waited+r.ProgramDeadline.Sub(now)))
}

// Begin decides on a turn that begins its program. An error, of type *Error, refuses it. A Beginning of
// nil says that the turn is to be served like any other.
func (c *Controller) Begin(r Request, now time.Time) (*Beginning, error) {
	capacity := c.config.Directory.Capacity(r.Service, now)
	if capacity.Slots == 0 || now.Sub(c.startedAt) < startSpan {
		return nil, nil
	}
	load := capacity.Load()
	c.ask(r, now)
	maxLoad, over := c.maxLoad(r, capacity, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(r.Service, now)
	s.observeLoad(load, c.config.Load, now)
	b := &Beginning{controller: c, request: r, askedAt: now, maxLoad: maxLoad, inputs: s.inputs(capacity)}
	if !s.full {
		b.maxLoad = 0
		s.waiting[rankIndex(r.Rank)]++
		return b, nil
	}
	maxWait := b.maxWait()
	b.giveUpAt = now.Add(maxWait)
	switch {
	case r.stale(now):
		return b, b.refuse(s, KindFull, now, "its program has waited "+r.Waited.Round(time.Millisecond).String())
	case over && load >= maxLoad:
		return b, b.refuse(s, KindShare, now, "its customer is over its fair share")
	case load >= maxLoad && s.total.expired > 0 && s.expectedWait(s.ahead(r.Rank)+1) > maxWait:
		// While none has waited in vain, the rate of admissions is that of demand and not of capacity.
		return b, b.refuse(s, KindFull, now, "it would wait "+s.expectedWait(s.ahead(r.Rank)+1).Round(time.Millisecond).String())
	}
	s.waiting[rankIndex(r.Rank)]++
	return b, nil
}

// ask notes the engine time that a program asks for: that of a turn for each of the turns that programs
// have on average. A retry asks for what its program has asked for before.
func (c *Controller) ask(r Request, now time.Time) {
	if c.config.Shares == nil || r.Customer == "" || r.Waited > 0 {
		return
	}
	cost, ok := c.config.Directory.TypicalTime(r.Kind)
	if !ok {
		cost = defaultCost
	}
	c.mu.Lock()
	turns := c.service(r.Service, now).turnsPerProgram()
	c.mu.Unlock()
	c.config.Shares.Ask(r.Customer, time.Duration(turns*float64(cost)), now)
}

// maxLoad returns the load up to which a turn may begin its program, and whether its customer is over its
// fair share.
func (c *Controller) maxLoad(r Request, capacity endpoint.Capacity, now time.Time) (maxLoad float64, over bool) {
	maxLoad = c.config.Load
	if c.config.Shares == nil || r.Customer == "" {
		return maxLoad, false
	}
	slots := float64(capacity.Slots)
	switch {
	case c.config.Shares.Over(r.Customer, slots, now):
		return overShareRatio * maxLoad, true
	case c.config.Shares.Under(r.Customer, slots, now):
		return max(maxLoad, shareLoad), false
	}
	return maxLoad, false
}

// Observe notes the load of a service at a turn that is not subject to admission control.
func (c *Controller) Observe(name string, now time.Time) {
	capacity := c.config.Directory.Capacity(name, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(name, now)
	s.observeLoad(capacity.Load(), c.config.Load, now)
	s.countTurn(false)
}

// service returns what is known of a service, as of now; c.mu must be held.
func (c *Controller) service(name string, now time.Time) *service {
	s, ok := c.services[name]
	if !ok {
		for other, s := range c.services {
			if now.Sub(s.lastAskedAt) > idleSpan && s.allWaiting() == 0 {
				delete(c.services, other)
			}
		}
		s = &service{}
		c.services[name] = s
	}
	s.lastAskedAt = now
	s.advance(int64(now.Sub(c.startedAt) / bucketSpan))
	return s
}

// LoadRatio returns the greatest ratio of running requests to slots among the services with recent
// turns, 0 without any.
func (c *Controller) LoadRatio(now time.Time) float64 {
	c.mu.Lock()
	names := make([]string, 0, len(c.services))
	for name := range c.services {
		names = append(names, name)
	}
	c.mu.Unlock()
	greatest := 0.0
	for _, name := range names {
		greatest = max(greatest, c.config.Directory.Capacity(name, now).Load())
	}
	return greatest
}

func (s *service) inputs(capacity endpoint.Capacity) Inputs {
	return Inputs{Capacity: capacity, MeanLoad: s.load, Waiting: s.allWaiting(), Admitted: s.total.admitted, Refused: s.total.refused}
}
