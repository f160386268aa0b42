package mesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func hear(t *table, name string, weight float64, change func(g *meshpb.Gossip)) {
	g := &meshpb.Gossip{Name: name, Domain: "a", Incarnation: 1, Sequence: 1, Weight: weight}
	if change != nil {
		change(g)
	}
	t.hear(g, name+":1", noon)
}

func homes(t *table, self bool) map[string]int {
	out := map[string]int{}
	for s := range 240 {
		out[t.home(s, noon, self, false).name]++
	}
	return out
}

func TestShardsSpreadOverStrongFronts(t *testing.T) {
	tab := newTable("front-0", 0.8)
	for i := range 3 {
		hear(tab, fmt.Sprintf("front-%d", i+1), 0.8, nil)
	}
	hear(tab, "small", 0.1, nil)
	hear(tab, "leaving", 0.8, func(g *meshpb.Gossip) { g.Leaving = true })
	hear(tab, "starting", 0.8, func(g *meshpb.Gossip) { g.Starting = true })
	counts := homes(tab, true)
	require.Len(t, counts, 4)
	for name, n := range counts {
		require.Greater(t, n, 30, name)
	}
	require.NotContains(t, homes(tab, false), "front-0")
}

func TestFrontsWithoutTheStoreAreHomesOnlyWhenNoneHasIt(t *testing.T) {
	tab := newTable("front-0", 0.8)
	hear(tab, "front-1", 0.8, nil)
	hear(tab, "cut", 0.8, func(g *meshpb.Gossip) { g.StoreLost = true })
	require.NotContains(t, homes(tab, true), "cut")
	tab.setStoreLost(true, noon)
	require.Equal(t, map[string]int{"front-1": 240}, homes(tab, true))
	hear(tab, "front-1", 0.8, func(g *meshpb.Gossip) { g.Sequence, g.StoreLost = 2, true })
	require.Len(t, homes(tab, true), 3, "in an outage for all the homes stay what they were")
}

// TestFirstFrontBackAtTheStoreTakesNoShards is omuti-grown trouble-3: at the end of an
// outage for all, every shard was loaded by eight fronts in turn.
func TestFirstFrontBackAtTheStoreTakesNoShards(t *testing.T) {
	tab := newTable("front-0", 0.8)
	lost := func(sequence uint64, lost bool) func(g *meshpb.Gossip) {
		return func(g *meshpb.Gossip) { g.Sequence, g.StoreLost = sequence, lost }
	}
	tab.setStoreLost(true, noon)
	for _, name := range []string{"front-1", "front-2", "front-3"} {
		hear(tab, name, 0.8, lost(1, true))
	}
	before := homes(tab, true)
	hear(tab, "front-1", 0.8, lost(2, false))
	require.Equal(t, before, homes(tab, true))
	tab.setStoreLost(false, noon)
	require.Equal(t, before, homes(tab, true))
}

// TestSlowFrontIsNotTakenForGone is omuti-grown trouble-3: a ping that took over 150 ms
// ended the session to a busy front, and all requests on it failed at once.
func TestSlowFrontIsNotTakenForGone(t *testing.T) {
	tab := newTable("front-0", 0.8)
	hear(tab, "front-1", 0.8, nil)
	require.Equal(t, slowPingTimeout, tab.patience("front-1", noon.Add(200*time.Millisecond)))
	require.Equal(t, pingTimeout, tab.patience("front-1", noon.Add(time.Second)))
	require.Equal(t, pingTimeout, tab.patience("unknown", noon))
}

func TestAllFrontsAgreeOnHomes(t *testing.T) {
	first, second := newTable("front-1", 0.8), newTable("front-2", 0.8)
	hear(first, "front-2", 0.8, nil)
	hear(second, "front-1", 0.8, nil)
	require.Equal(t, homes(first, true), homes(second, true))
}

func TestLostFrontMovesOnlyItsShards(t *testing.T) {
	tab := newTable("front-0", 0.8)
	for i := range 4 {
		hear(tab, fmt.Sprintf("front-%d", i+1), 0.8, nil)
	}
	before := map[int]string{}
	for s := range 240 {
		before[s] = tab.home(s, noon, true, false).name
	}
	tab.distrust("front-3", noon.Add(time.Second))
	for s := range 240 {
		after := tab.home(s, noon, true, false).name
		require.NotEqual(t, "front-3", after)
		if before[s] != "front-3" {
			require.Equal(t, before[s], after)
		}
	}
}

func TestOldGossipChangesNothing(t *testing.T) {
	tab := newTable("front-0", 0.8)
	hear(tab, "front-1", 0.8, func(g *meshpb.Gossip) { g.Incarnation, g.Sequence = 2, 5 })
	hear(tab, "front-1", 0.1, func(g *meshpb.Gossip) { g.Incarnation, g.Sequence = 2, 4 })
	hear(tab, "front-1", 0.1, func(g *meshpb.Gossip) { g.Incarnation, g.Sequence = 1, 9 })
	require.Equal(t, 0.8, tab.peers["front-1"].weight)
	require.Empty(t, tab.alive(noon.Add(2*lifeTime)))
}

func TestThirdCrashBansARequest(t *testing.T) {
	c := newCrashes()
	for attempt := range uint64(3) {
		require.False(t, c.banned(7))
		c.add(7, attempt, noon)
		c.add(7, attempt, noon)
	}
	require.True(t, c.banned(7))
	other := newCrashes()
	for _, crash := range c.recent(noon) {
		other.add(crash.GetRequest(), crash.GetAttempt(), noon)
	}
	require.True(t, other.banned(7), "other fronts learn of it")
	c.recent(noon.Add(2 * crashMemory))
	require.False(t, c.banned(7))
}

func TestCopiesAreHeldUntilSettled(t *testing.T) {
	h := newHeld()
	require.True(t, h.put("front-1", 3, [][]byte{[]byte("a"), []byte("b")}, noon))
	require.True(t, h.put("front-1", 3, [][]byte{[]byte("a")}, noon))
	require.Len(t, h.list(3), 2)
	require.Empty(t, h.orphans(func(string) bool { return true }))
	require.Len(t, h.orphans(func(string) bool { return false })[3], 2)
	h.drop(3, [][]byte{[]byte("a")})
	require.Equal(t, [][]byte{[]byte("b")}, h.list(3))
	require.False(t, h.put("front-1", 4, [][]byte{make([]byte, maxHeldBytes)}, noon), "what is held is bounded")
}
