package endpoint_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// speedsFixture is a directory of one service with endpoints "0", "1" and so on.
type speedsFixture struct {
	*endpoint.Directory
	now   time.Time
	count int
}

func newSpeedsFixture(count int) *speedsFixture {
	f := &speedsFixture{Directory: endpoint.NewDirectory(), now: noon, count: count}
	for i := range count {
		f.register(i, 1)
	}
	return f
}

// register adds an incarnation of an endpoint.
func (f *speedsFixture) register(i int, started int64) {
	f.Put(endpoint.Registration{ID: fmt.Sprint(i), StartedUnixMS: started, Service: "s", Address: "127.0.0.1:1", Slots: 6}, f.now)
}

// target picks an endpoint and releases it again.
func (f *speedsFixture) target(t *testing.T, i int) endpoint.Target {
	excluded := map[string]bool{}
	for other := range f.count {
		excluded[fmt.Sprint(other)] = other != i
	}
	target, result := f.Pick(endpoint.Query{Service: "s", Kind: "k", ExcludedIDs: excluded}, f.now)
	require.Equal(t, endpoint.Picked, result)
	f.Release(target)
	return target
}

// observe lets each endpoint serve a stream with one event gap every 100 ms for some time. perToken
// returns the time per token at an endpoint, 0 for none.
func (f *speedsFixture) observe(t *testing.T, length time.Duration, perToken func(i int) time.Duration) (changes []endpoint.SpeedChange) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
		for i := range f.count {
			if p := perToken(i); p > 0 {
				f.RecordTokenTime(f.target(t, i), p, f.now)
			}
		}
		changes = append(changes, f.RefreshSpeeds(f.now)...)
	}
	return changes
}

// shares returns the share of idle picks that each endpoint gets.
func (f *speedsFixture) shares(picks int) []float64 {
	out := make([]float64, f.count)
	for range picks {
		target, _ := f.Pick(endpoint.Query{Service: "s", Kind: "k"}, f.now)
		f.Release(target)
		var i int
		_, _ = fmt.Sscan(target.ID(), &i)
		out[i] += 1 / float64(picks)
	}
	return out
}

// mixedSpeeds are the times per token of engines like those of deployment B.
func mixedSpeeds(i int) time.Duration {
	return []time.Duration{3700, 3700, 1540}[i%3] * time.Microsecond
}

// TestFastEnginesAreUsedFirst guards against engines of one service that are taken for equal: the fast
// ones of deployment B, idle, get all requests but those that observe the others.
func TestFastEnginesAreUsedFirst(t *testing.T) {
	f := newSpeedsFixture(6)
	changes := f.observe(t, 2400*time.Millisecond, mixedSpeeds)
	require.Empty(t, changes, "speeds count only after they have differed for two seconds")
	changes = f.observe(t, 4*time.Second, mixedSpeeds)
	require.Len(t, changes, 2, "each of the fast engines once")
	require.InDelta(t, 1.54/3.7, changes[0].Ratio, 0.02)
	require.InDelta(t, 3.7/1.54, f.SpeedSpread(), 0.1)
	shares := f.shares(2000)
	require.Greater(t, shares[2]+shares[5], 0.98)
}

// TestAlikeEndpointsArePickedAsBefore guards against picks that change on deployments whose endpoints
// are equally fast: differences below a fifth change nothing.
func TestAlikeEndpointsArePickedAsBefore(t *testing.T) {
	learnt, fresh := newSpeedsFixture(4), newSpeedsFixture(4)
	require.Empty(t, learnt.observe(t, 10*time.Second, func(i int) time.Duration {
		return time.Duration(2400+150*(i%3)) * time.Microsecond
	}))
	require.Less(t, learnt.SpeedSpread(), 1.2)
	fresh.now = learnt.now
	const picks = 20_000
	a, b := learnt.shares(picks), fresh.shares(picks)
	for i := range a {
		// Five standard deviations of the difference of two shares of a quarter.
		require.InDelta(t, b[i], a[i], 5*math.Sqrt(2*0.25*0.75/picks))
	}
}

// TestNewIncarnationStartsWithoutObservations guards against a speed that outlives the process that
// had it, such as that of an engine that moved to another machine.
func TestNewIncarnationStartsWithoutObservations(t *testing.T) {
	f := newSpeedsFixture(3)
	f.observe(t, 6*time.Second, mixedSpeeds)
	require.Greater(t, f.shares(500)[2], 0.9)
	f.register(2, 2)
	for _, r := range f.Speeds(f.now) {
		require.NotEqual(t, endpoint.Key("2"), r.Endpoint)
	}
	require.Zero(t, f.ApplySpeeds("front-2", []endpoint.SpeedReport{{Endpoint: endpoint.Key("2"), StartedUnixMS: 1, Ratio: 0.4, Observations: 50}}, f.now))
	f.observe(t, 6*time.Second, func(int) time.Duration { return 3700 * time.Microsecond })
	require.Less(t, f.SpeedSpread(), 1.2, "neither the earlier incarnation nor reports of it count")
}
