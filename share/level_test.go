package share

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLevel checks shares of capacity 100 against figures worked out by hand.
func TestLevel(t *testing.T) {
	tests := []struct {
		name     string
		demands  []float64
		capacity float64
		level    float64
	}{
		{name: "no customer", capacity: 100, level: math.Inf(1)},
		{name: "below the capacity", demands: []float64{10, 20, 60}, capacity: 100, level: math.Inf(1)},
		{name: "at the capacity", demands: []float64{10, 20, 70}, capacity: 100, level: math.Inf(1)},
		{name: "one customer", demands: []float64{130}, capacity: 100, level: 100},
		{name: "equal customers", demands: []float64{50, 50, 50, 50}, capacity: 100, level: 25},
		{name: "one large customer", demands: []float64{20, 10, 200}, capacity: 100, level: 70},
		{name: "two large customers", demands: []float64{90, 10, 200}, capacity: 100, level: 45},
		{name: "idle customers", demands: []float64{0, 0, 300, 300}, capacity: 100, level: 50},
		{name: "no capacity", demands: []float64{0, 1}, capacity: 0, level: 0},
		{name: "less than none", demands: []float64{1, 2}, capacity: -5, level: 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var l levels
			l.set(slices.Clone(test.demands))
			require.InDelta(t, test.level, l.level(test.capacity), 1e-9)
		})
	}
}

// TestLevelIsMaxMinFair checks for any demands that the shares never exceed the capacity and use it up
// if demand does, and that no customer with less than another one lacks anything.
func TestLevelIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 200).Draw(t, "demands")
		capacity := rapid.Float64Range(0, 1e6).Draw(t, "capacity")
		var l levels
		l.set(slices.Clone(demands))
		level, total, given := l.level(capacity), 0.0, 0.0
		for _, demand := range demands {
			total, given = total+demand, given+min(demand, level)
		}
		tolerance := 1e-9 * (total + capacity)
		require.LessOrEqual(t, given, capacity+tolerance, "more than the capacity")
		require.GreaterOrEqual(t, given, min(total, capacity)-tolerance, "a part of the capacity is left unused")
		require.False(t, math.IsInf(level, 1) && total > capacity)
		require.False(t, !math.IsInf(level, 1) && total < capacity-tolerance, "a share although the capacity is enough")
	})
}
