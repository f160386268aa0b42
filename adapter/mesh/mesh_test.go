package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/quarantine"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func applyGossip(table *peerTable, name string, weight float64, modify func(g *meshpb.Gossip)) {
	g := &meshpb.Gossip{Name: name, Domain: "a", Incarnation: 1, Sequence: 1, Weight: weight}
	if modify != nil {
		modify(g)
	}
	table.applyGossip(g, name+":1", noon, noon)
}

func shardCountByHome(table *peerTable, includeSelf bool) map[string]int {
	shardCounts := map[string]int{}
	for shard := range 240 {
		shardCounts[table.home(shard, noon, includeSelf, false).name]++
	}
	return shardCounts
}

func TestShardsSpreadOverEligibleFronts(t *testing.T) {
	table := newPeerTable("front-0", 0.8)
	for i := range 3 {
		applyGossip(table, fmt.Sprintf("front-%d", i+1), 0.8, nil)
	}
	applyGossip(table, "small", 0.1, nil)
	applyGossip(table, "leaving", 0.8, func(g *meshpb.Gossip) { g.Leaving = true })
	applyGossip(table, "starting", 0.8, func(g *meshpb.Gossip) { g.Starting = true })
	counts := shardCountByHome(table, true)
	require.Len(t, counts, 4)
	for name, n := range counts {
		require.Greater(t, n, 30, name)
	}
	require.NotContains(t, shardCountByHome(table, false), "front-0")
}

func TestFrontsWithoutTheStoreAreHomesOnlyWhenNoneHasIt(t *testing.T) {
	table := newPeerTable("front-0", 0.8)
	applyGossip(table, "front-1", 0.8, nil)
	applyGossip(table, "cut", 0.8, func(g *meshpb.Gossip) { g.StoreLost = true })
	require.NotContains(t, shardCountByHome(table, true), "cut")
	table.setStoreLost(true, noon)
	require.Equal(t, map[string]int{"front-1": 240}, shardCountByHome(table, true))
	applyGossip(table, "front-1", 0.8, func(g *meshpb.Gossip) { g.Sequence, g.StoreLost = 2, true })
	require.Len(t, shardCountByHome(table, true), 3, "homes stay the same in an outage that affects all fronts")
}

// At the end of a store outage that affects all fronts, the first front that reaches the
// store again must not become the home of every shard: each shard would be loaded by one
// front after the other as they come back.
func TestFirstFrontToReachStoreAgainTakesNoShards(t *testing.T) {
	table := newPeerTable("front-0", 0.8)
	lost := func(sequence uint64, lost bool) func(g *meshpb.Gossip) {
		return func(g *meshpb.Gossip) { g.Sequence, g.StoreLost = sequence, lost }
	}
	table.setStoreLost(true, noon)
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		applyGossip(table, name, 0.8, lost(1, true))
	}
	before := shardCountByHome(table, true)
	applyGossip(table, "front-1", 0.8, lost(2, false))
	require.Equal(t, before, shardCountByHome(table, true))
	table.setStoreLost(false, noon)
	require.Equal(t, before, shardCountByHome(table, true))
}

// A front that still gossips gets the longer ping timeout. With pingTimeout alone, a ping
// that takes over 150 ms closes the session to a busy front and fails all its requests.
func TestGossipingFrontGetsLongerPingTimeout(t *testing.T) {
	table := newPeerTable("front-0", 0.8)
	applyGossip(table, "front-1", 0.8, nil)
	require.Equal(t, slowPingTimeout, table.pingTimeoutFor("front-1", noon.Add(200*time.Millisecond)))
	require.Equal(t, pingTimeout, table.pingTimeoutFor("front-1", noon.Add(time.Second)))
	require.Equal(t, pingTimeout, table.pingTimeoutFor("unknown", noon))
}

func TestAllFrontsAgreeOnHomes(t *testing.T) {
	first, second := newPeerTable("front-1", 0.8), newPeerTable("front-2", 0.8)
	applyGossip(first, "front-2", 0.8, nil)
	applyGossip(second, "front-1", 0.8, nil)
	require.Equal(t, shardCountByHome(first, true), shardCountByHome(second, true))
}

func TestLostFrontMovesOnlyItsShards(t *testing.T) {
	table := newPeerTable("front-0", 0.8)
	for i := range 4 {
		applyGossip(table, fmt.Sprintf("front-%d", i+1), 0.8, nil)
	}
	before := map[int]string{}
	for shard := range 240 {
		before[shard] = table.home(shard, noon, true, false).name
	}
	table.suspend("front-3", noon.Add(time.Second))
	for shard := range 240 {
		after := table.home(shard, noon, true, false).name
		require.NotEqual(t, "front-3", after)
		if before[shard] != "front-3" {
			require.Equal(t, before[shard], after)
		}
	}
}

func TestOldGossipChangesNothing(t *testing.T) {
	table := newPeerTable("front-0", 0.8)
	applyGossip(table, "front-1", 0.8, func(g *meshpb.Gossip) { g.Incarnation, g.Sequence = 2, 5 })
	applyGossip(table, "front-1", 0.1, func(g *meshpb.Gossip) { g.Incarnation, g.Sequence = 2, 4 })
	applyGossip(table, "front-1", 0.1, func(g *meshpb.Gossip) { g.Incarnation, g.Sequence = 1, 9 })
	require.Equal(t, 0.8, table.peers["front-1"].weight)
	require.Empty(t, table.alive(noon.Add(2*aliveTimeout)))
}

// TestThirdCrashBansARequestAtAllFronts checks that a ban, and its end when the request runs to its end
// somewhere, reach another front.
func TestThirdCrashBansARequestAtAllFronts(t *testing.T) {
	first, second := newTestMesh(t, "first"), newTestMesh(t, "second")
	request := quarantine.NewIdentity([][]byte{[]byte("boom")}, "program")
	tell := func(from, to *Mesh) {
		now := time.Now()
		to.handleGossip(from.newGossip(now), "127.0.0.1:1", now, now)
	}
	for incarnation := range uint64(3) {
		tell(first, second)
		require.False(t, first.Banned(request))
		require.False(t, second.Banned(request))
		beganAt := time.Now()
		for range 2 {
			first.RecordCrash(request, incarnation, beganAt, beganAt.Add(time.Millisecond))
		}
		time.Sleep(2 * time.Millisecond)
	}
	tell(first, second)
	require.True(t, first.Banned(request))
	require.True(t, second.Banned(request), "gossip carries the ban to other fronts")
	second.RecordCompletion(request)
	tell(second, first)
	require.False(t, first.Banned(request), "gossip carries the end of the ban to other fronts")
}

func TestReplicasAreStoredUntilRemoved(t *testing.T) {
	replicas := newReplicaStore()
	require.True(t, replicas.add("front-1", 3, [][]byte{[]byte("a"), []byte("b")}, noon))
	require.True(t, replicas.add("front-1", 3, [][]byte{[]byte("a")}, noon))
	require.Len(t, replicas.forShard(3), 2)
	require.Empty(t, replicas.orphans(func(string) bool { return true }))
	require.Len(t, replicas.orphans(func(string) bool { return false })[3], 2)
	replicas.remove(3, [][]byte{[]byte("a")})
	require.Equal(t, [][]byte{[]byte("b")}, replicas.forShard(3))
	require.False(t, replicas.add("front-1", 4, [][]byte{make([]byte, maxReplicaBytes)}, noon), "replicas are bounded by maxReplicaBytes")
}

// TestFrontsThatAllStartShareTheShards guards against a loss of all fronts after which each of
// them takes itself for the home of every shard, and then the first that has started.
func TestFrontsThatAllStartShareTheShards(t *testing.T) {
	const count = 6
	for _, test := range []struct {
		name    string
		started int
		// homes is the number of fronts that are homes.
		homes int
	}{
		{name: "none has started", started: 0, homes: count},
		{name: "one has started", started: 1, homes: count},
		{name: "half have started", started: count / 2, homes: count / 2},
		{name: "one is starting", started: count - 1, homes: count - 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var fronts []*Mesh
			for i := range count {
				m := newTestMesh(t, fmt.Sprint("front-", i))
				m.config.Shards = 60
				if i < test.started {
					m.MarkStarted()
				}
				fronts = append(fronts, m)
			}
			for _, to := range fronts {
				for _, from := range fronts {
					if to != from {
						to.peers.applyGossip(from.newGossip(time.Now()), from.Address(), time.Now().Add(time.Hour), time.Now().Add(time.Hour))
					}
				}
			}
			homes := map[string]bool{}
			for shard := range 60 {
				home := fronts[0].homeOfShard(shard).name
				homes[home] = true
				for _, front := range fronts {
					require.Equal(t, home, front.homeOfShard(shard).name)
				}
			}
			require.Len(t, homes, test.homes)
		})
	}
}
