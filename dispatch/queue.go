package dispatch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Priority determines the position of a request in the queue.
type Priority struct {
	// Rank is the rank of the route; 0 is served first.
	Rank int
	// DueAt is when the request or its program should be finished. Of requests of equal
	// rank, the one that is due first is served first.
	DueAt time.Time
}

// Before reports whether a request of priority p is served before one of priority
// other.
func (p Priority) Before(other Priority) bool {
	if p.Rank != other.Rank {
		return p.Rank < other.Rank
	}
	return p.DueAt.Before(other.DueAt)
}

// Directory selects endpoints. It is implemented by *endpoint.Directory.
type Directory interface {
	// Pick selects an endpoint for a request and counts the request as running there.
	Pick(q endpoint.Query, now time.Time) (endpoint.Target, endpoint.PickResult)
	// Changed returns a channel that is closed when an endpoint may have room.
	Changed() <-chan struct{}
}

// waiter is a request that waits for an endpoint.
type waiter struct {
	priority Priority
	query    endpoint.Query
	// arrival numbers requests in the order in which they began to wait.
	arrival uint64
	// heapIndex is the position in the heap, -1 when the waiter has left it.
	heapIndex int
	// target is the assigned endpoint, zero if the service has no usable one left. It
	// is set before decided is closed.
	target endpoint.Target
	// decided is closed when an endpoint has been assigned, or none is usable any more.
	decided chan struct{}
}

// waiterHeap is a heap.Interface of the waiting requests of one service. The first to
// be served is at index 0.
type waiterHeap struct {
	requests []*waiter
}

// Len returns the number of waiting requests.
func (h *waiterHeap) Len() int { return len(h.requests) }

// Less reports whether request i is served before request j.
func (h *waiterHeap) Less(i, j int) bool {
	a, b := h.requests[i], h.requests[j]
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
	h.requests[i], h.requests[j] = h.requests[j], h.requests[i]
	h.requests[i].heapIndex, h.requests[j].heapIndex = i, j
}

// Push appends a *waiter.
func (h *waiterHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(h.requests)
	h.requests = append(h.requests, w)
}

// Pop removes and returns the last *waiter.
func (h *waiterHeap) Pop() any {
	n := len(h.requests) - 1
	w := h.requests[n]
	h.requests[n] = nil
	h.requests = h.requests[:n]
	w.heapIndex = -1
	return w
}

// maxGrantInterval is the maximum time between two attempts to serve waiting requests.
// An endpoint may get room without a reported change, because the load reports of other
// instances age.
const maxGrantInterval = 25 * time.Millisecond

// Queue holds the requests of all services that wait for an endpoint. It is safe for
// concurrent use.
type Queue struct {
	directory Directory
	mu        sync.Mutex
	// waitersByService holds the waiting requests of each service. A heap may be empty.
	waitersByService map[string]*waiterHeap
	lastArrival      uint64
	// granting is set while grantUntilEmpty runs.
	granting bool
}

// New returns an empty queue that takes endpoints from a directory.
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

// Acquire waits until an endpoint is free and no request of higher priority waits for
// the service, and returns that endpoint. It returns an error of KindNoEndpoint when
// the service has no usable endpoint for the request, and of KindTimeout when ctx ends
// first.
func (q *Queue) Acquire(ctx context.Context, priority Priority, query endpoint.Query) (endpoint.Target, error) {
	q.mu.Lock()
	waiters := q.waitersByService[query.Service]
	if waiters == nil {
		waiters = &waiterHeap{}
		q.waitersByService[query.Service] = waiters
	}
	if waiters.Len() == 0 || priority.Before(waiters.requests[0].priority) {
		target, result := q.directory.Pick(query, time.Now())
		if result == endpoint.Picked {
			q.mu.Unlock()
			return target, nil
		}
		if result == endpoint.NoneUsable {
			q.mu.Unlock()
			return endpoint.Target{}, Errorf("find endpoint", KindNoEndpoint, "service %s has no usable endpoint apart from %d already tried", query.Service, len(query.ExcludedIDs))
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

// decisionError returns an error of KindNoEndpoint for a request that left the queue
// without an endpoint, and nil otherwise.
func (w *waiter) decisionError() error {
	if w.target.Zero() {
		return Errorf("find endpoint", KindNoEndpoint, "service %s has no usable endpoint left", w.query.Service)
	}
	return nil
}

// grantUntilEmpty assigns endpoints to waiting requests whenever some become free,
// until no request waits. At most one grantUntilEmpty runs for a queue.
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

// grantEndpoints assigns free endpoints to the first requests of each service, and
// releases requests of services without a usable endpoint. It reports whether any
// request still waits.
func (q *Queue) grantEndpoints(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := false
	for service, waiters := range q.waitersByService {
		for waiters.Len() > 0 {
			w := waiters.requests[0]
			target, result := q.directory.Pick(w.query, now)
			if result == endpoint.AllBusy {
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
