package mesh

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

// putEngines registers engines "0" to "n-1" of service "s" at a directory.
func putEngines(d *endpoint.Directory, n int) {
	for i := range n {
		d.Put(endpoint.Registration{ID: fmt.Sprint(i), StartedUnixMS: 1, Service: "s", Address: "127.0.0.1:1", Slots: 8}, time.Now().Add(-time.Minute))
	}
}

// observeTokens lets each engine deliver events for some time before now; times are those per token.
func observeTokens(t *testing.T, d *endpoint.Directory, now time.Time, length time.Duration, times ...time.Duration) {
	for at := now.Add(-length); !at.After(now); at = at.Add(100 * time.Millisecond) {
		picked, excluded := []endpoint.Target{}, map[string]bool{}
		for range times {
			target, result := d.Pick(endpoint.Query{Service: "s", ExcludedIDs: excluded}, at)
			require.Equal(t, endpoint.Picked, result)
			var i int
			_, err := fmt.Sscan(target.ID(), &i)
			require.NoError(t, err)
			d.RecordTokenTime(target, times[i], at)
			picked, excluded[target.ID()] = append(picked, target), true
		}
		for _, target := range picked {
			d.Release(target)
		}
		d.RefreshSpeeds(at)
	}
}

// nextSpeeds returns the next datagram of a front that has speeds.
func nextSpeeds(t *testing.T, m *Mesh, now time.Time) *meshpb.Gossip {
	for range speedsEvery {
		if g := m.newGossip(now); len(g.GetSpeeds()) > 0 {
			return g
		}
	}
	require.Fail(t, "no datagram has speeds")
	return nil
}

// TestSpeedsTravelByGossip checks which of the speeds that another front reports are taken over. It
// guards against a front that is misled by a broken one.
func TestSpeedsTravelByGossip(t *testing.T) {
	each := func(change func(s *meshpb.EndpointSpeed)) func(g *meshpb.Gossip) {
		return func(g *meshpb.Gossip) {
			for _, s := range g.GetSpeeds() {
				change(s)
			}
		}
	}
	tests := []struct {
		name   string
		modify func(g *meshpb.Gossip)
		spread float64
		// logged is set if the front must log a reason.
		logged bool
	}{
		{name: "as sent", modify: func(*meshpb.Gossip) {}, spread: 2},
		{name: "of another incarnation", modify: each(func(s *meshpb.EndpointSpeed) { s.StartedUnixMs = 2 }), spread: 1},
		{name: "too old", modify: each(func(s *meshpb.EndpointSpeed) { s.AgeMs = 60_000 }), spread: 1, logged: true},
		{name: "oldest age", modify: each(func(s *meshpb.EndpointSpeed) { s.AgeMs = math.MaxUint32 }), spread: 1, logged: true},
		{name: "not a number", modify: each(func(s *meshpb.EndpointSpeed) { s.Ratio = math.NaN() }), spread: 1, logged: true},
		{name: "infinite", modify: each(func(s *meshpb.EndpointSpeed) { s.Ratio = math.Inf(1) }), spread: 1, logged: true},
		{name: "negative", modify: each(func(s *meshpb.EndpointSpeed) { s.Ratio = -2 }), spread: 1, logged: true},
		{name: "absurd", modify: each(func(s *meshpb.EndpointSpeed) { s.Ratio = 1e9 }), spread: 1, logged: true},
		{name: "no observations", modify: each(func(s *meshpb.EndpointSpeed) { s.Observations = 0 }), spread: 1, logged: true},
		{name: "thousands of entries", modify: func(g *meshpb.Gossip) {
			for len(g.Speeds) < 5000 {
				g.Speeds = append(g.Speeds, g.GetSpeeds()[0])
			}
		}, spread: 1, logged: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender, receiver := newTestMesh(t, "sender"), newTestMesh(t, "receiver")
			core, logs := observer.New(zap.WarnLevel)
			receiver.config.Logger = zap.New(core)
			now := time.Now()
			for _, m := range []*Mesh{sender, receiver} {
				putEngines(m.config.Directory, 3)
			}
			observeTokens(t, sender.config.Directory, now, 5*time.Second, 2*time.Millisecond, 2*time.Millisecond, 4*time.Millisecond)
			for range 10 {
				g := nextSpeeds(t, sender, now)
				require.Len(t, g.GetSpeeds(), 3)
				test.modify(g)
				receiver.handleGossip(g, sender.Address(), now, now)
				now = now.Add(500 * time.Millisecond)
				receiver.refreshSpeeds(now)
			}
			require.InDelta(t, test.spread, receiver.config.Directory.SpeedSpread(), 0.05)
			require.Equal(t, test.logged, logs.FilterMessage("speeds of endpoints ignored").Len() > 0)
			for range speedsEvery {
				require.Empty(t, receiver.newGossip(now).GetSpeeds(), "only the front that observed them reports them")
			}
		})
	}
}

// TestAllSpeedsAreSentInTurn checks that more speeds than fit into a datagram are all sent, in one
// datagram of speedsEvery.
func TestAllSpeedsAreSentInTurn(t *testing.T) {
	const engines = 5 * maxGossipSpeeds / 2
	m := newTestMesh(t, "m")
	now := time.Now()
	putEngines(m.config.Directory, engines)
	var times []time.Duration
	for range engines {
		times = append(times, 2*time.Millisecond)
	}
	observeTokens(t, m.config.Directory, now, time.Second, times...)
	sent, datagrams := map[uint64]bool{}, 0
	for range 3 * speedsEvery {
		g := m.newGossip(now)
		require.LessOrEqual(t, len(g.GetSpeeds()), maxGossipSpeeds)
		if len(g.GetSpeeds()) > 0 {
			datagrams++
		}
		for _, s := range g.GetSpeeds() {
			sent[s.GetEndpoint()] = true
		}
	}
	require.Equal(t, 3, datagrams)
	require.Len(t, sent, engines)
}
