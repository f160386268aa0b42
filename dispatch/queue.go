package dispatch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Order is what a request is ordered by.
type Priority struct {
	// Rank is the rank of the route, 0 is first.
	Rank int
	// Slack is when the program must have a place to finish in time.
	StartBy time.Time
}

// Before reports whether o goes before p.
func (p Priority) Before(other Priority) bool {
	if p.Rank != other.Rank {
		return p.Rank < other.Rank
	}
	return p.StartBy.Before(other.StartBy)
}

// Directory picks endpoints; *endpoint.Directory is one.
type Directory interface {
	// Pick returns the endpoint for a request and counts the request there.
	Pick(q endpoint.Query, now time.Time) (endpoint.Target, endpoint.Verdict)
	// Changed returns a channel that is closed when an endpoint may have room.
	Changed() <-chan struct{}
}

// waiter is a request without an endpoint.
type waiter struct {
	priority  Priority
	query     endpoint.Query
	arrival   uint64
	heapIndex int
	target    endpoint.Target
	decided   chan struct{}
}

// line is the waiting requests of one service.
type waiterHeap struct {
	waiters []*waiter
}

// Len returns the number of waiting requests.
func (h *waiterHeap) Len() int { return len(h.waiters) }

// Less reports whether request i goes before request j.
func (h *waiterHeap) Less(i, j int) bool {
	a, b := h.waiters[i], h.waiters[j]
	if a.priority.Before(b.priority) {
		return true
	}
	if b.priority.Before(a.priority) {
		return false
	}
	return a.arrival < b.arrival
}

// Swap exchanges two requests.
func (h *waiterHeap) Swap(i, j int) {
	h.waiters[i], h.waiters[j] = h.waiters[j], h.waiters[i]
	h.waiters[i].heapIndex, h.waiters[j].heapIndex = i, j
}

// Push adds a request.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(h.waiters)
	h.waiters = append(h.waiters, w)
}

// Pop takes the last request out.
func (h *waiterHeap) Pop() any {
	n := len(h.waiters) - 1
	w := h.waiters[n]
	h.waiters[n] = nil
	h.waiters = h.waiters[:n]
	w.heapIndex = -1
	return w
}

// recheckInterval bounds how long the queue goes without a look at the endpoints
// when none reports a change; load reports of other instances age meanwhile.
const maxGrantInterval = 25 * time.Millisecond

// Queue holds the requests of all services that wait for an endpoint.
type Queue struct {
	directory        Directory
	mu               sync.Mutex
	waitersByService map[string]*waiterHeap
	lastArrival      uint64
	granting         bool
}

// New returns an empty queue over the endpoints of a directory.
func New(d Directory) *Queue {
	return &Queue{directory: d, waitersByService: map[string]*waiterHeap{}}
}

// Waiting returns the number of requests that wait for a service.
func (q *Queue) Waiting(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if waiters, ok := q.waitersByService[service]; ok {
		return waiters.Len()
	}
	return 0
}

// Acquire returns an endpoint for a request, when its turn comes; it returns an
// error of KindNone at once when the service has no usable endpoint for it, and of
// KindTimeout when ctx ends first.
func (q *Queue) Acquire(ctx context.Context, priority Priority, query endpoint.Query) (endpoint.Target, error) {
	q.mu.Lock()
	waiters := q.waitersByService[query.Service]
	if waiters == nil {
		waiters = &waiterHeap{}
		q.waitersByService[query.Service] = waiters
	}
	if waiters.Len() == 0 || priority.Before(waiters.waiters[0].priority) {
		target, verdict := q.directory.Pick(query, time.Now())
		if verdict == endpoint.Picked {
			q.mu.Unlock()
			return target, nil
		}
		if verdict == endpoint.None {
			q.mu.Unlock()
			return endpoint.Target{}, Errorf("find endpoint", KindNoEndpoint, "service %s has no usable endpoint besides %d tried", query.Service, len(query.Avoid))
		}
	}
	q.lastArrival++
	w := &waiter{priority: priority, query: query, arrival: q.lastArrival, decided: make(chan struct{})}
	heap.Push(waiters, w)
	if !q.granting {
		q.granting = true
		go q.grantUntilEmpty()
	}
	q.mu.Unlock()
	select {
	case <-w.decided:
		return w.target, w.decisionError()
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heapIndex < 0 {
		return w.target, w.decisionError()
	}
	heap.Remove(waiters, w.heapIndex)
	return endpoint.Target{}, Errorf("find endpoint", KindTimeout, "no endpoint of service %s had room in time", query.Service)
}

// err is the error of a waiter that was released without an endpoint.
func (w *waiter) decisionError() error {
	if w.target.Zero() {
		return Errorf("find endpoint", KindNoEndpoint, "service %s has no usable endpoint any more", w.query.Service)
	}
	return nil
}

// run gives places to waiting requests until none waits.
func (q *Queue) grantUntilEmpty() {
	ticker := time.NewTicker(maxGrantInterval)
	defer ticker.Stop()
	for {
		changed := q.directory.Changed()
		if !q.grantEndpoints(time.Now()) {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
		}
	}
}

// grant gives the free places to the first requests of each service; it reports
// whether any request still waits.
func (q *Queue) grantEndpoints(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := false
	for service, waiters := range q.waitersByService {
		for waiters.Len() > 0 {
			w := waiters.waiters[0]
			target, verdict := q.directory.Pick(w.query, now)
			if verdict == endpoint.Busy {
				break
			}
			heap.Pop(waiters)
			w.target = target
			close(w.decided)
		}
		if waiters.Len() == 0 {
			delete(q.waitersByService, service)
			continue
		}
		waiting = true
	}
	q.granting = waiting
	return waiting
}
