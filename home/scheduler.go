package home

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/admission"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/schedule"
)

// scheduler makes a schedule.Schedule safe for concurrent use and lets calls
// wait for its decisions.
type scheduler struct {
	mu       sync.Mutex
	schedule *schedule.Schedule
	// waiters holds the calls that wait for a slot or have one.
	waiters map[*schedule.Ticket]*waiter
}

// waiter is a call that waits for a slot of the engine or has one. The lock of
// the scheduler guards ticket and preempting. requeue replaces the channels,
// when nothing waits on them.
type waiter struct {
	ticket *schedule.Ticket
	// granted is closed when the call gets a slot.
	granted chan struct{}
	// preempt is closed when the call has to give up its slot.
	preempt chan struct{}
	// preempting is set once preempt is closed.
	preempting bool
}

// newScheduler returns a scheduler without programs.
func newScheduler(c schedule.Config) *scheduler {
	return &scheduler{schedule: schedule.New(c), waiters: map[*schedule.Ticket]*waiter{}}
}

// admitProgram decides whether a new program is admitted, and registers it if
// so.
func (s *scheduler) admitProgram(id program.ID, c *class.Class) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule.Admit(id, c, time.Now())
}

// registerProgram registers a program that needs no admission.
func (s *scheduler) registerProgram(p *program.Program, c *class.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.Register(p.ID(), c, p.StartedAt(), p.ServiceTime(), time.Now())
}

// endProgram removes a program. finished is set when it ended normally, so that
// its class's estimates learn from it.
func (s *scheduler) endProgram(id program.ID, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.Unregister(id, finished, time.Now())
}

// enqueue queues a call. It returns nil when the program of the call is not
// registered.
func (s *scheduler) enqueue(id program.ID, c schedule.Call) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.schedule.Enqueue(id, c, time.Now())
	if t == nil {
		return nil
	}
	w := &waiter{ticket: t, granted: make(chan struct{}), preempt: make(chan struct{})}
	s.waiters[t] = w
	s.dispatchLocked()
	return w
}

// waitForSlot blocks until the call has a slot. When ctx ends first, it removes
// the call from the queue.
func (s *scheduler) waitForSlot(ctx context.Context, w *waiter) error {
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.remove(w)
		return ctx.Err()
	}
}

// requeue queues a preempted call again, with the tokens of its prompt,
// including those generated so far, and the tokens left to generate.
func (s *scheduler) requeue(w *waiter, promptTokens, remainingTokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.granted = make(chan struct{})
	w.preempt = make(chan struct{})
	w.preempting = false
	s.schedule.Requeue(w.ticket, promptTokens, remainingTokens, time.Now())
	s.dispatchLocked()
}

// finish frees the slot of an answered call and updates the estimates.
func (s *scheduler) finish(w *waiter, completion schedule.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w.ticket)
	s.schedule.Complete(w.ticket, completion, time.Now())
	s.dispatchLocked()
}

// remove removes a call without an answer, whether it waits or runs.
func (s *scheduler) remove(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w.ticket)
	s.schedule.Cancel(w.ticket, time.Now())
	s.dispatchLocked()
}

// expiredCaches returns the programs whose cache the engine should free.
func (s *scheduler) expiredCaches() []program.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule.ExpireCaches(time.Now())
}

// dispatchLocked grants the free slots. When an urgent call finds none, it
// preempts a background call.
func (s *scheduler) dispatchLocked() {
	now := time.Now()
	for t := s.schedule.StartNext(now); t != nil; t = s.schedule.StartNext(now) {
		close(s.waiters[t].granted)
	}
	victim := s.schedule.Victim()
	if victim == nil {
		return
	}
	if w := s.waiters[victim]; !w.preempting {
		w.preempting = true
		close(w.preempt)
	}
}

// queueTime returns how long a call has waited without a slot.
func (s *scheduler) queueTime(w *waiter) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.ticket.QueueTime(time.Now())
}

// priority returns the rank at which the engine should serve a call.
func (s *scheduler) priority(w *waiter) class.Rank {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.ticket.EnginePriority()
}

// reconfigure applies the classes in force.
func (s *scheduler) reconfigure(classes []*class.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.Reconfigure(classes)
}

// load returns the scheduler's part of the load of the home.
func (s *scheduler) load() placement.LoadConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule.Load(time.Now())
}
