package turn_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

const (
	// retention is how long the turns of these tests are kept.
	retention = 60 * time.Second
	// pageRecords is the number of records in a page of a pagedLog.
	pageRecords = 2
)

// pagedLog is a log with small pages.
type pagedLog struct{ *turntest.Log }

func (l pagedLog) Read(ctx context.Context, shard int, offset int64) (turn.Page, error) {
	page, err := l.Log.Read(ctx, shard, offset)
	page.Records = page.Records[:min(len(page.Records), pageRecords)]
	return page, err
}

// TestTurnIsKeptWhileItsShardIsRead guards against a turn that is not found although it was answered
// whole within its retention (review case 4): a search for expired turns came between the page
// with the turn that it continues and the page with its own record.
func TestTurnIsKeptWhileItsShardIsRead(t *testing.T) {
	tests := []struct {
		name string
		// before is what the process that takes over did before the second turn.
		before func(t *testing.T, set *turn.ShardSet)
		// pageTime is how long a page takes while it reads the shard.
		pageTime time.Duration
		// failures is how often the log fails for a while during the read.
		failures int
	}{
		{name: "at once"},
		{name: "page by page", pageTime: 1200 * time.Millisecond},
		{name: "longer than between two searches", pageTime: 4 * time.Second},
		{name: "stops halfway and goes on", pageTime: 1200 * time.Millisecond, failures: 2},
		{name: "by a process that has read an older state", pageTime: 1200 * time.Millisecond, before: func(t *testing.T, set *turn.ShardSet) {
			require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				writer, reader := env.newShardSet(), env.newShardSetWith(pagedLog{env.log}, env.replicator)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go writer.Run(ctx)
				go reader.Run(ctx)
				const chains = 8
				for n := range chains {
					require.NoError(t, writer.End(t.Context(), turn.EndRequest{Program: "p", Attempt: fmt.Sprint("first", n), Completed: completed("", "1")}))
				}
				if test.before != nil {
					test.before(t, reader)
				}
				time.Sleep(50 * time.Second)
				for n := range chains {
					require.NoError(t, writer.End(t.Context(), turn.EndRequest{Program: "p", Attempt: fmt.Sprint("second", n), Completed: completed(fmt.Sprint("first", n), "2")}))
				}
				time.Sleep(33 * time.Second)
				env.log.SetReadDelay(test.pageTime)
				for range test.failures {
					time.AfterFunc(2*time.Second, func() { env.log.SetFault(turntest.Unavailable) })
					time.AfterFunc(4*time.Second, func() { env.log.SetFault(turntest.NoFault) })
				}
				for n := range chains {
					admission, err := reader.Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: fmt.Sprint("third", n), Previous: fmt.Sprint("second", n)})
					require.NoError(t, err)
					require.Equal(t, "12", string(admission.Text()))
				}
				env.log.SetReadDelay(0)
			})
		})
	}
}

// TestTurnMayOutlastTheRetentionOfTheOneBefore guards against a turn that can't be recorded, or not
// be read back, because the one that it continues expires while it runs.
func TestTurnMayOutlastTheRetentionOfTheOneBefore(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go set.Run(ctx)
		require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Completed: completed("", "1")}))
		time.Sleep(59 * time.Second)
		_, err := set.Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: "b", Previous: "a"})
		require.NoError(t, err)
		for range 11 {
			time.Sleep(5 * time.Second)
			require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "other"}))
		}
		require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "b", Completed: completed("a", "2")}))
		for name, reader := range map[string]*turn.ShardSet{"writer": set, "reader": env.newShardSet()} {
			admission, err := reader.Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: name, Previous: "b"})
			require.NoError(t, err, name)
			require.Equal(t, "12", string(admission.Text()), name)
		}
	})
}

// chain is a conversation of the random play and what is known to be recorded of it.
type chain struct {
	program, last, text string
	recordedAt          time.Time
}

// TestTurnsAreFoundUnderAnyOrderOfReadsAndExpiry plays conversations over processes that are replaced,
// pause, read slowly and lose the log for a while. No turn may be missing within its retention.
func TestTurnsAreFoundUnderAnyOrderOfReadsAndExpiry(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) { playConversations(t, env, rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

func playConversations(t *testing.T, env *testEnv, rng *rand.Rand) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	start := func() *turn.ShardSet {
		set := env.newShardSetWith(pagedLog{env.log}, env.replicator)
		go set.Run(ctx)
		return set
	}
	sets := []*turn.ShardSet{start(), start()}
	var chains [6]chain
	found := 0
	for step := range 150 {
		switch rng.IntN(12) {
		case 0, 1:
			sets[rng.IntN(len(sets))] = start()
		case 4:
			env.log.SetReadDelay(time.Duration(rng.IntN(4)) * 300 * time.Millisecond)
		case 2:
			env.log.SetFault(turntest.Unavailable)
			time.AfterFunc(time.Duration(rng.IntN(4000))*time.Millisecond, func() { env.log.SetFault(turntest.NoFault) })
		case 3:
			time.Sleep(time.Duration(rng.IntN(30)) * time.Second)
		}
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Millisecond)
		c := &chains[rng.IntN(len(chains))]
		if c.last == "" || rng.IntN(15) == 0 {
			*c = chain{program: fmt.Sprint("p", step)}
		}
		if playKeptTurn(t, sets[rng.IntN(len(sets))], c, fmt.Sprint("t", step), time.Duration(rng.IntN(3))*time.Second) {
			found++
		}
	}
	require.Positive(t, found, "no turn was continued")
}

// playKeptTurn runs one turn of a conversation and reports whether it continued another one.
func playKeptTurn(t *testing.T, set *turn.ShardSet, c *chain, attempt string, length time.Duration) bool {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	sentAt := time.Now()
	admission, err := set.Begin(ctx, turn.BeginRequest{Program: c.program, Attempt: attempt, Previous: c.last})
	if c.last != "" && sentAt.Sub(c.recordedAt) < retention {
		require.NotEqual(t, turn.KindNotFound, turn.KindOf(err), "turn %s was recorded %s ago: %v", c.last, sentAt.Sub(c.recordedAt), err)
	}
	if turn.KindOf(err) == turn.KindNotFound {
		*c = chain{}
	}
	if err != nil {
		return false
	}
	require.Equal(t, c.text, string(admission.Text()))
	time.Sleep(length)
	previous := c.last
	err = set.End(ctx, turn.EndRequest{Program: c.program, Attempt: attempt, Completed: completed(previous, attempt)})
	if err != nil {
		return false
	}
	c.last, c.text, c.recordedAt = attempt, c.text+attempt, time.Now()
	return previous != ""
}
