package dispatch

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Order is what a request is ordered by.
type Order struct {
	// Rank is the rank of the route, 0 is first.
	Rank int
	// Slack is when the program must have a place to finish in time.
	Slack time.Time
}

// Before reports whether o goes before p.
func (o Order) Before(p Order) bool {
	if o.Rank != p.Rank {
		return o.Rank < p.Rank
	}
	return o.Slack.Before(p.Slack)
}

// Directory picks endpoints; *endpoint.Directory is one.
type Directory interface {
	// Pick returns the endpoint for a request and counts the request there.
	Pick(q endpoint.Query, now time.Time) (endpoint.Target, endpoint.PickResult)
	// Changed returns a channel that is closed when an endpoint may have room.
	Changed() <-chan struct{}
}

// waiter is a request without an endpoint.
type waiter struct {
	order    Order
	query    endpoint.Query
	sequence uint64
	index    int
	target   endpoint.Target
	granted  chan struct{}
}

// line is the waiting requests of one service.
type line struct {
	waiters []*waiter
}

// Len returns the number of waiting requests.
func (l *line) Len() int { return len(l.waiters) }

// Less reports whether request i goes before request j.
func (l *line) Less(i, j int) bool {
	a, b := l.waiters[i], l.waiters[j]
	if a.order.Before(b.order) {
		return true
	}
	if b.order.Before(a.order) {
		return false
	}
	return a.sequence < b.sequence
}

// Swap exchanges two requests.
func (l *line) Swap(i, j int) {
	l.waiters[i], l.waiters[j] = l.waiters[j], l.waiters[i]
	l.waiters[i].index, l.waiters[j].index = i, j
}

// Push adds a request.
func (l *line) Push(x any) {
	w := x.(*waiter)
	w.index = len(l.waiters)
	l.waiters = append(l.waiters, w)
}

// Pop takes the last request out.
func (l *line) Pop() any {
	n := len(l.waiters) - 1
	w := l.waiters[n]
	l.waiters[n] = nil
	l.waiters = l.waiters[:n]
	w.index = -1
	return w
}

// recheckInterval bounds how long the queue goes without a look at the endpoints
// when none reports a change; load reports of other instances age meanwhile.
const recheckInterval = 25 * time.Millisecond

// Queue holds the requests of all services that wait for an endpoint.
type Queue struct {
	directory Directory
	mu        sync.Mutex
	lines     map[string]*line
	sequence  uint64
	running   bool
}

// New returns an empty queue over the endpoints of a directory.
func New(d Directory) *Queue {
	return &Queue{directory: d, lines: map[string]*line{}}
}

// Waiting returns the number of requests that wait for a service.
func (q *Queue) Waiting(service string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if l, ok := q.lines[service]; ok {
		return l.Len()
	}
	return 0
}

// Acquire returns an endpoint for a request, when its turn comes; it returns an
// error of KindNone at once when the service has no usable endpoint for it, and of
// KindTimeout when ctx ends first.
func (q *Queue) Acquire(ctx context.Context, o Order, query endpoint.Query) (endpoint.Target, error) {
	q.mu.Lock()
	l := q.lines[query.Service]
	if l == nil {
		l = &line{}
		q.lines[query.Service] = l
	}
	if l.Len() == 0 || o.Before(l.waiters[0].order) {
		t, verdict := q.directory.Pick(query, time.Now())
		if verdict == endpoint.Picked {
			q.mu.Unlock()
			return t, nil
		}
		if verdict == endpoint.NoneUsable {
			q.mu.Unlock()
			return endpoint.Target{}, Errorf("find endpoint", KindNone, "service %s has no usable endpoint besides %d tried", query.Service, len(query.ExcludedIDs))
		}
	}
	q.sequence++
	w := &waiter{order: o, query: query, sequence: q.sequence, granted: make(chan struct{})}
	heap.Push(l, w)
	if !q.running {
		q.running = true
		go q.run()
	}
	q.mu.Unlock()
	select {
	case <-w.granted:
		return w.target, w.err()
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index < 0 {
		return w.target, w.err()
	}
	heap.Remove(l, w.index)
	return endpoint.Target{}, Errorf("find endpoint", KindTimeout, "no endpoint of service %s had room in time", query.Service)
}

// err is the error of a waiter that was released without an endpoint.
func (w *waiter) err() error {
	if w.target.Zero() {
		return Errorf("find endpoint", KindNone, "service %s has no usable endpoint any more", w.query.Service)
	}
	return nil
}

// run gives places to waiting requests until none waits.
func (q *Queue) run() {
	t := time.NewTicker(recheckInterval)
	defer t.Stop()
	for {
		changed := q.directory.Changed()
		if !q.grant(time.Now()) {
			return
		}
		select {
		case <-changed:
		case <-t.C:
		}
	}
}

// grant gives the free places to the first requests of each service; it reports
// whether any request still waits.
func (q *Queue) grant(now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := false
	for service, l := range q.lines {
		for l.Len() > 0 {
			w := l.waiters[0]
			t, verdict := q.directory.Pick(w.query, now)
			if verdict == endpoint.AllBusy {
				break
			}
			heap.Pop(l)
			w.target = t
			close(w.granted)
		}
		if l.Len() == 0 {
			delete(q.lines, service)
			continue
		}
		waiting = true
	}
	q.running = waiting
	return waiting
}
