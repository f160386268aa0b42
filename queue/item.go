package queue

import (
	"time"

	"github.com/lavendervale/lavendervale/class"
)

// noIndex is the index of an item that neither waits nor runs.
const noIndex = -1

// Item is one call, waiting in a Queue or running in Slots. It carries a value of its
// owner.
type Item[T any] struct {
	value     T
	rank      class.Rank
	firstCall bool
	// orderKey is the ordering time in Unix nanoseconds; lower goes first.
	orderKey int64
	// sequence is the order of pushes, which breaks ties.
	sequence       uint64
	cost           int64
	memoryTokens   int64
	nonPreemptible bool
	exclusive      bool
	// index is the position in the heap of the rank while the item waits, and in the
	// list of the rank's running items while it runs, else noIndex.
	index int
}

// ItemConfig holds the properties of an Item.
type ItemConfig struct {
	// Rank is the rank of the program's class.
	Rank class.Rank
	// FirstCall is set for the first call of a program; within a rank it goes after
	// the calls of programs that have run already.
	FirstCall bool
	// StartedAt is when the program started.
	StartedAt time.Time
	// Target is the time after StartedAt within which the program must finish.
	Target time.Duration
	// RemainingService is the service that the program is expected to need still,
	// this call included.
	RemainingService time.Duration
	// HasEstimate is set when RemainingService is usable.
	HasEstimate bool
	// AttainedService is the service that the program has had.
	AttainedService time.Duration
	// Cost is the work of the call, in prompt tokens; less than 1 counts as 1.
	Cost int64
	// MemoryTokens is what the call holds in the engine's cache while it runs.
	MemoryTokens int64
	// NonPreemptible is set for a call that must not be preempted.
	NonPreemptible bool
	// Exclusive is set for a call that must not run beside any other.
	Exclusive bool
}

// NewItem returns an item that is in no queue yet.
func NewItem[T any](c ItemConfig, value T) *Item[T] {
	return &Item[T]{
		value: value, rank: c.Rank, firstCall: c.FirstCall, orderKey: orderingTime(c).UnixNano(),
		cost: max(1, c.Cost), memoryTokens: c.MemoryTokens, nonPreemptible: c.NonPreemptible, exclusive: c.Exclusive, index: noIndex,
	}
}

// Value returns the owner's value.
func (i *Item[T]) Value() T { return i.value }

// Rank returns the rank of the call.
func (i *Item[T]) Rank() class.Rank { return i.rank }

// NonPreemptible reports whether the call must not be preempted: it is configured so,
// or its rank's floor credit covered its cost when it started.
func (i *Item[T]) NonPreemptible() bool { return i.nonPreemptible }

// Cost returns the work of the call, in prompt tokens; at least 1.
func (i *Item[T]) Cost() int64 { return i.cost }

// orderingTime returns the time that calls of a rank are ordered by. With an estimate
// it is the latest start that lets the program meet its target (least slack first).
// Without one it is the start plus the attained service (least attained service first).
func orderingTime(c ItemConfig) time.Time {
	if c.HasEstimate {
		return c.StartedAt.Add(c.Target - c.RemainingService)
	}
	return c.StartedAt.Add(c.AttainedService)
}

// before reports whether i goes before j, both being of one rank.
func (i *Item[T]) before(j *Item[T]) bool {
	if i.firstCall != j.firstCall {
		return !i.firstCall
	}
	if i.orderKey != j.orderKey {
		return i.orderKey < j.orderKey
	}
	return i.sequence < j.sequence
}
