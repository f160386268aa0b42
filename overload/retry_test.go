package overload

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReturnsAreSpread guards against programs that were refused together and come back together, and
// against times to retry that callers don't honour: they do up to a third of the time left.
func TestReturnsAreSpread(t *testing.T) {
	tests := []struct {
		name                  string
		expected, left, slack time.Duration
		// latest bounds the times to retry; a tenth of them lie in each tenth up to it.
		latest time.Duration
	}{
		{name: "over the expected wait", expected: 800 * time.Millisecond, left: 10 * time.Second, slack: time.Minute, latest: 800 * time.Millisecond},
		{name: "over a part of the time left to the request", expected: time.Minute, left: 2400 * time.Millisecond, slack: time.Minute, latest: 600 * time.Millisecond},
		{name: "over a part of the time left to the program", expected: time.Minute, left: 10 * time.Second, slack: 16 * time.Second, latest: time.Second},
		{name: "late program", expected: time.Minute, left: 4 * time.Second, slack: -time.Second, latest: time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			const draws = 10_000
			var counts [10]int
			for i := range draws {
				after := retryAfter(test.expected, test.left, test.slack, float64(i)/draws)
				require.LessOrEqual(t, after, test.left/3)
				require.LessOrEqual(t, after, test.latest)
				require.GreaterOrEqual(t, after, min(minRetryAfter, test.left/4))
				counts[min(9, int(10*after/test.latest))]++
			}
			for _, n := range counts[1:] {
				// The first tenth may be below minRetryAfter.
				require.InDelta(t, draws/10, n, draws/50)
			}
		})
	}
}

// TestLessSlackReturnsFirst guards against programs that can still be in time and are told to come back
// after those with more time.
func TestLessSlackReturnsFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	mean := func(slack time.Duration) time.Duration {
		sum := time.Duration(0)
		for range 1000 {
			sum += retryAfter(time.Second, 10*time.Second, slack, rng.Float64())
		}
		return sum / 1000
	}
	require.Less(t, mean(2*time.Second), mean(4*time.Second))
	require.Less(t, mean(4*time.Second), mean(8*time.Second))
	require.Less(t, mean(8*time.Second), mean(-time.Second), "late programs return last")
}

// TestNoTimeLeftLeavesNoTimeToRetry guards against a time to retry beyond the deadline.
func TestNoTimeLeftLeavesNoTimeToRetry(t *testing.T) {
	require.Zero(t, retryAfter(time.Second, -time.Second, time.Second, 0.5))
	require.Equal(t, 10*time.Millisecond, retryAfter(time.Second, 40*time.Millisecond, time.Second, 0.5))
}
