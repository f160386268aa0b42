package turn_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// pageRecords is the number of records in a page of a pagedLog.
const pageRecords = 2

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
