package queue

import (
	"github.com/lavendervale/lavendervale/class"
)

const (
	// reservedShare is the share of the slots that only urgent calls get.
	reservedShare = 0.1
)

// Slots tracks the calls that run at an engine and starts waiting ones in queue order.
// When all slots are taken it selects background calls to preempt for urgent ones. It
// is not safe for concurrent use; its owner serializes access.
type Slots[T any] struct {
	queue *Queue[T]
	limit *Limit
	// running holds the running calls of each rank, in no order.
	running       [class.Ranks][]*Item[T]
	reserveUrgent bool
	// memoryLimitTokens bounds memoryUsedTokens; 0 means no bound.
	memoryLimitTokens int64
	// memoryUsedTokens is what the running calls hold in the engine's cache.
	memoryUsedTokens int64
	// exclusive is set while a call runs that must not run beside any other.
	exclusive bool
}

// SlotsConfig holds the settings of Slots.
type SlotsConfig struct {
	// Floors are the minimum shares of service of the ranks.
	Floors Floors
	// Limit is the number of calls that may run at once.
	Limit *Limit
	// ReserveUrgent keeps some slots free for urgent calls.
	ReserveUrgent bool
	// MemoryLimitTokens bounds what running calls hold in the engine's cache; 0 means
	// no bound.
	MemoryLimitTokens int64
}

// NewSlots returns free slots and an empty queue.
func NewSlots[T any](c SlotsConfig) *Slots[T] {
	return &Slots[T]{queue: New[T](c.Floors), limit: c.Limit, reserveUrgent: c.ReserveUrgent, memoryLimitTokens: c.MemoryLimitTokens}
}

// Queue returns the queue of waiting calls.
func (s *Slots[T]) Queue() *Queue[T] { return s.queue }

// Limit returns the limit on the calls that run at once.
func (s *Slots[T]) Limit() *Limit { return s.limit }

// Running returns the number of running calls.
func (s *Slots[T]) Running() int {
	n := 0
	for r := range s.running {
		n += len(s.running[r])
	}
	return n
}

// Full reports whether all slots that background calls may use are taken.
func (s *Slots[T]) Full() bool { return s.Running() >= s.slotsFor(class.Background) }

// StartNext removes the next call from the queue, gives it a slot and returns it, or
// returns nil when none may start. An urgent call may overtake a background call that
// can't start, unless that one has floor credit or is exclusive: such calls would
// otherwise starve.
func (s *Slots[T]) StartNext() *Item[T] {
	head := s.queue.Peek()
	if head == nil {
		return nil
	}
	if s.canStart(head) {
		head.nonPreemptible = head.nonPreemptible || s.queue.HasFloorCredit(head.rank)
		i := s.queue.Pop()
		s.start(i)
		return i
	}
	if head.rank == class.Urgent || head.exclusive || s.queue.HasFloorCredit(head.rank) {
		return nil
	}
	if urgent := s.queue.Head(class.Urgent); urgent == nil || !s.canStart(urgent) {
		return nil
	}
	i := s.queue.PopRank(class.Urgent)
	s.start(i)
	return i
}

// canStart reports whether there is a slot and memory for a call. The bound on memory
// is not applied when nothing else runs, so that a call larger than the bound can run.
func (s *Slots[T]) canStart(i *Item[T]) bool {
	running := s.Running()
	if s.exclusive || (i.exclusive && running > 0) || running >= s.slotsFor(i.rank) {
		return false
	}
	return running == 0 || s.memoryLimitTokens == 0 || s.memoryUsedTokens+i.memoryTokens <= s.memoryLimitTokens
}

// slotsFor returns how many calls may run once a call of the rank has started. The
// slots reserved for urgent calls are not counted for background ones, unless these
// have floor credit.
func (s *Slots[T]) slotsFor(rank class.Rank) int {
	limit := s.limit.Value()
	if rank == class.Urgent || !s.reserveUrgent || s.queue.HasFloorCredit(rank) {
		return limit
	}
	return max(1, limit-int(reservedShare*float64(limit)+0.5))
}

// start gives a slot to a call that has left the queue.
func (s *Slots[T]) start(i *Item[T]) {
	s.memoryUsedTokens += i.memoryTokens
	s.exclusive = i.exclusive
	i.index = len(s.running[i.rank])
	s.running[i.rank] = append(s.running[i.rank], i)
}

// Release frees the slot of a running call.
func (s *Slots[T]) Release(i *Item[T]) {
	s.memoryUsedTokens -= i.memoryTokens
	if i.exclusive {
		s.exclusive = false
	}
	calls := s.running[i.rank]
	last := len(calls) - 1
	calls[i.index] = calls[last]
	calls[i.index].index = i.index
	calls[last] = nil
	s.running[i.rank] = calls[:last]
	i.index = noIndex
}

// Victim returns the running background call to preempt for a waiting urgent call:
// the one that comes last in queue order. It returns nil when no urgent call waits, a
// slot is free, background work has floor credit, or no running call may be
// preempted. Non-preemptible and exclusive calls keep their slots.
func (s *Slots[T]) Victim() *Item[T] {
	background := s.running[class.Background]
	if s.queue.Waiting(class.Urgent) == 0 || s.Running() < s.limit.Value() || len(background) == 0 {
		return nil
	}
	if s.queue.HasFloorCredit(class.Background) {
		return nil
	}
	var victim *Item[T]
	for _, i := range background {
		if !i.nonPreemptible && !i.exclusive && (victim == nil || victim.before(i)) {
			victim = i
		}
	}
	return victim
}
