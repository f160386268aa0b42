package dispatch

import (
	"container/heap"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

// waiter is a request that waits for an endpoint.
type waiter struct {
	priority Priority
	query    endpoint.Query
	// arrival numbers requests in the order in which they began to wait.
	arrival uint64
	// line holds the waiter, at heapIndex, which is -1 when the waiter has left it.
	line      *line
	heapIndex int
	// target is the assigned endpoint, zero if the service has no usable one left. It
	// is set before decided is closed.
	target endpoint.Target
	// decided is closed when an endpoint has been assigned, or none is usable any more.
	decided chan struct{}
}

// before reports whether a request is served before another one.
func (w *waiter) before(other *waiter) bool {
	if w.priority.Before(other.priority) {
		return true
	}
	if other.priority.Before(w.priority) {
		return false
	}
	return w.arrival < other.arrival
}

// decisionError returns an error of KindNoEndpoint for a request that left the queue
// without an endpoint, and nil otherwise.
func (w *waiter) decisionError() error {
	if w.target.Zero() {
		version := ""
		if w.query.Version != "" {
			version = " of version " + w.query.Version
		}
		return Errorf("find endpoint", KindNoEndpoint, "service %s has no usable endpoint%s apart from %d already tried", w.query.Service, version, len(w.query.ExcludedIDs))
	}
	return nil
}

// lineKey is what determines, for the requests of one service, whether an endpoint is free.
type lineKey struct {
	maxQueued int
	maxLoad   float64
	once      bool
	version   string
	// excludedIDs are the sorted IDs of the excluded endpoints.
	excludedIDs string
}

func lineKeyOf(q endpoint.Query) lineKey {
	k := lineKey{maxQueued: q.MaxQueued, maxLoad: q.MaxLoad, once: q.Once, version: q.Version}
	if len(q.ExcludedIDs) > 0 {
		k.excludedIDs = strings.Join(slices.Sorted(maps.Keys(q.ExcludedIDs)), "\x00")
	}
	return k
}

// line is a heap.Interface of the waiting requests of one service that have the same key:
// when no endpoint is free for one of them, none is for the others. The first to be served
// is at index 0.
type line struct {
	key      lineKey
	requests []*waiter
	// heapIndex is the position in serviceWaiters.
	heapIndex int
}

// Len returns the number of waiting requests.
func (l *line) Len() int { return len(l.requests) }

// Less reports whether request i is served before request j.
func (l *line) Less(i, j int) bool { return l.requests[i].before(l.requests[j]) }

// Swap exchanges two requests.
func (l *line) Swap(i, j int) {
	l.requests[i], l.requests[j] = l.requests[j], l.requests[i]
	l.requests[i].heapIndex, l.requests[j].heapIndex = i, j
}

// Push appends a *waiter.
func (l *line) Push(x any) {
	w := x.(*waiter)
	w.line, w.heapIndex = l, len(l.requests)
	l.requests = append(l.requests, w)
}

// Pop removes and returns the last *waiter.
func (l *line) Pop() any {
	n := len(l.requests) - 1
	w := l.requests[n]
	l.requests[n] = nil
	l.requests = l.requests[:n]
	w.heapIndex = -1
	return w
}

// serviceWaiters holds the waiting requests of one service. It is a heap.Interface of their
// lines, none of which is empty, by their first requests.
type serviceWaiters struct {
	lines     []*line
	lineByKey map[lineKey]*line
	// count is the number of waiting requests in all lines.
	count int
}

func newServiceWaiters() *serviceWaiters {
	return &serviceWaiters{lineByKey: map[lineKey]*line{}}
}

// Len returns the number of lines.
func (s *serviceWaiters) Len() int { return len(s.lines) }

// Less reports whether the first request of line i is served before that of line j.
func (s *serviceWaiters) Less(i, j int) bool {
	return s.lines[i].requests[0].before(s.lines[j].requests[0])
}

// Swap exchanges two lines.
func (s *serviceWaiters) Swap(i, j int) {
	s.lines[i], s.lines[j] = s.lines[j], s.lines[i]
	s.lines[i].heapIndex, s.lines[j].heapIndex = i, j
}

// Push appends a *line.
func (s *serviceWaiters) Push(x any) {
	l := x.(*line)
	l.heapIndex = len(s.lines)
	s.lines = append(s.lines, l)
}

// Pop removes and returns the last *line.
func (s *serviceWaiters) Pop() any {
	n := len(s.lines) - 1
	l := s.lines[n]
	s.lines[n] = nil
	s.lines = s.lines[:n]
	return l
}

// add adds a request to its line.
func (s *serviceWaiters) add(w *waiter) {
	s.count++
	key := lineKeyOf(w.query)
	l, ok := s.lineByKey[key]
	if !ok {
		l = &line{key: key}
		s.lineByKey[key] = l
		heap.Push(l, w)
		heap.Push(s, l)
		return
	}
	heap.Push(l, w)
	heap.Fix(s, l.heapIndex)
}

// remove removes a request from its line.
func (s *serviceWaiters) remove(w *waiter) {
	s.count--
	l := w.line
	heap.Remove(l, w.heapIndex)
	if l.Len() == 0 {
		heap.Remove(s, l.heapIndex)
		delete(s.lineByKey, l.key)
		return
	}
	heap.Fix(s, l.heapIndex)
}

// grant assigns free endpoints to requests in order of priority, and releases those without
// a usable endpoint. A line without a free endpoint is passed over as a whole; grant ends
// when it has passed over limit lines, or has tried last, if that is not nil.
func (s *serviceWaiters) grant(d Directory, now time.Time, limit int, last *waiter) {
	var passedOver []*line
	for s.Len() > 0 && len(passedOver) < limit {
		w := s.lines[0].requests[0]
		target, result := d.Pick(w.query, now)
		if result == endpoint.AllBusy {
			passedOver = append(passedOver, heap.Pop(s).(*line))
		} else {
			s.remove(w)
			w.target = target
			close(w.decided)
		}
		if w == last {
			break
		}
	}
	for _, l := range passedOver {
		heap.Push(s, l)
	}
}
