package queue

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDecisionTakesLogarithmicTime guards against decisions whose time grows with the number of
// waiting calls. It counts comparisons, since times depend on the load of the machine.
func TestDecisionTakesLogarithmicTime(t *testing.T) {
	for doublings := 4; doublings <= 16; doublings++ {
		q := New[int](Floors{})
		comparisons := 0
		q.waitingByRank[0].before = func(a, b *Item[int]) bool {
			comparisons++
			return a.before(b)
		}
		n := 1 << doublings
		for i := range n {
			q.Push(NewItem(ItemConfig{AttainedService: time.Duration(i * 7919 % n), StartedAt: time.Unix(0, 0)}, i))
		}
		for range 2000 {
			comparisons = 0
			q.Push(q.Pop())
			// Two comparisons a level on the way down and one on the way up.
			require.LessOrEqual(t, comparisons, 3*(doublings+1), "%d waiting calls", n)
		}
		removed := q.waitingByRank[0].items[n/2]
		comparisons = 0
		require.True(t, q.Remove(removed))
		require.LessOrEqual(t, comparisons, 3*(doublings+1), "%d waiting calls", n)
	}
}
