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

// scheduler lets goroutines wait for the decisions of a schedule.
type scheduler struct {
	mu       sync.Mutex
	schedule *schedule.Schedule
	waiters  map[*schedule.Ticket]*waiter
}

// waiter is a call that waits for a slot, or has one.
type waiter struct {
	ticket  *schedule.Ticket
	granted chan struct{}
	// yield is closed when the call is to give up its slot.
	yield    chan struct{}
	yielding bool
}

func newScheduler(c schedule.Config) *scheduler {
	return &scheduler{schedule: schedule.New(c), waiters: map[*schedule.Ticket]*waiter{}}
}

// admit decides on a new program.
func (s *scheduler) admit(id program.ID, c *class.Class) admission.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule.Admit(id, c, time.Now())
}

// register books a program that is not asked for admission.
func (s *scheduler) register(p *program.Program, c *class.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.Register(p.ID(), c, p.StartedAt(), p.ServiceTime(), time.Now())
}

// end books the end of a program.
func (s *scheduler) end(id program.ID, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.End(id, finished, time.Now())
}

// arrive queues a call, or returns nil when its program is not booked.
func (s *scheduler) arrive(id program.ID, c schedule.Call) *waiter {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.schedule.Arrive(id, c, time.Now())
	if t == nil {
		return nil
	}
	w := &waiter{ticket: t, granted: make(chan struct{}), yield: make(chan struct{})}
	s.waiters[t] = w
	s.dispatchLocked()
	return w
}

// wait waits for a slot, or until ctx ends; then the call is taken out.
func (s *scheduler) wait(ctx context.Context, w *waiter) error {
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// requeue puts a call that gave up its slot back into the queue.
func (s *scheduler) requeue(w *waiter, prompt, rest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.granted = make(chan struct{})
	w.yield = make(chan struct{})
	w.yielding = false
	s.schedule.Preempted(w.ticket, prompt, rest, time.Now())
	s.dispatchLocked()
}

// done books an answered call and frees its slot.
func (s *scheduler) done(w *waiter, a schedule.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w.ticket)
	s.schedule.Done(w.ticket, a, time.Now())
	s.dispatchLocked()
}

// abandon takes a call out that was not answered.
func (s *scheduler) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiters, w.ticket)
	s.schedule.Abandon(w.ticket, time.Now())
	s.dispatchLocked()
}

// evict returns the programs whose cache the engine should give up.
func (s *scheduler) evict() []program.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule.Evict(time.Now())
}

// dispatchLocked grants slots, and asks a background call to yield when an
// urgent one finds none.
func (s *scheduler) dispatchLocked() {
	now := time.Now()
	for t := s.schedule.Next(now); t != nil; t = s.schedule.Next(now) {
		close(s.waiters[t].granted)
	}
	victim := s.schedule.Victim()
	if victim == nil {
		return
	}
	if w := s.waiters[victim]; !w.yielding {
		w.yielding = true
		close(w.yield)
	}
}

// queued returns the time a call has waited without a slot.
func (s *scheduler) queued(w *waiter) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.ticket.Queued(time.Now())
}

// priority returns the rank that the engine should serve a call by.
func (s *scheduler) priority(w *waiter) class.Rank {
	s.mu.Lock()
	defer s.mu.Unlock()
	return w.ticket.Priority()
}

func (s *scheduler) reconfigure(classes []*class.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule.Reconfigure(classes)
}

func (s *scheduler) load() placement.LoadConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.schedule.Load(time.Now())
}
