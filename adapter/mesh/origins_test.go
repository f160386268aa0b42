package mesh

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/origin"
)

// fleet starts fronts that take each other for alive for an hour. stop cuts one of them off all others.
func fleet(t *testing.T, count int) (fronts []*Mesh, stop func(front int)) {
	stops := make([]context.CancelFunc, count)
	for i := range count {
		front := newTestMesh(t, fmt.Sprint("front-", i))
		front.config.Domain = fmt.Sprint("domain-", i%3)
		ctx, cancel := context.WithCancel(t.Context())
		t.Cleanup(cancel)
		stops[i] = cancel
		go front.serve(ctx)
		fronts = append(fronts, front)
	}
	for _, a := range fronts {
		for _, b := range fronts {
			if a == b {
				continue
			}
			g := &meshpb.Gossip{Name: b.config.Name, Domain: b.config.Domain, Incarnation: 1, Sequence: 1, Weight: 1}
			a.peers.applyGossip(g, b.Address(), time.Now().Add(time.Hour), time.Now().Add(time.Hour))
		}
	}
	return fronts, func(front int) {
		stops[front]()
		_ = fronts[front].listener.Close()
		fronts[front].sessions.Close()
		// The connections that it has accepted are closed in the background.
		for i, other := range fronts {
			if i != front {
				require.Eventually(t, func() bool {
					return !other.sessions.PingOrClose(fronts[front].Address(), time.Second)
				}, 5*time.Second, time.Millisecond)
			}
		}
	}
}

func survey(attempt string) origin.Origin {
	return origin.Origin{Attempt: attempt, Service: "s", Version: "v1.1", Sequence: 1}
}

// TestOriginSurvivesTheLossOfTwoFronts guards against streams that can't be resumed because the
// front that began them and one more are lost at the same time.
func TestOriginSurvivesTheLossOfTwoFronts(t *testing.T) {
	fronts, stop := fleet(t, 8)
	for i := range 20 {
		fronts[0].RecordOrigin(t.Context(), survey(fmt.Sprint("attempt-", i)), true)
	}
	stop(0)
	stop(1)
	for i := range 20 {
		for _, front := range fronts[2:] {
			found, ok, _ := front.FindOrigin(t.Context(), fmt.Sprint("attempt-", i))
			require.True(t, ok, i)
			require.Equal(t, survey(fmt.Sprint("attempt-", i)), found)
		}
	}
}

// TestEarlierOriginsAreCopiedWhenAnotherVersionAppears guards against streams that began before
// the second version did, and can't be resumed through another front.
func TestEarlierOriginsAreCopiedWhenAnotherVersionAppears(t *testing.T) {
	fronts, stop := fleet(t, 5)
	fronts[0].RecordOrigin(t.Context(), survey("earlier"), false)
	fronts[0].RecordOrigin(t.Context(), survey("later"), true)
	require.Eventually(t, func() bool {
		copies := 0
		for _, front := range fronts[1:] {
			if _, ok := front.origins.Find("earlier"); ok {
				copies++
			}
		}
		return copies >= minOriginCopies
	}, 5*time.Second, time.Millisecond)
	stop(0)
	_, ok, _ := fronts[1].FindOrigin(t.Context(), "earlier")
	require.True(t, ok)
}

// TestLaterOriginIsFoundBehindOneWithoutAVersion guards against streams that can't be resumed where the
// version that began them was not confirmed at first, and against an earlier version in its place.
func TestLaterOriginIsFoundBehindOneWithoutAVersion(t *testing.T) {
	fronts, _ := fleet(t, 4)
	unconfirmed := origin.Origin{Attempt: "a", Service: "s", Sequence: 2}
	fronts[0].origins.Put(unconfirmed, time.Now())
	for _, front := range fronts[1:] {
		front.origins.Put(survey("a"), time.Now())
	}
	found, ok, err := fronts[0].FindOrigin(t.Context(), "a")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, unconfirmed, found, "an earlier origin does not hold")
	confirmed := survey("a")
	confirmed.Sequence = 3
	for _, front := range fronts[1:] {
		front.origins.Put(confirmed, time.Now())
	}
	found, ok, err = fronts[0].FindOrigin(t.Context(), "a")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, confirmed, found)
}

// TestEarlierOriginOfAFrontThatWasSuspendedDoesNotHold guards against streams joined from two versions
// where a front has missed the copy of the latest origin.
func TestEarlierOriginOfAFrontThatWasSuspendedDoesNotHold(t *testing.T) {
	earlier, latest := survey("a"), survey("a")
	latest.Version, latest.Sequence = "v1.2", 2
	tests := []struct {
		name string
		// held is what each front holds.
		held [4]origin.Origin
	}{
		{name: "at the front that is asked", held: [4]origin.Origin{earlier, latest, latest}},
		{name: "at one of the others", held: [4]origin.Origin{{}, earlier, latest, latest}},
		{name: "at both", held: [4]origin.Origin{earlier, earlier, {}, latest}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for range 10 {
				fronts, _ := fleet(t, len(test.held))
				for i, o := range test.held {
					if o.Sequence > 0 {
						fronts[i].origins.Put(o, time.Now())
					}
				}
				found, ok, err := fronts[0].FindOrigin(t.Context(), "a")
				require.NoError(t, err)
				require.True(t, ok)
				require.Equal(t, latest, found)
			}
		})
	}
}

// TestSearchOfAnOriginTellsWhoDidNotAnswer checks that an unknown origin is told from one that a
// silent front may know.
func TestSearchOfAnOriginTellsWhoDidNotAnswer(t *testing.T) {
	fronts, stop := fleet(t, 3)
	_, ok, err := fronts[0].FindOrigin(t.Context(), "never")
	require.NoError(t, err)
	require.False(t, ok)
	stop(1)
	_, ok, err = fronts[0].FindOrigin(t.Context(), "never")
	require.Error(t, err)
	require.False(t, ok)
	_, ok, err = newTestMesh(t, "alone").FindOrigin(t.Context(), "never")
	require.Error(t, err)
	require.False(t, ok)
}

// TestOriginHoldersAreInSeveralDomains checks that the loss of a domain leaves a copy.
func TestOriginHoldersAreInSeveralDomains(t *testing.T) {
	fronts, _ := fleet(t, 8)
	for i := range 50 {
		domains := map[string]bool{}
		for _, holder := range fronts[0].originHolders(fmt.Sprint("attempt-", i), originCopies) {
			require.NotEqual(t, "front-0", holder.name)
			domains[holder.domain] = true
		}
		require.GreaterOrEqual(t, len(domains), 2)
	}
}
