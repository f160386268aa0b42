package mesh

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// loadTime is how long a home needs to read a shard: more than replyTimeout, and less than
// the callers have.
const loadTime = replyTimeout + 400*time.Millisecond

// newStartingFront returns a front that is starting and knows no other one.
func newStartingFront(t *testing.T, name string, writerID uint64, log *turntest.Log) *Mesh {
	m := newTestMesh(t, name)
	m.SetHandlers(turn.New(turn.Config{
		WriterID: writerID, ShardCount: 4, Log: log, Replicator: m, FindElsewhere: m.Find, FindInMemoryElsewhere: m.FindInMemory, Logger: zap.NewNop(), IsHome: m.IsHome,
		Linger: turn.DefaultLinger, LogTimeout: turn.DefaultLogTimeout, ReadTimeout: turn.DefaultReadTimeout, MaxStaleness: turn.DefaultMaxStaleness,
		ReplicateBeginsAfter: turn.DefaultReplicateBeginsAfter, ReplicateEndsAfter: turn.DefaultReplicateEndsAfter,
	}), nil)
	return m
}

// newFrontAndHome returns a front that is starting and one that has started and is the home
// of all shards, with the log that the home reads.
func newFrontAndHome(t *testing.T) (front, home *Mesh, log *turntest.Log) {
	log = turntest.NewLog()
	log.SetReadDelay(loadTime)
	front, home = newStartingFront(t, "front", 1, log), newStartingFront(t, "home", 2, log)
	front.AddFront("home", home.Address())
	home.AddFront("front", front.Address())
	home.MarkStarted()
	for _, m := range []*Mesh{front, home} {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			m.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done })
	}
	require.Eventually(t, func() bool { return front.AliveCount() == 1 && home.AliveCount() == 1 }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, "home", front.homeOfShard(0).name)
	return front, home, log
}

// TestHomeAdmitsNoAttemptWhoseCallerHasLeft guards against handlers that outlive the
// requests they serve: while a shard is loaded they pile up, and then all are admitted and
// written to the log.
func TestHomeAdmitsNoAttemptWhoseCallerHasLeft(t *testing.T) {
	front, home, log := newFrontAndHome(t)
	ctx, cancel := context.WithTimeout(t.Context(), replyTimeout/2)
	defer cancel()
	_, err := front.Begin(ctx, turn.BeginRequest{Program: "p", Attempt: "a", BudgetTokens: 100, MaxTokens: 100})
	require.Error(t, err)
	time.Sleep(2 * loadTime)
	require.Equal(t, 1, home.shardSet.Status().LoadedShards)
	assert.Zero(t, log.Appends(), "the caller has left %v before the shard was loaded", loadTime-replyTimeout/2)
}

// TestBeginWaitsForTheLoadAtTheHome guards against requests that are refused while their
// home loads a shard, though they have time to wait for it.
func TestBeginWaitsForTheLoadAtTheHome(t *testing.T) {
	front, _, _ := newFrontAndHome(t)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := front.Begin(ctx, turn.BeginRequest{Program: "p", Attempt: "a", BudgetTokens: 100, MaxTokens: 100})
	assert.NoError(t, err, "the shard is loaded within %v", loadTime)
}

// TestHomeTellsWhetherAProgramHasBegun guards against turns of begun programs that are refused as
// beginnings because their home is another front.
func TestHomeTellsWhetherAProgramHasBegun(t *testing.T) {
	front, home, log := newFrontAndHome(t)
	log.SetReadDelay(0)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for _, m := range []*Mesh{front, home} {
		program := "p-" + m.config.Name
		first, err := m.Begin(ctx, turn.BeginRequest{Program: program, Attempt: program + "-a", BudgetTokens: 100, MaxTokens: 10})
		require.NoError(t, err)
		assert.False(t, first.Begun(), "first turn at %s", m.config.Name)
		require.NoError(t, m.End(ctx, turn.EndRequest{Program: program, Attempt: program + "-a", DeliveredTokens: 10}))
		second, err := m.Begin(ctx, turn.BeginRequest{Program: program, Attempt: program + "-b", BudgetTokens: 100, MaxTokens: 10})
		require.NoError(t, err)
		assert.True(t, second.Begun(), "second turn at %s", m.config.Name)
	}
	// A home of an earlier version does not tell.
	assert.True(t, (&remoteAdmission{continues: true, opened: &meshpb.Opened{}}).Begun(), "turn that continues another one")
}

// TestTurnIsNotFoundOnlyIfEveryHomeIsAsked guards against 404 for a turn of a shard whose home
// was suspended while the search began.
func TestTurnIsNotFoundOnlyIfEveryHomeIsAsked(t *testing.T) {
	homes := []string{"a", "b", "a", "gone"}
	homeOf := func(shard int) string { return homes[shard] }
	tests := []struct {
		name     string
		targets  []target
		excluded int
		want     map[string][]int
	}{
		{name: "each home is asked", targets: []target{{name: "a"}, {name: "b"}, {name: "gone"}}, excluded: 0, want: map[string][]int{"a": {2}, "b": {1}, "gone": {3}}},
		{name: "home of the excluded shard is gone", targets: []target{{name: "a"}, {name: "b"}}, excluded: 3, want: map[string][]int{"a": {0, 2}, "b": {1}}},
		{name: "home of another shard is gone", targets: []target{{name: "a"}, {name: "b"}}, excluded: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			shards, err := shardsByTarget(test.targets, len(homes), test.excluded, homeOf)
			require.Equal(t, test.want == nil, err != nil)
			require.Equal(t, test.want, shards)
		})
	}
}

// TestRequestsThatEndDuringAStartLoadNoShard guards against fronts that load every shard because
// requests, for none of which there is a home, end while they start.
func TestRequestsThatEndDuringAStartLoadNoShard(t *testing.T) {
	log := turntest.NewLog()
	front := newStartingFront(t, "front", 1, log)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := front.Begin(ctx, turn.BeginRequest{Program: "p", Attempt: "a", BudgetTokens: 100, MaxTokens: 100})
	require.Equal(t, turn.KindUnavailable, turn.KindOf(err))
	require.Error(t, front.End(ctx, turn.EndRequest{Program: "p", Attempt: "a"}))
	time.Sleep(100 * time.Millisecond)
	require.Zero(t, log.Reads())
	require.Zero(t, front.shardSet.Status().PendingRecords)
}

// TestLeavingFrontKeepsItsShardsWhileTheStoreIsAway guards against shards that nobody can load, as when
// fronts are restarted one after the other within an outage (omuti-large trouble-2, 11 to 16 s: 180
// tries ended because no home of their program could be reached or had loaded its shard).
func TestLeavingFrontKeepsItsShardsWhileTheStoreIsAway(t *testing.T) {
	away := time.Duration(0)
	m := newTestMesh(t, "m")
	m.config.StoreUnreachableFor = func() time.Duration { return away }
	m.MarkStarted()
	other := newTestMesh(t, "other")
	connectTo(m, other)
	shard := slices.Index([]bool{m.IsHome(0), m.IsHome(1), m.IsHome(2), m.IsHome(3)}, true)
	require.GreaterOrEqual(t, shard, 0)
	away = 2 * keepShardsAfter
	m.Leave()
	require.True(t, m.KeepsShards())
	require.True(t, m.IsHome(shard))
	require.False(t, m.newGossip(time.Now()).GetLeaving())
	away = 0
	require.False(t, m.KeepsShards())
	require.False(t, m.IsHome(shard))
	require.True(t, m.newGossip(time.Now()).GetLeaving())
}

// TestHomeIsUnknownUntilMostFrontsAreHeard guards against turns that go to a wrong home while all
// fronts start, which then loads the shard for nothing.
func TestHomeIsUnknownUntilMostFrontsAreHeard(t *testing.T) {
	m := newTestMesh(t, "m")
	m.AwaitPeers()
	m.MarkStarted()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	require.True(t, m.waitSettled(ctx))
	found := make(chan target)
	go func() { found <- m.homeOfProgram(t.Context(), "p") }()
	other := newTestMesh(t, "other")
	connectTo(m, other)
	select {
	case home := <-found:
		require.Fail(t, "home decided too early", home.name)
	case <-time.After(20 * time.Millisecond):
	}
	other.MarkStarted()
	m.MarkSettled()
	require.Equal(t, m.homeOfShard(turn.ShardOf("p", m.config.Shards)).name, (<-found).name)
	require.False(t, m.waitSettled(t.Context()))
}

// TestHomesStayWhileAllFrontsStart guards against shards that are loaded several times after the loss of
// all fronts: fronts without shards are ready at once, and as soon as they were the majority, they took
// the others' shards (stoyanov-vale-grown inc-070d: 80 loads of 24 shards, and 3.5 s until a third of
// the fronts was ready).
func TestHomesStayWhileAllFrontsStart(t *testing.T) {
	tests := []struct {
		name string
		cold bool
		want string
	}{
		{"all start", true, "big"}, {"one starts", false, "small-1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newPeerTable("self", 0.1)
			state := func(name string, weight float64, starting, cold bool) {
				table.applyGossip(&meshpb.Gossip{Name: name, Incarnation: 1, Sequence: 1, Weight: weight, Starting: starting, Cold: cold}, name+":1", noon, noon)
			}
			state("big", 100, true, test.cold)
			state("small-1", 0.3, false, test.cold)
			state("small-2", 0.01, false, test.cold)
			require.False(t, table.mostAreStarting(noon, false))
			require.Equal(t, test.want, table.home(3, noon, false, false).name)
		})
	}
}

// TestFrontIsNoHomeUntilASuspensionIsNoted guards against a front that wakes up and admits turns by what it
// knew before others became the homes of its shards.
func TestFrontIsNoHomeUntilASuspensionIsNoted(t *testing.T) {
	tests := []struct {
		name          string
		checkedBefore time.Duration
		want          bool
	}{
		{name: "checked just now", want: true},
		{name: "checked late", checkedBefore: 2 * homeCheckInterval, want: true},
		{name: "suspended until others may take it for lost", checkedBefore: suspendedAfter},
		{name: "suspended for long", checkedBefore: time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &homeWatch{}
			isHome := func(shard int) bool { return shard != 1 }
			require.False(t, w.owns(0, noon), "no check yet")
			require.Zero(t, w.suspendedFor(noon))
			gained, lost := w.changes(3, isHome)
			w.update(gained, lost, noon)
			require.Equal(t, []int{0, 2}, gained)
			require.Empty(t, lost)
			now := noon.Add(test.checkedBefore)
			require.Equal(t, test.want, w.owns(0, now))
			require.Equal(t, test.want, w.suspendedFor(now) == 0)
			require.False(t, w.owns(1, now))
			gained, lost = w.changes(3, func(shard int) bool { return shard != 2 })
			require.Equal(t, []int{1}, gained)
			require.Equal(t, []int{2}, lost)
			require.False(t, w.owns(1, now), "the change was not noted")
			w.update(gained, lost, now)
			require.True(t, w.owns(1, now))
			require.False(t, w.owns(2, now))
		})
	}
}

// TestHomeIsSteadyOnceTheShardSetKnowsOfIt guards against a front that becomes a home and admits turns by
// what it read while another one was.
func TestHomeIsSteadyOnceTheShardSetKnowsOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newStartingFront(t, "m", 1, turntest.NewLog())
		m.config.StoreUnreachableFor = func() time.Duration { return 0 }
		m.MarkStarted()
		require.True(t, m.IsHome(0))
		require.False(t, m.IsSteadyHome(0))
		m.checkHomes(time.Now())
		require.True(t, m.IsSteadyHome(0))
		time.Sleep(suspendedAfter)
		require.True(t, m.IsHome(0))
		require.False(t, m.IsSteadyHome(0))
		m.checkHomes(time.Now())
		require.True(t, m.IsSteadyHome(0))
		m.Leave()
		other := newTestMesh(t, "other")
		connectTo(m, other)
		require.False(t, m.IsSteadyHome(0))
		m.checkHomes(time.Now())
		m.leaving.Store(false)
		require.False(t, m.IsSteadyHome(0))
	})
}
