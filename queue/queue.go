package queue

import (
	"github.com/lavendervale/lavendervale/class"
)

const (
	// maxCreditTokens bounds the floor credit of a rank, in prompt tokens.
	maxCreditTokens = 200_000
	// idleCreditTokens replaces maxCreditTokens while no call of the rank waits.
	idleCreditTokens = 20_000
)

// Queue is the priority queue of the calls that wait at one endpoint. It is not safe
// for concurrent use; its owner serializes access.
type Queue[T any] struct {
	waitingByRank [class.Ranks]heap[T]
	floors        Floors
	// creditTokens is the floor credit of each rank: the cost of calls, in prompt
	// tokens, that it may still start ahead of more urgent ones to keep its floor.
	creditTokens [class.Ranks]float64
	// waitingTokens is the total cost of the waiting items of each rank.
	waitingTokens [class.Ranks]int64
	// lastSequence is the sequence of the item pushed last.
	lastSequence uint64
}

// New returns an empty queue with floors for the ranks.
func New[T any](floors Floors) *Queue[T] {
	q := &Queue[T]{floors: floors}
	for r := range q.waitingByRank {
		q.waitingByRank[r].before = (*Item[T]).before
	}
	return q
}

// SetFloors replaces the floors; credit gained so far is kept.
func (q *Queue[T]) SetFloors(floors Floors) { q.floors = floors }

// Len returns the number of waiting calls.
func (q *Queue[T]) Len() int {
	n := 0
	for r := range q.waitingByRank {
		n += q.waitingByRank[r].len()
	}
	return n
}

// Waiting returns the number of waiting calls of a rank.
func (q *Queue[T]) Waiting(rank class.Rank) int { return q.waitingByRank[rank].len() }

// WaitingTokens returns the total cost of the waiting calls of a rank, in prompt
// tokens.
func (q *Queue[T]) WaitingTokens(rank class.Rank) int64 { return q.waitingTokens[rank] }

// Push adds an item that neither waits nor runs.
func (q *Queue[T]) Push(i *Item[T]) {
	q.lastSequence++
	i.sequence = q.lastSequence
	q.waitingTokens[i.rank] += i.cost
	q.waitingByRank[i.rank].push(i)
}

// Remove removes a waiting item and reports true, or reports false for an item that
// neither waits nor runs. A running item must not be passed.
func (q *Queue[T]) Remove(i *Item[T]) bool {
	if i.index == noIndex {
		return false
	}
	q.waitingByRank[i.rank].remove(i)
	q.waitingTokens[i.rank] -= i.cost
	return true
}

// Pop removes and returns the item to run next, or returns nil when none waits. The
// cost of the item is charged to its rank.
func (q *Queue[T]) Pop() *Item[T] {
	rank, ok := q.chooseRank()
	if !ok {
		return nil
	}
	return q.PopRank(rank)
}

// PopRank is like Pop for the items of one rank.
func (q *Queue[T]) PopRank(rank class.Rank) *Item[T] {
	i := q.waitingByRank[rank].peek()
	if i == nil {
		return nil
	}
	q.waitingByRank[rank].remove(i)
	q.waitingTokens[rank] -= i.cost
	q.charge(rank, i.cost)
	return i
}

// Head returns the first item of a rank, or nil when none waits.
func (q *Queue[T]) Head(rank class.Rank) *Item[T] { return q.waitingByRank[rank].peek() }

// HasFloorCredit reports whether an item of a rank waits and the credit from the
// rank's floor covers the cost of the first one.
func (q *Queue[T]) HasFloorCredit(rank class.Rank) bool {
	head := q.waitingByRank[rank].peek()
	return head != nil && q.creditTokens[rank] >= float64(head.cost)
}

// Peek returns the item that Pop would remove, or nil when none waits.
func (q *Queue[T]) Peek() *Item[T] {
	rank, ok := q.chooseRank()
	if !ok {
		return nil
	}
	return q.waitingByRank[rank].peek()
}

// chooseRank returns the rank to serve next, or false when no item waits. It is a rank
// whose floor credit covers its first item, even when a more urgent rank has waiting
// items; without such a rank it is the most urgent one that has.
func (q *Queue[T]) chooseRank() (class.Rank, bool) {
	first, found := class.Rank(0), false
	for r := range q.waitingByRank {
		head := q.waitingByRank[r].peek()
		if head == nil {
			continue
		}
		if !found {
			first, found = class.Rank(r), true
			continue
		}
		if q.creditTokens[r] >= float64(head.cost) {
			return class.Rank(r), true
		}
	}
	return first, found
}

// charge takes the cost of a served item from the floor credit of its rank and
// credits the other ranks by their floors, within bounds (after deficit round robin
// by Shreedhar and Varghese).
func (q *Queue[T]) charge(served class.Rank, cost int64) {
	q.creditTokens[served] = max(0, q.creditTokens[served]-float64(cost))
	for r := range q.waitingByRank {
		if class.Rank(r) == served {
			continue
		}
		maxCredit := float64(maxCreditTokens)
		if q.waitingByRank[r].len() == 0 {
			maxCredit = idleCreditTokens
		}
		share := q.floors.share(class.Rank(r))
		q.creditTokens[r] = min(maxCredit, q.creditTokens[r]+float64(cost)*share/(1-share))
	}
}
