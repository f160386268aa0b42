package overload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/overload"
)

// TestProgramsThatHaveWaitedYieldToFreshOnes guards against full engines that are filled with programs
// which come back after refusals and can't be in time any more.
func TestProgramsThatHaveWaitedYieldToFreshOnes(t *testing.T) {
	tests := []struct {
		name    string
		running int
		// waited and left are what the program has waited, and has left to its deadline.
		waited, left time.Duration
		refused      bool
	}{
		{name: "fresh", running: 100, left: 4 * time.Second},
		{name: "came back soon", running: 100, waited: 150 * time.Millisecond, left: 3850 * time.Millisecond},
		{name: "has waited", running: 100, waited: 250 * time.Millisecond, left: 3750 * time.Millisecond, refused: true},
		{name: "late", running: 100, waited: 5 * time.Second, left: -time.Second, refused: true},
		{name: "has waited, engines not full", running: 70, waited: 2 * time.Second, left: 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, d, now := started(0.9, nil)
			d.setRunning(test.running)
			r := newRequest(now)
			r.Waited, r.ProgramDeadline = test.waited, now.Add(test.left)
			b, err := c.Begin(r, now)
			if !test.refused {
				require.NoError(t, err)
				b.Abandoned(now)
				return
			}
			require.ErrorContains(t, err, "its program has waited")
			after, ok := overload.RetryAfter(err)
			require.True(t, ok)
			require.Positive(t, after)
		})
	}
}
