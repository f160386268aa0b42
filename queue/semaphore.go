package queue

import (
	"context"
	"sync"
)

// Semaphore lets goroutines wait for slots in the order of a Queue. It is safe for
// concurrent use.
type Semaphore struct {
	mu    sync.Mutex
	slots *Slots[chan struct{}]
}

// NewSemaphore returns a semaphore over slots, which nothing else may use from now on.
func NewSemaphore(slots *Slots[chan struct{}]) *Semaphore { return &Semaphore{slots: slots} }

// Acquire waits for a slot until ctx ends. The caller must call release exactly once
// to free the slot. When ctx ends first, Acquire returns ctx.Err() and no release.
func (s *Semaphore) Acquire(ctx context.Context, c ItemConfig) (release func(), err error) {
	granted := make(chan struct{})
	i := NewItem(c, granted)
	s.mu.Lock()
	s.slots.Queue().Push(i)
	s.dispatchLocked()
	s.mu.Unlock()
	select {
	case <-granted:
		return func() { s.release(i) }, nil
	case <-ctx.Done():
		s.cancelWait(i)
		return nil, ctx.Err()
	}
}

// Counts returns the number of holders of slots and of waiters.
func (s *Semaphore) Counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots.Running(), s.slots.Queue().Len()
}

func (s *Semaphore) release(i *Item[chan struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots.Release(i)
	s.dispatchLocked()
}

// cancelWait removes a waiting item, or frees the slot that it was granted meanwhile. Only
// granted tells which, because an item that waits and one that runs both have an index.
// Either may let another waiter start: the first in the queue holds up the others.
func (s *Semaphore) cancelWait(i *Item[chan struct{}]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-i.Value():
		s.slots.Release(i)
	default:
		s.slots.Queue().Remove(i)
	}
	s.dispatchLocked()
}

// dispatchLocked wakes the waiters that may have a slot; s.mu must be held.
func (s *Semaphore) dispatchLocked() {
	for i := s.slots.StartNext(); i != nil; i = s.slots.StartNext() {
		close(i.Value())
	}
}
