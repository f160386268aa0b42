package turn_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// leaseRequest returns a request for an attempt that may generate 100 tokens, whose program may be
// admitted under a lease.
func leaseRequest(program, attempt string, budget int64) turn.BeginRequest {
	r := request(program, attempt, budget)
	r.Lease = true
	return r
}

// runTurns runs turns one after another that deliver 25 tokens each, and returns how many were
// admitted within a tenth of a second.
func runTurns(t *testing.T, set *turn.ShardSet, program, prefix string, budget int64, turns int) int {
	t.Helper()
	for i := range turns {
		attempt := prefix + strconv.Itoa(i)
		admission, err := set.Begin(t.Context(), leaseRequest(program, attempt, budget))
		if err != nil || !confirmedWithin(t, admission, 100*time.Millisecond) {
			return i
		}
		time.Sleep(200 * time.Millisecond)
		require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: program, Attempt: attempt, DeliveredTokens: 25}))
	}
	return turns
}

// TestProgramsGoOnWhileTheLogIsAway checks that programs whose turns are not kept run through an
// outage of the log, whatever else of it fails (omuti-large trouble-2, 11 to 16 s: 638 requests of
// such programs ended without an answer, since a second turn could not begin).
func TestProgramsGoOnWhileTheLogIsAway(t *testing.T) {
	for _, fault := range []turntest.Fault{turntest.Unavailable, turntest.Silent, turntest.ResponseLost} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				set := env.newShardSet()
				require.Equal(t, 1, runTurns(t, set, "p", "before", 1100, 1))
				time.Sleep(time.Second)
				env.log.SetFault(fault)
				require.Equal(t, 10, runTurns(t, set, "p", "during", 1100, 10))
				env.log.SetFault(turntest.NoFault)
				time.Sleep(5 * time.Second)
				require.Equal(t, 5, runTurns(t, set, "p", "after", 1100, 5))
			})
		})
	}
}

// TestRecordsOfLeasedTurnsShareAppends guards against an append for each turn whose begin record nobody
// waits for.
func TestRecordsOfLeasedTurnsShareAppends(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		require.Equal(t, 1, runTurns(t, set, "p", "first", 50000, 1))
		time.Sleep(time.Second)
		before := env.log.Appends()
		var running sync.WaitGroup
		for i := range 8 {
			running.Go(func() {
				time.Sleep(time.Duration(i) * 25 * time.Millisecond)
				assert.Equal(t, 10, runTurns(t, set, "p", fmt.Sprintf("leased%d-", i), 50000, 10))
			})
		}
		running.Wait()
		time.Sleep(time.Second)
		require.LessOrEqual(t, env.log.Appends()-before, 20, "80 turns in two seconds")
	})
}

// TestBudgetHoldsWhenTheHolderOfALeaseIsLost checks that the next home never hands out tokens that a
// lost one may have handed out, and that most of what was left is still there for it.
func TestBudgetHoldsWhenTheHolderOfALeaseIsLost(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		const budget = 2000
		lost, kill := env.newProcess()
		require.Equal(t, 1, runTurns(t, lost, "p", "a", budget, 1))
		time.Sleep(time.Second)
		env.log.SetFault(turntest.Silent)
		during := runTurns(t, lost, "p", "b", budget, 1000)
		require.Greater(t, during, 10)
		kill()
		env.replicator.LoseAll()
		env.log.SetFault(turntest.NoFault)
		next := env.newShardSet()
		require.NoError(t, next.Load(t.Context(), turn.ShardOf("p", 4)))
		time.Sleep(3 * time.Second)
		after := runTurns(t, next, "p", "c", budget, 1000)
		assert.Greater(t, after, 10)
		require.LessOrEqual(t, 25*(1+during+after)+75, budget)
		_, err := next.Begin(t.Context(), leaseRequest("p", "last", budget))
		require.Equal(t, turn.KindBudget, turn.KindOf(err))
	})
}

// TestNextHomeHasTheWholeBudgetAfterARelease checks that a planned change of the home costs a program
// nothing.
func TestNextHomeHasTheWholeBudgetAfterARelease(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		const budget = 420
		first := env.newShardSet()
		require.Equal(t, 1, runTurns(t, first, "p", "a", budget, 1))
		time.Sleep(time.Second)
		next := env.newShardSet()
		require.NoError(t, next.Load(t.Context(), turn.ShardOf("p", 4)))
		require.NoError(t, begin(t, next, leaseRequest("p", "b0", budget)))
		require.NoError(t, begin(t, next, leaseRequest("p", "b1", budget)))
		_, err := next.Begin(t.Context(), leaseRequest("p", "b2", budget))
		require.Equal(t, turn.KindUnavailable, turn.KindOf(err), "the first home may be about to release its lease")
		first.ReleaseLeases([]int{0, 1, 2, 3})
		time.Sleep(100 * time.Millisecond)
		require.NoError(t, begin(t, next, leaseRequest("p", "c", budget)))
	})
}

// TestNothingIsAdmittedUnderALeaseThatIsBeingReleased checks that a former home whose release waits
// for the log admits nothing more.
func TestNothingIsAdmittedUnderALeaseThatIsBeingReleased(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		require.Equal(t, 1, runTurns(t, set, "p", "a", 2000, 1))
		time.Sleep(time.Second)
		env.log.SetFault(turntest.Unavailable)
		set.ReleaseLeases([]int{turn.ShardOf("p", 4)})
		require.LessOrEqual(t, runTurns(t, set, "p", "b", 2000, 3), 1, "one turn may begin on replicas")
	})
}

// TestReplicatedBeginGrantsNoLease checks that the first turn of a program, which an outage lets
// begin on replicas alone, doesn't lead to a lease that the log knows nothing of.
func TestReplicatedBeginGrantsNoLease(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		require.Equal(t, 1, runTurns(t, set, "other", "a", 2000, 1))
		require.NoError(t, set.Load(t.Context(), turn.ShardOf("p", 4)))
		time.Sleep(time.Second)
		env.log.SetFault(turntest.Unavailable)
		require.NoError(t, begin(t, set, leaseRequest("p", "first", 2000)))
		require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "first", DeliveredTokens: 25}))
		require.Zero(t, runTurns(t, set, "p", "b", 2000, 3))
	})
}

// handedOut counts the tokens that the callers of programs have received.
type handedOut struct {
	mu     sync.Mutex
	tokens map[string]int64
}

func (h *handedOut) add(program string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tokens[program] += n
}

// TestBudgetsHoldUnderAnyOrderOfFaults plays random outages, lost processes, changes of the home and
// late ends, and checks that no program is handed more than its budget and one turn.
func TestBudgetsHoldUnderAnyOrderOfFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				playBudgets(t, env, rand.New(rand.NewPCG(seed, 7)))
			})
		})
	}
}

// process is a simulated process that can be killed.
type process struct {
	*turn.ShardSet
	kill func()
	dead *atomic.Bool
}

// newProcess returns the shard set of a new process and a function that kills it: its calls of the
// log and the replicator have no effect any more, though they succeed so that it comes to rest.
func (env *testEnv) newProcess() (*turn.ShardSet, func()) {
	p := env.startProcess()
	return p.ShardSet, p.kill
}

func (env *testEnv) startProcess() process {
	dead := &atomic.Bool{}
	log, replicator := env.log, env.replicator
	set := env.newShardSetWith(mortalLog{Log: log, dead: dead}, mortalReplicator{Replicator: replicator, dead: dead})
	return process{ShardSet: set, dead: dead, kill: func() { dead.Store(true) }}
}

// mortalLog is the log as a process sees it that may be killed.
type mortalLog struct {
	turn.Log
	dead *atomic.Bool
}

func (l mortalLog) AppendAt(ctx context.Context, shard int, offset int64, records [][]byte) error {
	if l.dead.Load() {
		return nil
	}
	return l.Log.AppendAt(ctx, shard, offset, records)
}

// mortalReplicator is the replicator as a process sees it that may be killed.
type mortalReplicator struct {
	turn.Replicator
	dead *atomic.Bool
}

func (r mortalReplicator) Replicate(ctx context.Context, shard int, records [][]byte) error {
	if r.dead.Load() {
		return nil
	}
	return r.Replicator.Replicate(ctx, shard, records)
}

// playBudgets plays one random run of TestBudgetsHoldUnderAnyOrderOfFaults.
func playBudgets(t *testing.T, env *testEnv, rng *rand.Rand) {
	const budget, programs, mostOfOneTurn = 3000, 2, 100
	got := &handedOut{tokens: map[string]int64{}}
	live := []process{env.startProcess(), env.startProcess()}
	faults := []turntest.Fault{turntest.NoFault, turntest.NoFault, turntest.Unavailable, turntest.Silent, turntest.ResponseLost, turntest.AppliedLate}
	home := 0
	for attempt := range 700 {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		switch n := rng.IntN(400); {
		case n < 4:
			env.log.SetFault(faults[rng.IntN(len(faults))])
		case n < 5:
			// All processes are lost with their replicas, as in a loss of power.
			for i := range live {
				live[i].kill()
				live[i] = env.startProcess()
			}
			env.replicator.LoseAll()
		case n < 6:
			i := rng.IntN(len(live))
			live[i].kill()
			live[i] = env.startProcess()
		case n < 8:
			live[home].ReleaseLeases([]int{0, 1, 2, 3})
			home = rng.IntN(len(live))
		case n < 9:
			home = rng.IntN(len(live))
		default:
			next := home
			if n%20 == 0 {
				next = rng.IntN(len(live))
			}
			playTurn(t, live[home], live[next], fmt.Sprint("p", rng.IntN(programs)), strconv.Itoa(attempt), budget, rng.Int64N(mostOfOneTurn+1), time.Duration(rng.IntN(400))*time.Millisecond, got)
		}
	}
	env.log.SetFault(turntest.NoFault)
	time.Sleep(30 * time.Second)
	for _, p := range live {
		p.kill()
	}
	got.mu.Lock()
	defer got.mu.Unlock()

	for program, tokens := range got.tokens {
		require.LessOrEqual(t, tokens, int64(budget+mostOfOneTurn), program)
	}
}

// playTurn runs one attempt in the background: it begins at one process and ends at another, which may
// be the same.
func playTurn(t *testing.T, home, nextHome process, program, attempt string, budget, delivered int64, length time.Duration, got *handedOut) {
	go func() {
		admission, err := home.Begin(t.Context(), leaseRequest(program, attempt, budget))
		if err != nil {
			return
		}
		end := turn.EndRequest{Program: program, Attempt: attempt}
		if confirmedWithin(t, admission, 300*time.Millisecond) && !home.dead.Load() {
			got.add(program, delivered)
			end.DeliveredTokens = delivered
			time.Sleep(length)
		}
		_ = nextHome.End(t.Context(), end)
	}()
}

// confirmedWithin reports whether an admission lets its caller continue within a time.
func confirmedWithin(t *testing.T, admission turn.Admission, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	return admission.Wait(ctx) == nil
}
