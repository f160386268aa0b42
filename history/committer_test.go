package history_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

// bench holds a log and committers on it.
type bench struct {
	log    *standin.Log
	cancel context.CancelFunc
	ctx    context.Context
	work   sync.WaitGroup
}

func inBench(t *testing.T, f func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{log: standin.NewLog()}
		b.ctx, b.cancel = context.WithCancel(context.Background())
		defer b.work.Wait()
		defer b.cancel()
		f(t, b)
	})
}

func (b *bench) committer() *history.Committer {
	c := history.NewCommitter(history.CommitterConfig{Log: b.log, Codec: record.NewCodec(), Prefix: "p", Streams: 1})
	b.work.Go(func() { c.Run(b.ctx) })
	return c
}

func rec(id program.ID, epoch uint64, previous history.RecordID, body history.Body) history.Record {
	return history.NewRecord(history.RecordConfig{
		ID: history.NewRecordID(), Program: id, Epoch: epoch, Previous: previous,
		PreviousPosition: history.NoPosition, Home: "model-1", Time: time.Now(), Body: body,
	})
}

func start(t *testing.T, b *bench, c *history.Committer, key string) (program.ID, history.RecordID) {
	t.Helper()
	config := program.Config{Caller: "c", Key: key, Class: "quote", BudgetTokens: 100}
	r := rec(program.NewID("c", key), 0, history.RecordID{}, history.Started(config))
	_, err := c.Commit(b.ctx, r)
	require.NoError(t, err)
	return r.Program(), r.ID()
}

func TestOrderOfTheLogDecides(t *testing.T) {
	tests := []struct {
		name   string
		first  func(id program.ID, last history.RecordID) history.Record
		second func(id program.ID, last history.RecordID) history.Record
	}{
		{
			name:   "two records after one",
			first:  func(id program.ID, last history.RecordID) history.Record { return rec(id, 0, last, history.Void()) },
			second: func(id program.ID, last history.RecordID) history.Record { return rec(id, 0, last, history.Void()) },
		},
		{
			name:   "two adopters",
			first:  func(id program.ID, last history.RecordID) history.Record { return rec(id, 1, last, history.Adopted()) },
			second: func(id program.ID, last history.RecordID) history.Record { return rec(id, 1, last, history.Adopted()) },
		},
		{
			name:   "an old home after an adoption",
			first:  func(id program.ID, last history.RecordID) history.Record { return rec(id, 1, last, history.Adopted()) },
			second: func(id program.ID, last history.RecordID) history.Record { return rec(id, 0, last, history.Void()) },
		},
		{
			name:  "a second start",
			first: func(id program.ID, last history.RecordID) history.Record { return rec(id, 0, last, history.Void()) },
			second: func(id program.ID, _ history.RecordID) history.Record {
				return rec(id, 0, history.RecordID{}, history.Started(program.Config{Caller: "c", Key: "k"}))
			},
		},
		{
			name:   "an epoch too far",
			first:  func(id program.ID, last history.RecordID) history.Record { return rec(id, 0, last, history.Void()) },
			second: func(id program.ID, last history.RecordID) history.Record { return rec(id, 2, last, history.Adopted()) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBench(t, func(t *testing.T, b *bench) {
				one, two := b.committer(), b.committer()
				id, last := start(t, b, one, "k")
				_, err := one.Commit(b.ctx, test.first(id, last))
				require.NoError(t, err)
				_, err = two.Commit(b.ctx, test.second(id, last))
				require.Error(t, err)
				require.Equal(t, history.KindSuperseded, history.KindOf(err))
			})
		})
	}
}

func TestLostAnswersAndOutagesAppendOnce(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.LogFaults
	}{
		{name: "answers lost", fault: standin.LogFaults{LoseAnswers: true}},
		{name: "outage", fault: standin.LogFaults{Down: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBench(t, func(t *testing.T, b *bench) {
				c := b.committer()
				id, last := start(t, b, c, "k")
				b.log.SetFaults(test.fault)
				done := make(chan error, 1)
				r := rec(id, 0, last, history.Void())
				go func() {
					_, err := c.Commit(b.ctx, r)
					done <- err
				}()
				time.Sleep(10 * time.Second)
				b.log.SetFaults(standin.LogFaults{})
				require.NoError(t, <-done)
				loaded, err := b.committer().Load(b.ctx, id)
				require.NoError(t, err)
				require.Equal(t, r.ID(), loaded.Last())
			})
		})
	}
}

func TestRecordsOfManyProgramsShareAppends(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		c := b.committer()
		b.log.SetFaults(standin.LogFaults{Delay: 5 * time.Millisecond})
		var work sync.WaitGroup
		for i := range 500 {
			work.Go(func() { start(t, b, c, string(rune('a'+i))) })
		}
		work.Wait()
		require.LessOrEqual(t, b.log.Stats().Appends, int64(10))
		require.EqualValues(t, 500, c.Stats().Records)
	})
}

func TestAppendsKeepTheirRate(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		c := b.committer()
		id, last := start(t, b, c, "k")
		begun, before := time.Now(), b.log.Stats().Appends
		for time.Since(begun) < 10*time.Second {
			r := rec(id, 0, last, history.Void())
			_, err := c.Commit(b.ctx, r)
			require.NoError(t, err)
			last = r.ID()
		}
		require.LessOrEqual(t, b.log.Stats().Appends-before, int64(10*history.DefaultAppendRate+8))
	})
}

// link stands for the way to the committers of other processes.
type link struct {
	to   map[string]*history.Committer
	lose bool
}

func (l *link) Commit(ctx context.Context, instance string, r history.Record) (history.Position, error) {
	c, ok := l.to[instance]
	if !ok {
		return history.NoPosition, history.Errorf("link", history.KindUnknown, "instance is gone")
	}
	p, err := c.Commit(ctx, r)
	if l.lose {
		return history.NoPosition, history.Errorf("link", history.KindUnknown, "answer lost")
	}
	return p, err
}

func (l *link) Locate(ctx context.Context, instance string, id program.ID) (history.Tail, error) {
	c, ok := l.to[instance]
	if !ok {
		return history.Tail{}, history.Errorf("link", history.KindUnknown, "instance is gone")
	}
	return c.Locate(ctx, id)
}

// owner names one committer for all streams.
type owner string

func (o owner) Owner(int) (string, bool) { return string(o), o != "" }

func TestRouterSharesACommitterAndDoesWithout(t *testing.T) {
	tests := []struct {
		name  string
		owner owner
		lose  bool
		own   int64
	}{
		{name: "through the owner", owner: "model-1"},
		{name: "answers of the owner lost", owner: "model-1", lose: true},
		{name: "owner gone", owner: "model-9", own: 1},
		{name: "no owner known", own: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inBench(t, func(t *testing.T, b *bench) {
				shared, local := b.committer(), b.committer()
				id, last := start(t, b, shared, "k")
				router := history.NewRouter(history.RouterConfig{
					Local: local, Owners: test.owner, Remote: &link{to: map[string]*history.Committer{"model-1": shared}, lose: test.lose},
				})
				r := rec(id, 0, last, history.Void())
				_, err := router.Commit(b.ctx, r)
				require.NoError(t, err)
				require.Equal(t, test.own, local.Stats().Records)
				loaded, err := router.Load(b.ctx, id)
				require.NoError(t, err)
				require.Equal(t, r.ID(), loaded.Last(), "a record that was sent twice is valid once")
				_, err = router.Commit(b.ctx, rec(id, 0, last, history.Void()))
				require.Equal(t, history.KindSuperseded, history.KindOf(err))
			})
		})
	}
}

func TestCorruptAppendLosesNoOther(t *testing.T) {
	inBench(t, func(t *testing.T, b *bench) {
		c := b.committer()
		id, last := start(t, b, c, "k")
		_, err := b.log.Append(b.ctx, "p-0", []byte("not a batch"))
		require.NoError(t, err)
		_, err = c.Commit(b.ctx, rec(id, 0, last, history.Void()))
		require.NoError(t, err)
		other := b.committer()
		_, err = other.Load(b.ctx, id)
		require.NoError(t, err)
		require.EqualValues(t, 1, other.Stats().Corrupt)
	})
}
