package history_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

// fixture holds a fake log, and the committers that append to it.
type fixture struct {
	log *standin.Log
	// cancel ends ctx, in which the committers run.
	cancel context.CancelFunc
	ctx    context.Context
	// running counts the committers that have not stopped.
	running sync.WaitGroup
}

// withFixture runs a test with an empty log and simulated time, and stops all committers
// at its end.
func withFixture(t *testing.T, test func(t *testing.T, f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{log: standin.NewLog()}
		f.ctx, f.cancel = context.WithCancel(context.Background())
		defer f.running.Wait()
		defer f.cancel()
		test(t, f)
	})
}

// startCommitter starts a committer with one stream.
func (f *fixture) startCommitter() *history.Committer {
	c := history.NewCommitter(history.CommitterConfig{Log: f.log, Codec: record.NewCodec(), StreamPrefix: "p", StreamCount: 1})
	f.running.Go(func() { c.Run(f.ctx) })
	return c
}

// newRecord returns a record with a new id that follows the previous one.
func newRecord(id program.ID, epoch uint64, previous history.RecordID, body history.Body) history.Record {
	return history.NewRecord(history.RecordConfig{
		ID: history.NewRecordID(), Program: id, Epoch: epoch, Previous: previous,
		PreviousPosition: history.NoPosition, Home: "model-1", Time: time.Now(), Body: body,
	})
}

// startProgram commits the started record of a program and returns the ids of both.
func startProgram(t *testing.T, f *fixture, c *history.Committer, key string) (program.ID, history.RecordID) {
	t.Helper()
	config := program.Config{Caller: "c", Key: key, Class: "quote", BudgetTokens: 100}
	r := newRecord(program.NewID("c", key), 0, history.RecordID{}, history.Started(config))
	_, err := c.Commit(f.ctx, r)
	require.NoError(t, err)
	return r.Program(), r.ID()
}

// TestLaterConflictingRecordIsSuperseded checks that of two conflicting records the later
// one in the log is superseded.
func TestLaterConflictingRecordIsSuperseded(t *testing.T) {
	tests := []struct {
		name   string
		first  func(id program.ID, last history.RecordID) history.Record
		second func(id program.ID, last history.RecordID) history.Record
	}{
		{
			name: "two records with the same previous record",
			first: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 0, last, history.Void())
			},
			second: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 0, last, history.Void())
			},
		},
		{
			name: "two homes take over",
			first: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 1, last, history.Adopted())
			},
			second: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 1, last, history.Adopted())
			},
		},
		{
			name: "the previous home writes after a takeover",
			first: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 1, last, history.Adopted())
			},
			second: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 0, last, history.Void())
			},
		},
		{
			name: "a second started record",
			first: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 0, last, history.Void())
			},
			second: func(id program.ID, _ history.RecordID) history.Record {
				return newRecord(id, 0, history.RecordID{}, history.Started(program.Config{Caller: "c", Key: "k"}))
			},
		},
		{
			name: "a takeover that skips an epoch",
			first: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 0, last, history.Void())
			},
			second: func(id program.ID, last history.RecordID) history.Record {
				return newRecord(id, 2, last, history.Adopted())
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				writer1, writer2 := f.startCommitter(), f.startCommitter()
				id, last := startProgram(t, f, writer1, "k")
				_, err := writer1.Commit(f.ctx, test.first(id, last))
				require.NoError(t, err)
				_, err = writer2.Commit(f.ctx, test.second(id, last))
				require.Error(t, err)
				require.Equal(t, history.KindSuperseded, history.KindOf(err))
			})
		})
	}
}

// TestRecordIsCommittedAfterLostAnswerOrOutage guards against a record being lost or
// superseded by its own repeat when the log is down or the answer to an append is lost.
func TestRecordIsCommittedAfterLostAnswerOrOutage(t *testing.T) {
	tests := []struct {
		name  string
		fault standin.LogFaults
	}{
		{name: "answers lost", fault: standin.LogFaults{LoseAppendResponses: true}},
		{name: "outage", fault: standin.LogFaults{Down: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				c := f.startCommitter()
				id, last := startProgram(t, f, c, "k")
				f.log.SetFaults(test.fault)
				done := make(chan error, 1)
				r := newRecord(id, 0, last, history.Void())
				go func() {
					_, err := c.Commit(f.ctx, r)
					done <- err
				}()
				time.Sleep(10 * time.Second)
				f.log.SetFaults(standin.LogFaults{})
				require.NoError(t, <-done)
				loaded, err := f.startCommitter().Load(f.ctx, id)
				require.NoError(t, err)
				require.Equal(t, r.ID(), loaded.LastRecordID())
			})
		})
	}
}

// TestRecordsOfManyProgramsShareAppends guards against one append for each record, which
// would exceed the rate that the log accepts.
func TestRecordsOfManyProgramsShareAppends(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		c := f.startCommitter()
		f.log.SetFaults(standin.LogFaults{Delay: 5 * time.Millisecond})
		var starts sync.WaitGroup
		for i := range 500 {
			starts.Go(func() { startProgram(t, f, c, string(rune('a'+i))) })
		}
		starts.Wait()
		require.LessOrEqual(t, f.log.Stats().Appends, int64(10))
		require.EqualValues(t, 500, c.Stats().Records)
	})
}

// TestAppendRateIsLimited checks that appends stay within their rate, plus the burst of 8,
// when a program writes one record after the other.
func TestAppendRateIsLimited(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		c := f.startCommitter()
		id, last := startProgram(t, f, c, "k")
		startedAt, appendsBefore := time.Now(), f.log.Stats().Appends
		for time.Since(startedAt) < 10*time.Second {
			r := newRecord(id, 0, last, history.Void())
			_, err := c.Commit(f.ctx, r)
			require.NoError(t, err)
			last = r.ID()
		}
		require.LessOrEqual(t, f.log.Stats().Appends-appendsBefore, int64(10*history.DefaultAppendRate+8))
	})
}

// fakeRemote is a history.RemoteCommitters that calls committers of the same test.
type fakeRemote struct {
	// committers holds the committers that can be reached, by instance name.
	committers map[string]*history.Committer
	// dropAnswers makes Commit fail after the record has been committed.
	dropAnswers bool
}

func (f *fakeRemote) Commit(ctx context.Context, instance string, r history.Record) (history.Position, error) {
	c, ok := f.committers[instance]
	if !ok {
		return history.NoPosition, history.Errorf("reach remote instance", history.KindUnknown, "instance does not exist")
	}
	p, err := c.Commit(ctx, r)
	if f.dropAnswers {
		return history.NoPosition, history.Errorf("commit at remote instance", history.KindUnknown, "answer lost")
	}
	return p, err
}

func (f *fakeRemote) Locate(ctx context.Context, instance string, id program.ID) (history.LatestRecord, error) {
	c, ok := f.committers[instance]
	if !ok {
		return history.LatestRecord{}, history.Errorf("reach remote instance", history.KindUnknown, "instance does not exist")
	}
	return c.Locate(ctx, id)
}

// fixedOwner is a history.StreamOwners with the same owner for all streams; it is empty
// when the owner is not known.
type fixedOwner string

func (o fixedOwner) Owner(int) (string, bool) { return string(o), o != "" }

// TestRouterCommitsThroughOwnerOrLocally checks that a router commits through the owner
// of a stream, and locally when the owner is unknown or can't be reached, and that a record
// committed twice because an answer was lost counts once.
func TestRouterCommitsThroughOwnerOrLocally(t *testing.T) {
	tests := []struct {
		name        string
		owner       fixedOwner
		dropAnswers bool
		// localRecords is the number of records that the local committer appends.
		localRecords int64
	}{
		{name: "owner commits", owner: "model-1"},
		{name: "answers of the owner are lost", owner: "model-1", dropAnswers: true},
		{name: "owner does not exist", owner: "model-9", localRecords: 1},
		{name: "owner is not known", localRecords: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				shared, local := f.startCommitter(), f.startCommitter()
				id, last := startProgram(t, f, shared, "k")
				router := history.NewRouter(history.RouterConfig{
					Local: local, Owners: test.owner, Remote: &fakeRemote{committers: map[string]*history.Committer{"model-1": shared}, dropAnswers: test.dropAnswers},
				})
				r := newRecord(id, 0, last, history.Void())
				_, err := router.Commit(f.ctx, r)
				require.NoError(t, err)
				require.Equal(t, test.localRecords, local.Stats().Records)
				loaded, err := router.Load(f.ctx, id)
				require.NoError(t, err)
				require.Equal(t, r.ID(), loaded.LastRecordID(), "a record that is appended twice counts once")
				_, err = router.Commit(f.ctx, newRecord(id, 0, last, history.Void()))
				require.Equal(t, history.KindSuperseded, history.KindOf(err))
			})
		})
	}
}

// TestCorruptAppendLosesNoOtherRecord checks that records before and after an entry that can't
// be decoded are read.
func TestCorruptAppendLosesNoOtherRecord(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		c := f.startCommitter()
		id, last := startProgram(t, f, c, "k")
		_, err := f.log.Append(f.ctx, "p-0", []byte("not a batch"))
		require.NoError(t, err)
		_, err = c.Commit(f.ctx, newRecord(id, 0, last, history.Void()))
		require.NoError(t, err)
		other := f.startCommitter()
		_, err = other.Load(f.ctx, id)
		require.NoError(t, err)
		require.EqualValues(t, 1, other.Stats().Corrupt)
	})
}

// TestRecordCommittedTwiceAtOnce checks that all callers that commit the same record get its
// result, whether the record is still queued or in flight when the second one comes.
func TestRecordCommittedTwiceAtOnce(t *testing.T) {
	tests := []struct {
		name string
		// interval is the time between the two commits.
		interval time.Duration
	}{
		{name: "both are queued"},
		{name: "the first is in flight", interval: 100 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				c := f.startCommitter()
				id, last := startProgram(t, f, c, "k")
				f.log.SetFaults(standin.LogFaults{Down: true})
				ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
				defer cancel()
				r := newRecord(id, 0, last, history.Void())
				positions := make(chan history.Position, 2)
				commit := func() {
					position, err := c.Commit(ctx, r)
					assert.NoError(t, err)
					positions <- position
				}
				go commit()
				time.Sleep(test.interval)
				go commit()
				time.Sleep(time.Second)
				f.log.SetFaults(standin.LogFaults{})
				require.Equal(t, <-positions, <-positions)
				require.EqualValues(t, 2, c.Stats().Records, "the started record and one append of r")
				require.Zero(t, c.Stats().Waiting)
			})
		})
	}
}

// TestRecordThatCannotBeEncodedFailsAlone checks that the other records of its batch are
// committed.
func TestRecordThatCannotBeEncodedFailsAlone(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		c := f.startCommitter()
		id, last := startProgram(t, f, c, "k")
		invalid := newRecord(program.NewID("c", "invalid"), 0, history.RecordID{}, history.Started(program.Config{Caller: "c", Key: "\xff"}))
		first := newRecord(id, 0, last, history.Void())
		second := newRecord(id, 0, first.ID(), history.Void())
		tests := []struct {
			name     string
			record   history.Record
			wantErr  bool
			wantKind history.Kind
		}{
			{name: "before the invalid record", record: first},
			{name: "invalid record", record: invalid, wantErr: true, wantKind: history.KindCorrupt},
			{name: "after the invalid record", record: second},
		}
		var commits sync.WaitGroup
		errs := make([]error, len(tests))
		for i, test := range tests {
			commits.Go(func() { _, errs[i] = c.Commit(f.ctx, test.record) })
			synctest.Wait()
		}
		commits.Wait()
		for i, test := range tests {
			require.Equal(t, test.wantErr, errs[i] != nil, "%s: %v", test.name, errs[i])
			if test.wantErr {
				require.Equal(t, test.wantKind, history.KindOf(errs[i]), test.name)
			}
		}
		loaded, err := f.startCommitter().Load(f.ctx, id)
		require.NoError(t, err)
		require.Equal(t, second.ID(), loaded.LastRecordID())
		require.EqualValues(t, 3, c.Stats().Records)
	})
}

// TestLargeRecordsCanBeReadBack checks that records that were committed together can be
// read by other processes, also when they are large.
func TestLargeRecordsCanBeReadBack(t *testing.T) {
	withFixture(t, func(t *testing.T, f *fixture) {
		c := f.startCommitter()
		key := strings.Repeat("k", 10<<20)
		const records = 7
		var commits sync.WaitGroup
		var ids [records]program.ID
		for i := range records {
			config := program.Config{Caller: fmt.Sprint("c", i), Key: key}
			r := newRecord(program.NewID(config.Caller, key), 0, history.RecordID{}, history.Started(config))
			ids[i] = r.Program()
			commits.Go(func() {
				_, err := c.Commit(f.ctx, r)
				assert.NoError(t, err)
			})
		}
		commits.Wait()
		other := f.startCommitter()
		for _, id := range ids {
			_, err := other.Load(f.ctx, id)
			require.NoError(t, err)
		}
		require.Zero(t, other.Stats().Corrupt)
	})
}
