package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Priority determines the position of a request in the queue.
type Priority struct {
	// Rank is the rank of the route; 0 is served first.
	Rank int
	// Late is set if the program of the request can't be finished in time any more. Of
	// requests of equal rank, those that can are served first: late ones earn little, and
	// would make the others late too.
	Late bool
	// Begins is set if the request begins its program. Of requests that are equal in rank and
	// lateness, those of begun programs are served first: what these have used is lost if they are
	// late.
	Begins bool
	// DueAt is when the request or its program should be finished. Of requests that are equal
	// otherwise, the one that is due first is served first.
	DueAt time.Time
	// GiveUpAt is until when the request may wait for a service of which endpoints name rate
	// limits; zero is until its end. It has no influence on the order.
	GiveUpAt time.Time
}

// Before reports whether a request of priority p is served before one of priority
// other.
func (p Priority) Before(other Priority) bool {
	if p.Rank != other.Rank {
		return p.Rank < other.Rank
	}
	if p.Late != other.Late {
		return other.Late
	}
	if p.Begins != other.Begins {
		return other.Begins
	}
	return p.DueAt.Before(other.DueAt)
}

// Directory selects endpoints. It is implemented by *endpoint.Directory.
type Directory interface {
	// Pick selects an endpoint for a request and counts the request as running there. Of
	// the query, only Service, MaxQueued, MaxLoad, Once, Version and ExcludedIDs determine whether
	// an endpoint is free; the other fields determine which one is selected.
	Pick(q endpoint.Query, now time.Time) (endpoint.Target, endpoint.PickResult)
	// LimitedThroughput returns the rate at which requests of a kind can be sent to a
	// service, or false if none of its endpoints names a rate limit.
	LimitedThroughput(service, kind string, now time.Time) (endpoint.Throughput, bool)
	// Changed returns a channel that is closed when an endpoint may have room.
	Changed() <-chan struct{}
}

const (
	// maxGrantInterval is the maximum time between two attempts to serve waiting requests.
	// An endpoint may get room without a reported change, because the load reports of
	// other instances age.
	maxGrantInterval = 25 * time.Millisecond
	// maxPassedOver is how many lines of a service are passed over at most when an
	// endpoint may have become free; further ones are tried after maxGrantInterval.
	maxPassedOver = 32
	// overloadInterval is the time between two checks whether a waiting request will be
	// served in time.
	overloadInterval = 100 * time.Millisecond
)

// Queue holds the requests of all services that wait for an endpoint. It is safe for
// concurrent use.
type Queue struct {
	directory Directory
	mu        sync.Mutex
	// waitersByService holds the waiting requests of each service that has some.
	waitersByService map[string]*serviceWaiters
	lastArrival      uint64
	// granting is set while grantUntilEmpty runs.
	granting bool
}

// New returns an empty queue that takes endpoints from a directory.
func New(d Directory) *Queue {
	return &Queue{directory: d, waitersByService: map[string]*serviceWaiters{}}
}

// Waiting returns the number of requests that wait for a service.
func (q *Queue) Waiting(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if waiters, ok := q.waitersByService[service]; ok {
		return waiters.count
	}
	return 0
}

// Acquire waits until an endpoint is free that no request of higher priority can use, and
// returns that endpoint. It returns an error of KindNoEndpoint when the service has no
// usable endpoint for the request, of KindTimeout when ctx ends first, and of KindOverload when
// the rate limits of endpoints leave no room for the request before its GiveUpAt.
func (q *Queue) Acquire(ctx context.Context, priority Priority, query endpoint.Query) (endpoint.Target, error) {
	w := q.enqueue(priority, query)
	for {
		select {
		case <-w.decided:
			return w.target, w.decisionError()
		default:
		}
		if err := q.overload(w, time.Now()); err != nil {
			return q.leave(w, err)
		}
		select {
		case <-w.decided:
			return w.target, w.decisionError()
		case <-time.After(overloadInterval):
		case <-ctx.Done():
			return q.leave(w, Errorf("find endpoint", KindTimeout, "no endpoint of service %s had room in time", query.Service))
		}
	}
}

// leave removes a request from the queue and returns err, unless the request was decided in
// the meantime.
func (q *Queue) leave(w *waiter, err error) (endpoint.Target, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heapIndex < 0 {
		return w.target, w.decisionError()
	}
	q.waitersByService[w.query.Service].remove(w)
	q.dropIfEmpty(w.query.Service)
	return endpoint.Target{}, err
}

// enqueue adds a request to the queue. The first in its line is tried at once, after the
// requests of higher priority.
func (q *Queue) enqueue(priority Priority, query endpoint.Query) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiters := q.waitersByService[query.Service]
	if waiters == nil {
		waiters = newServiceWaiters()
		q.waitersByService[query.Service] = waiters
	}
	q.lastArrival++
	w := &waiter{priority: priority, query: query, arrival: q.lastArrival, decided: make(chan struct{})}
	waiters.add(w)
	if w.heapIndex == 0 {
		waiters.grant(q.directory, time.Now(), maxPassedOver, w)
	}
	q.dropIfEmpty(query.Service)
	if len(q.waitersByService) > 0 && !q.granting {
		q.granting = true
		go q.grantUntilEmpty()
	}
	return w
}

// dropIfEmpty forgets a service without waiting requests; q.mu must be held.
func (q *Queue) dropIfEmpty(service string) {
	if q.waitersByService[service].count == 0 {
		delete(q.waitersByService, service)
	}
}

// grantUntilEmpty assigns endpoints to waiting requests whenever some become free,
// until no request waits. At most one grantUntilEmpty runs for a queue.
func (q *Queue) grantUntilEmpty() {
	ticker := time.NewTicker(maxGrantInterval)
	defer ticker.Stop()
	tryAll := false
	for {
		changed := q.directory.Changed()
		if !q.grantEndpoints(time.Now(), tryAll) {
			return
		}
		select {
		case <-changed:
			tryAll = false
		case <-ticker.C:
			tryAll = true
		}
	}
}

// grantEndpoints assigns free endpoints to the first requests of each service that can use
// them, and releases requests of services without a usable endpoint. With tryAll set, it
// may pass over any number of lines. It reports whether any request still waits.
func (q *Queue) grantEndpoints(now time.Time, tryAll bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for service, waiters := range q.waitersByService {
		limit := maxPassedOver
		if tryAll {
			limit = waiters.Len()
		}
		waiters.grant(q.directory, now, limit, nil)
		q.dropIfEmpty(service)
	}
	q.granting = len(q.waitersByService) > 0
	return q.granting
}
