package endpoint_test

import (
	"fmt"
	"math"
	"math/rand/v2"
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

// TestRatesAreLearned guards against figures of another deployment's engine: the prompts of deployments A
// and B are read at 221 and 76.8 tokens a millisecond, and the share of a further request is that of no
// other engine.
func TestRatesAreLearned(t *testing.T) {
	tests := []struct {
		name       string
		promptRate float64
		// want is the rate after all turns, fewAfter that after too few of them.
		want float64
	}{
		{"deployment A", 221, 221},
		{"deployment B", 76.8, 76.8},
		{"as assumed", 150, 150},
		{"absurdly slow", 0.1, 15},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newSpeedsFixture(2)
			rng := rand.New(rand.NewPCG(1, 1))
			for n := range 400 {
				tokens := 300 + rng.IntN(3000)
				ms := 12 + 2*rng.NormFloat64() + float64(tokens)/test.promptRate
				if n%20 == 0 {
					ms += 60 // a new connection or a busy front
				}
				f.RecordFirstEvent(f.target(t, n%2), int64(tokens), time.Duration(ms*float64(time.Millisecond)), f.now)
				f.now = f.now.Add(20 * time.Millisecond)
				f.RefreshSpeeds(f.now)
				if n < 49 {
					require.Equal(t, 150.0, f.PromptRate("s"))
				}
			}
			require.InEpsilon(t, test.want, f.PromptRate("s"), 0.2)
			require.Equal(t, 150.0, f.PromptRate("other"))
		})
	}
}

// TestPromptRateNeedsIdleEngines guards against prompts that waited inside a busy engine.
func TestPromptRateNeedsIdleEngines(t *testing.T) {
	f := newSpeedsFixture(1)
	for range 3 {
		_, result := f.Pick(endpoint.Query{Service: "s"}, f.now)
		require.Equal(t, endpoint.Picked, result)
	}
	for n := range 400 {
		f.RecordFirstEvent(f.target(t, 0), int64(100+10*n), time.Duration(10+n)*time.Millisecond, f.now)
		f.now = f.now.Add(20 * time.Millisecond)
		f.RefreshSpeeds(f.now)
	}
	require.Equal(t, 150.0, f.PromptRate("s"))
}

// TestShareOfLoadIsLearned guards against engines that fill up one after the other where a further
// request slows the others down more than assumed: the learned share makes picks prefer the emptier
// engine over one in this domain.
func TestShareOfLoadIsLearned(t *testing.T) {
	tests := []struct {
		name  string
		share float64
		// emptier is set if the emptier engine must be picked.
		emptier bool
	}{
		{"as assumed", 0.015, false},
		{"six times", 0.09, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newSpeedsFixture(2)
			rng := rand.New(rand.NewPCG(1, 1))
			for range 1500 {
				i, others := rng.IntN(2), rng.IntN(5)
				f.UpdatePeerLoads("front-2", []endpoint.Load{{Endpoint: endpoint.Key(fmt.Sprint(i)), Running: others + 1}}, f.now)
				ms := 2.4 * (1 + test.share*float64(others)) * math.Exp(0.05*rng.NormFloat64())
				target := f.target(t, i)
				f.RecordTokenTime(target, time.Duration(ms*float64(time.Millisecond)), f.now)
				f.now = f.now.Add(10 * time.Millisecond)
				f.RefreshSpeeds(f.now)
			}
			require.Less(t, f.SpeedSpread(), 1.2)
			f.UpdatePeerLoads("front-2", []endpoint.Load{{Endpoint: endpoint.Key("0"), Running: 2}}, f.now)
			emptier := 0
			for range 100 {
				target, _ := f.Pick(endpoint.Query{Service: "s", Kind: "new", PreferredID: "0", PreferredSaving: 8 * time.Millisecond}, f.now)
				f.Release(target)
				if target.ID() == "1" {
					emptier++
				}
			}
			require.Equal(t, test.emptier, emptier > 50, "%d of 100", emptier)
		})
	}
}

// TestSpeedIsNotCountedTwice guards against an endpoint that is slow for good and counts as temporarily
// slow as well: what is observed beyond its usual time is a slowdown, the usual time is not.
func TestSpeedIsNotCountedTwice(t *testing.T) {
	f := newSpeedsFixture(4)
	serve := func(length time.Duration, factor func(i int) float64) {
		for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
			for i := range f.count {
				target := f.target(t, i)
				done := f.now.Add(time.Duration(40 * factor(i) * float64(time.Millisecond)))
				f.RecordTokenTime(target, time.Duration(2.4*factor(i)*float64(time.Millisecond)), f.now)
				f.RecordSuccess(target, done)
			}
			f.RefreshSpeeds(f.now)
		}
	}
	usual := func(i int) float64 {
		if i == 0 {
			return 2.4
		}
		return 1
	}
	// pickedAt returns the share of picks of endpoint 0 if it saves some time.
	pickedAt := func(saving time.Duration) float64 {
		n := 0
		for range 200 {
			target, _ := f.Pick(endpoint.Query{Service: "s", Kind: "k", PreferredID: "0", PreferredSaving: saving}, f.now)
			f.Release(target)
			if target.ID() == "0" {
				n++
			}
		}
		return float64(n) / 200
	}
	serve(10*time.Second, usual)
	typical, _ := f.TypicalTime("k")
	require.InDelta(t, 40, typical.Seconds()*1000, 3, "the typical time is that of a median endpoint")
	require.Greater(t, pickedAt(75*time.Millisecond), 0.95, "the endpoint takes 56 ms longer; counted twice, it would be 112 ms")
	require.Less(t, pickedAt(40*time.Millisecond), 0.05)
	serve(300*time.Millisecond, func(i int) float64 {
		if i == 0 {
			return 2.5 * usual(i)
		}
		return usual(i)
	})
	require.Less(t, pickedAt(75*time.Millisecond), 0.05, "slower than usual by 2.5, it is temporarily slow")
}
