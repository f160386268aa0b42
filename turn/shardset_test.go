package turn_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// testEnv is a log and a replicator shared by the simulated processes of a test.
type testEnv struct {
	log          *turntest.Log
	replicator   *turntest.Replicator
	lastWriterID uint64
	// other is the process whose memory the others search, or nil.
	other *turn.ShardSet
	// memorySearches counts these searches.
	memorySearches int
}

func newTestEnv() *testEnv {
	return &testEnv{log: turntest.NewLog(), replicator: turntest.NewReplicator()}
}

// withTestEnv runs a test in virtual time. Afterwards it repairs the log and lets the
// goroutines under way finish.
func withTestEnv(t *testing.T, f func(t *testing.T, env *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv()
		f(t, env)
		env.log.SetFault(turntest.NoFault)
		time.Sleep(time.Minute)
	})
}

// testRecordBytes is the size of the longest record of the tests.
const testRecordBytes = 64 << 10

// newShardSet returns the shard set of a new process, for a log of 4 shards. It finds
// conversations of other shards by loading these shards itself.
func (env *testEnv) newShardSet() *turn.ShardSet {
	return env.newShardSetWith(env.log, env.replicator)
}

// newShardSetWith returns such a shard set that reaches the log and the replicas through the given
// ones.
func (env *testEnv) newShardSetWith(log turn.Log, replicator turn.Replicator) *turn.ShardSet {
	env.lastWriterID++
	var set *turn.ShardSet
	set = turn.New(turn.Config{
		WriterID: env.lastWriterID, ShardCount: 4, Log: log, Replicator: replicator, Logger: zap.NewNop(),
		Linger: turn.DefaultLinger, LogTimeout: turn.DefaultLogTimeout, ReadTimeout: turn.DefaultReadTimeout, ReplicateBeginsAfter: turn.DefaultReplicateBeginsAfter,
		MaxRecordBytes: testRecordBytes, ReplicateEndsAfter: turn.DefaultReplicateEndsAfter, MaxStaleness: turn.DefaultMaxStaleness, IsHome: func(int) bool { return true },
		FindElsewhere: func(ctx context.Context, turnID string, exceptShard int) ([]byte, bool, error) {
			for shard := range 4 {
				if shard == exceptShard {
					continue
				}
				if text, ok, err := set.Find(ctx, turnID, []int{shard}); ok || err != nil {
					return text, ok, err
				}
			}
			return nil, false, nil
		},
		FindInMemoryElsewhere: func(_ context.Context, turnID string) ([]byte, bool) {
			env.memorySearches++
			if env.other == nil {
				return nil, false
			}
			return env.other.FindInMemory(turnID, nil)
		},
	})
	return set
}

// request returns a request for an attempt that may generate 100 tokens.
func request(program, attempt string, budget int64) turn.BeginRequest {
	return turn.BeginRequest{Program: program, Attempt: attempt, BudgetTokens: budget, MaxTokens: 100}
}

// begin admits an attempt and waits until it is recorded.
func begin(t *testing.T, set *turn.ShardSet, r turn.BeginRequest) error {
	t.Helper()
	admission, err := set.Begin(t.Context(), r)
	if err != nil {
		return err
	}
	return admission.Wait(t.Context())
}

func TestTurnIsAdmittedOnlyIfBudgetCoversIt(t *testing.T) {
	tests := []struct {
		name         string
		spent        []int64
		budget       int64
		wantAdmitted bool
	}{
		{name: "first turn", budget: 100, wantAdmitted: true},
		{name: "budget below one turn", budget: 99},
		{name: "budget left for one more turn", spent: []int64{30, 70}, budget: 200, wantAdmitted: true},
		{name: "one token short", spent: []int64{31, 70}, budget: 200},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				set := env.newShardSet()
				for i, n := range test.spent {
					attempt := "a" + strconv.Itoa(i)
					require.NoError(t, begin(t, set, request("p", attempt, 1000)))
					require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: attempt, DeliveredTokens: n}))
				}
				time.Sleep(time.Second)
				err := begin(t, set, request("p", "last", test.budget))
				if test.wantAdmitted {
					require.NoError(t, err)
					return
				}
				require.Equal(t, turn.KindBudget, turn.KindOf(err))
			})
		})
	}
}

func TestRepeatedAttemptReservesOnce(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		require.NoError(t, begin(t, env.newShardSet(), request("p", "a", 100)))
		other := env.newShardSet()
		require.NoError(t, begin(t, other, request("p", "a", 100)), "the same attempt is sent to another front")
		require.NoError(t, begin(t, other, request("p", "a", 100)))
	})
}

func TestTwoHomesShareOneBudget(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		sets := []*turn.ShardSet{env.newShardSet(), env.newShardSet(), env.newShardSet()}
		for _, set := range sets {
			require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
		}
		results := make(chan error, 9)
		for i := range 9 {
			go func() { results <- begin(t, sets[i%3], request("p", strconv.Itoa(i), 450)) }()
		}
		admitted := 0
		for range 9 {
			err := <-results
			if err == nil {
				admitted++
				continue
			}
			require.Equal(t, turn.KindBudget, turn.KindOf(err))
		}
		require.Equal(t, 4, admitted)
	})
}

func TestUnansweredAppendsAreAppliedOnce(t *testing.T) {
	tests := []struct {
		name  string
		fault turntest.Fault
	}{
		{name: "answer lost", fault: turntest.ResponseLost},
		{name: "append executed late", fault: turntest.AppliedLate},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				set := env.newShardSet()
				require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
				env.log.SetFault(test.fault)
				time.AfterFunc(500*time.Millisecond, func() { env.log.SetFault(turntest.NoFault) })
				require.NoError(t, begin(t, set, request("p", "a", 1000)))
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, env.log.Appends())
				require.NoError(t, begin(t, env.newShardSet(), request("p", "b", 200)))
			})
		})
	}
}

// completed returns a turn that is kept for a minute.
func completed(previous, text string) *turn.CompletedTurn {
	return &turn.CompletedTurn{Previous: previous, Text: []byte(text), RetentionMS: 60_000}
}

func TestConversationIsFoundByOtherHomes(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		first := env.newShardSet()
		require.NoError(t, first.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Completed: completed("", "one ")}))
		require.NoError(t, first.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "b", Completed: completed("a", "two ")}))
		for _, program := range []string{"p", "q", "r", "s"} {
			next := env.newShardSet()
			admission, err := next.Begin(t.Context(), turn.BeginRequest{Program: program, Attempt: "c" + program, Previous: "b"})
			require.NoError(t, err, program)
			require.Equal(t, "one two ", string(admission.Text()))
			require.NoError(t, next.End(t.Context(), turn.EndRequest{Program: program, Attempt: "c" + program, Completed: completed("b", "three")}))
			admission, err = env.newShardSet().Begin(t.Context(), turn.BeginRequest{Program: program, Attempt: "d" + program, Previous: "c" + program})
			require.NoError(t, err, program)
			require.Equal(t, "one two three", string(admission.Text()))
		}
	})
}

func TestUnknownTurnIsUnavailableDuringOutage(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		r := turn.BeginRequest{Program: "p", Attempt: "a", Previous: "none"}
		_, err := set.Begin(t.Context(), r)
		require.Equal(t, turn.KindNotFound, turn.KindOf(err))
		env.log.SetFault(turntest.Unavailable)
		_, err = set.Begin(t.Context(), r)
		require.Equal(t, turn.KindUnavailable, turn.KindOf(err))
	})
}

func TestCompletedTurnWaitsForTheLog(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
		env.log.SetFault(turntest.Unavailable)
		ended := make(chan error, 1)
		go func() {
			ended <- set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Completed: completed("", "one")})
		}()
		time.Sleep(5 * time.Second)
		require.Empty(t, ended, "a completed turn must wait for the log: replicas are lost when all instances are")
		env.log.SetFault(turntest.NoFault)
		require.NoError(t, <-ended)
		_, err := env.newShardSet().Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: "b", Previous: "a"})
		require.NoError(t, err)
	})
}

func TestOneBeginRecordPerProgramIsReplicated(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
		env.log.SetFault(turntest.Unavailable)
		require.NoError(t, begin(t, set, request("p", "a", 1000)))
		admission, err := set.Begin(t.Context(), request("p", "b", 1000))
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		require.Error(t, admission.Wait(ctx), "only one begin record of a program may be replicated at a time")
		env.log.SetFault(turntest.NoFault)
		require.NoError(t, admission.Wait(t.Context()))
	})
}

func TestReplicasOfLostHomeAreApplied(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
		env.log.SetFault(turntest.Unavailable)
		require.NoError(t, begin(t, set, request("p", "a", 150)))
		replicas := env.replicator.Replicas(t.Context(), turn.ShardOf("p", 4))
		env.replicator.LoseAll()
		env.log.SetFault(turntest.NoFault)
		next := env.newShardSet()
		require.NoError(t, next.AppendReplicas(t.Context(), turn.ShardOf("p", 4), replicas))
		require.Equal(t, turn.KindBudget, turn.KindOf(begin(t, next, request("p", "b", 150))))
	})
}

// TestRecordsOfAnotherWriterConfirmNoAppend guards against a process that takes
// another one's record for its own. Both give their appends the same numbers, as two
// processes do that start at the same nanosecond.
func TestRecordsOfAnotherWriterConfirmNoAppend(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		first, second := env.newShardSet(), env.newShardSet()
		require.NoError(t, second.Load(t.Context(), turn.ShardOf("p", 4)))
		require.NoError(t, first.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a", Completed: completed("", "one")}))
		require.NoError(t, second.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "b", Completed: completed("", "two")}))
		for _, id := range []string{"a", "b"} {
			_, err := env.newShardSet().Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: "x" + id, Previous: id})
			require.NoError(t, err, id)
		}
	})
}

func TestEndBeforeBeginReservesNoTokens(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		require.NoError(t, env.newShardSet().End(t.Context(), turn.EndRequest{Program: "p", Attempt: "a"}))
		time.Sleep(time.Second)
		require.NoError(t, begin(t, env.newShardSet(), request("p", "a", 100)))
		require.NoError(t, begin(t, env.newShardSet(), request("p", "b", 100)), "an ended attempt reserves no tokens")
	})
}

func TestConversationIsReadableAfterTrimming(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go set.Run(ctx)
		require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "0", Completed: completed("", "0")}))
		want := "0"
		for i := 1; i < 40; i++ {
			time.Sleep(20 * time.Second)
			id := strconv.Itoa(i)
			require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: id, Completed: completed(strconv.Itoa(i-1), id)}))
			want += id
		}
		page, err := env.log.Read(t.Context(), turn.ShardOf("p", 4), 30)
		require.NoError(t, err)
		require.Positive(t, page.FirstOffset, "old records are trimmed")
		admission, err := env.newShardSet().Begin(t.Context(), turn.BeginRequest{Program: "p", Attempt: "x", Previous: "39"})
		require.NoError(t, err)
		require.Equal(t, want, string(admission.Text()))
	})
}
