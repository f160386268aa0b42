package share

import (
	"math"
	"slices"
	"sort"
)

// levels answers for any capacity which share of it no customer may exceed. It holds the demands of
// all customers in ascending order.
type levels struct {
	demands []float64
	// sums holds at index i the sum of the first i demands.
	sums []float64
}

// set replaces the demands; it sorts the slice, which the caller must not use any more. None of them
// may be negative or NaN.
func (l *levels) set(demands []float64) {
	slices.Sort(demands)
	l.demands, l.sums = demands, append(l.sums[:0], 0)
	for i, demand := range demands {
		l.sums = append(l.sums, l.sums[i]+demand)
	}
}

// level returns the greatest share: the level at which the demands, each cut to it, add up to the
// capacity. It is infinite if all demands together do not exceed the capacity.
func (l *levels) level(capacity float64) float64 {
	n := len(l.demands)
	if l.sums == nil || l.sums[n] <= capacity {
		return math.Inf(1)
	}
	// satisfied is the number of customers whose demand is below the level.
	satisfied := sort.Search(n, func(i int) bool { return l.sums[i]+float64(n-i)*l.demands[i] > capacity })
	if satisfied == n {
		// Rounding only: the sum of all demands exceeds the capacity by less than its last digits.
		return l.demands[n-1]
	}
	return max(0, (capacity-l.sums[satisfied])/float64(n-satisfied))
}
