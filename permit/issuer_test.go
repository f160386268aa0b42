package permit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/permit"
)

var (
	noon   = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	engine = permit.Endpoint{Key: 1, StartedUnixMS: 5}
)

// takenIn asks for a permit every millisecond and returns how many were taken.
func takenIn(i *permit.Issuer, perSecond float64, from time.Time, span time.Duration) int {
	taken := 0
	for at := from; at.Before(from.Add(span)); at = at.Add(time.Millisecond) {
		if i.Take(engine, perSecond, at) == 0 {
			taken++
		}
	}
	return taken
}

// TestPermitsFollowTheRate checks how many permits are taken in 4 s when more are asked for.
func TestPermitsFollowTheRate(t *testing.T) {
	tests := []struct {
		perSecond   float64
		least, most int
	}{
		{0, 1, 1}, {0.5, 2, 3}, {1, 4, 5}, {7.2, 28, 30}, {100, 399, 402}, {1e300, 4000, 4000},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.perSecond), func(t *testing.T) {
			taken := takenIn(permit.NewIssuer(), test.perSecond, noon, 4*time.Second)
			require.GreaterOrEqual(t, taken, test.least)
			require.LessOrEqual(t, taken, test.most)
		})
	}
}

// TestUnusedPermitsExpire guards against a burst after a pause, such as that of a suspended front.
func TestUnusedPermitsExpire(t *testing.T) {
	i := permit.NewIssuer()
	require.Zero(t, i.Take(engine, 8, noon))
	require.LessOrEqual(t, takenIn(i, 8, noon.Add(20*time.Second), 50*time.Millisecond), 3)
}

// TestWaitLeadsToThePermit checks that a permit is free after the wait that was returned.
func TestWaitLeadsToThePermit(t *testing.T) {
	i := permit.NewIssuer()
	require.Zero(t, i.Take(engine, 5, noon))
	wait := i.Take(engine, 5, noon)
	require.Equal(t, 200*time.Millisecond, wait)
	require.Zero(t, i.Take(engine, 5, noon.Add(wait)))
}

// TestHigherRateNeedsNoWaitForTheLowerOne checks that a raised limit holds at once.
func TestHigherRateNeedsNoWaitForTheLowerOne(t *testing.T) {
	i := permit.NewIssuer()
	require.Zero(t, i.Take(engine, 0, noon))
	require.LessOrEqual(t, i.Take(engine, 100, noon), 10*time.Millisecond)
}

// TestIncarnationsHavePermitsOfTheirOwn checks that a restarted endpoint starts anew.
func TestIncarnationsHavePermitsOfTheirOwn(t *testing.T) {
	i := permit.NewIssuer()
	require.Zero(t, i.Take(engine, 1, noon))
	require.NotZero(t, i.Take(engine, 1, noon))
	require.Zero(t, i.Take(permit.Endpoint{Key: 1, StartedUnixMS: 6}, 1, noon))
}
