package bench

import (
	"container/heap"
	"time"
)

// eventLoop runs events in the order of their virtual time.
type eventLoop struct {
	now    time.Time
	events eventHeap
	// lastSequence is the sequence number of the event added last.
	lastSequence uint64
}

// event is a function to be run at a virtual time. Events with equal times run in
// the order of their sequence numbers, which makes runs reproducible.
type event struct {
	dueAt    time.Time
	sequence uint64
	run      func()
}

func newEventLoop() *eventLoop { return &eventLoop{now: time.Unix(0, 0)} }

// after schedules f to run once d has passed; a negative d counts as 0.
func (l *eventLoop) after(d time.Duration, f func()) {
	l.lastSequence++
	heap.Push(&l.events, event{dueAt: l.now.Add(max(0, d)), sequence: l.lastSequence, run: f})
}

// runUntil runs all events that are due at end or earlier, including those that
// are added meanwhile.
func (l *eventLoop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].dueAt.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.dueAt
		e.run()
	}
}

// eventHeap implements heap.Interface.
type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, then by sequence number.
func (h eventHeap) Less(i, j int) bool {
	if h[i].dueAt.Equal(h[j].dueAt) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].dueAt.Before(h[j].dueAt)
}

// Swap swaps two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes and returns the last event.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
