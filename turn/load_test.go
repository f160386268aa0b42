package turn_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/timer"
	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestShardIsLoadedOnceForAllWaitingRequests guards against a load storm after an
// outage, in which each request waiting for a shard read the shard itself and
// asked every other front for replicas.
func TestShardIsLoadedOnceForAllWaitingRequests(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		env.log.SetReadDelay(300 * time.Millisecond)
		const waiting = 50
		admitted := make(chan error, waiting)
		for i := range waiting {
			go func() {
				_, err := set.Begin(t.Context(), request("p", fmt.Sprint("a", i), 100_000))
				admitted <- err
			}()
		}
		for range waiting {
			require.NoError(t, <-admitted)
		}
		require.Equal(t, 1, env.replicator.Reads())
		require.Equal(t, 1, env.log.Reads())
	})
}

// TestReplicasAreReleasedTogether guards against a message storm after an outage,
// in which each replica was released by a message of its own to every other
// front.
func TestReplicasAreReleasedTogether(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		const programs = 60
		for i := range programs {
			require.NoError(t, begin(t, set, request(fmt.Sprint("p", i), fmt.Sprint("first", i), 1000)))
		}
		env.log.SetFault(turntest.Unavailable)
		for i := range programs {
			require.NoError(t, begin(t, set, request(fmt.Sprint("p", i), fmt.Sprint("second", i), 1000)), "one begin record of each program may be replicated")
		}
		env.log.SetFault(turntest.NoFault)
		time.Sleep(5 * time.Second)
		require.Zero(t, set.Status().PendingRecords)
		require.Positive(t, env.replicator.Releases())
		require.LessOrEqual(t, env.replicator.Releases(), 2*4, "at most two release messages for each shard")
	})
}

// TestShardLoadsWhileRequestsKeepArrivingAfterASilentLog guards against an outage of the
// log that outlasts its cause: each waiting request began the read of the shard anew,
// with what was left of its own deadline, and none of the reads came to its end.
func TestShardLoadsWhileRequestsKeepArrivingAfterASilentLog(t *testing.T) {
	const (
		requestInterval = 20 * time.Millisecond
		requestTimeout  = 10 * time.Second
		silence         = 4 * time.Second
		// recovery is the time that the users' pages allow after a fault.
		recovery = 12 * time.Second
		// One read of the whole shard, 50 records of 40 kB, takes half a second.
		records, recordBytes, readRate = 50, 40_000, 4_000_000
	)
	tests := []struct {
		name      string
		processes int
	}{
		{name: "one home", processes: 1},
		{name: "two fronts that take themselves for the home", processes: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				writer := env.newShardSet()
				for i := range records {
					attempt := fmt.Sprint("turn", i)
					require.NoError(t, begin(t, writer, request("p", attempt, 100_000)))
					require.NoError(t, writer.End(t.Context(), turn.EndRequest{Program: "p", Attempt: attempt, Completed: &turn.CompletedTurn{Text: make([]byte, recordBytes), RetentionMS: 60_000}}))
				}
				env.log.SetReadRate(readRate)
				env.log.SetFault(turntest.Silent)
				admitted := make(chan error, 10_000)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for range test.processes {
					set := env.newShardSet()
					go func() {
						for i := 0; timer.Sleep(ctx, requestInterval) == nil; i++ {
							go func() {
								requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
								defer cancel()
								_, err := set.Begin(requestCtx, turn.BeginRequest{Program: "p", Attempt: fmt.Sprint("a", i), Previous: "turn0"})
								admitted <- err
							}()
						}
					}()
				}
				time.Sleep(silence)
				env.log.SetFault(turntest.NoFault)
				time.Sleep(recovery)
				for len(admitted) > 0 {
					<-admitted
				}
				time.Sleep(time.Second)
				require.NotEmpty(t, admitted, "no request was admitted or refused in a second")
				for len(admitted) > 0 {
					require.NoError(t, <-admitted, "%v after the return of the log", recovery)
				}
			})
		})
	}
}

// TestReadWithoutProgressFails guards against a read that is sent again and again at once
// while the log answers without progress.
func TestReadWithoutProgressFails(t *testing.T) {
	tests := []struct {
		name    string
		records int
	}{
		{name: "expired at the offset that it names as the first"},
		{name: "empty page before the end", records: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				set := env.newShardSet()
				for i := range test.records {
					require.NoError(t, begin(t, set, request("p", fmt.Sprint("a", i), 1000)))
				}
				env.log.SetFault(turntest.NoProgress)
				reads := env.log.Reads()
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := set.Begin(ctx, turn.BeginRequest{Program: "p", Attempt: "b", Previous: "unknown"})
				require.Equal(t, turn.KindUnavailable, turn.KindOf(err))
				require.Error(t, err)
				require.LessOrEqual(t, env.log.Reads()-reads, 4+20, "one read for each shard, and one each 50 ms of the shard that the caller waits for")
			})
		})
	}
}

// refusingLog refuses each read but the first, which takes a while.
type refusingLog struct {
	*turntest.Log
	reads   atomic.Int64
	delay   time.Duration
	refused atomic.Int64
}

func (l *refusingLog) Read(ctx context.Context, shard int, offset int64) (turn.Page, error) {
	if l.reads.Add(1) > 1 {
		l.refused.Add(1)
		return turn.Page{}, turn.Errorf("read", turn.KindUnavailable, "too many reads are waiting")
	}
	if err := timer.Sleep(ctx, l.delay); err != nil {
		return turn.Page{}, turn.Errorf("read", turn.KindUnavailable, "no answer: %w", err)
	}
	return l.Log.Read(ctx, shard, offset)
}

// TestRefusedReadEndsNoReadUnderWay guards against a shard that is never loaded from a busy
// log, because a second read of its page is refused and ends the first.
func TestRefusedReadEndsNoReadUnderWay(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		log := &refusingLog{Log: env.log, delay: turn.DefaultReadTimeout + 500*time.Millisecond}
		set := turn.New(turn.Config{
			WriterID: 1, ShardCount: 1, Log: log, Replicator: env.replicator, Logger: zap.NewNop(), LogTimeout: turn.DefaultLogTimeout,
			ReadTimeout: turn.DefaultReadTimeout, IsHome: func(int) bool { return true },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 2*log.delay)
		defer cancel()
		require.NoError(t, set.Load(ctx, 0))
		require.EqualValues(t, 1, log.refused.Load())
	})
}
