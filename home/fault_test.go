package home_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

func TestOrderRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name string
		// inject starts the fault, repair ends it before the call is repeated.
		inject      func(s *fakeService)
		repair      func(s *fakeService)
		wantOutcome program.Outcome
		wantError   bool
		// wantRetryOutcome is InDoubt when the repeat may fail too.
		wantRetryOutcome program.Outcome
		wantEffects      int
	}{
		{name: "no fault", inject: func(*fakeService) {}, wantEffects: 1},
		{name: "answer lost", inject: func(s *fakeService) { s.answersToLose = 1 }, wantEffects: 1},
		{
			name: "connection refused", wantError: true, wantOutcome: program.NotRun, wantEffects: 1,
			inject: func(s *fakeService) { s.refusing = true }, repair: func(s *fakeService) { s.refusing = false },
		},
		{
			name: "no instance", wantError: true, wantOutcome: program.NotRun, wantEffects: 1,
			inject: func(s *fakeService) { s.unreachable = true }, repair: func(s *fakeService) { s.unreachable = false },
		},
		{
			name: "answer lost and ledger unreachable", wantError: true, wantOutcome: program.InDoubt, wantEffects: 1,
			inject: func(s *fakeService) { s.answersToLose = 1; s.ledgerGone = false },
			repair: func(s *fakeService) { s.unreachable = false },
		},
		{
			name: "answer lost and ledger gone", wantError: true, wantOutcome: program.InDoubt, wantRetryOutcome: program.InDoubt, wantEffects: 1,
			inject: func(s *fakeService) { s.answersToLose = 1; s.ledgerGone = true }, repair: func(*fakeService) {},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
				h, _ := tc.addHome("model-1")
				handle := tc.startUrgent(h, "k")
				tc.service.update(test.inject)
				if test.name == "answer lost and ledger unreachable" {
					tc.service.update(func(s *fakeService) { s.callDuration = 50 * time.Millisecond })
					go func() {
						time.Sleep(20 * time.Millisecond)
						tc.service.update(func(s *fakeService) { s.unreachable = true })
					}()
				}
				_, _, err := call(h, handle, tc.orderCall(1))
				require.Equal(t, test.wantError, err != nil, "%v", err)
				if !test.wantError {
					require.Equal(t, test.wantEffects, tc.requireAtMostOneEffect())
					return
				}
				require.Equal(t, test.wantOutcome, program.AsError(err).Outcome())
				if test.wantOutcome == program.NotRun {
					require.Zero(t, tc.requireAtMostOneEffect(), "the order was reported as not run")
				}
				tc.service.update(test.repair)
				_, _, err = call(h, handle, tc.orderCall(1))
				if test.wantRetryOutcome == program.InDoubt && err != nil {
					require.Equal(t, program.KindInDoubt, program.KindOf(err))
				} else {
					require.NoError(t, err)
				}
				require.Equal(t, test.wantEffects, tc.requireAtMostOneEffect())
			})
		})
	}
}

// Concurrent repeats of an order join the same execution.
func TestConcurrentRepeatsOfOrderRunOnce(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		tc.service.update(func(s *fakeService) { s.callDuration = 100 * time.Millisecond })
		errs := make(chan error, 5)
		for range 5 {
			go func() {
				_, _, err := call(h, handle, tc.orderCall(1))
				errs <- err
			}()
		}
		for range 5 {
			require.NoError(t, <-errs)
		}
		require.Equal(t, 1, tc.requireAtMostOneEffect())
	})
}

// A home takes over a program whose previous home has sent an order but not
// recorded its outcome. The new home asks the ledger and must not send an order
// again that may have run, also when the ledger no longer knows it.
func TestTakeoverQueriesOutcomeOfClaimedOrder(t *testing.T) {
	tests := []struct {
		name          string
		changeService func(s *fakeService)
		wantInDoubt   bool
	}{
		{name: "ledger is unchanged", changeService: func(*fakeService) {}},
		{name: "ledger is gone", changeService: func(s *fakeService) { s.update(func(s *fakeService) { s.ledgerGone = true }) }, wantInDoubt: true},
		{name: "ledger has restarted empty", changeService: func(s *fakeService) { s.restart() }, wantInDoubt: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
				a, _ := tc.addHome("model-1")
				b, _ := tc.addHome("model-2")
				handle := tc.startUrgent(a, "k")
				tc.service.update(func(s *fakeService) { s.callDuration = time.Second })
				go func() { _, _, _ = call(a, handle, tc.orderCall(1)) }()
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 1, tc.requireAtMostOneEffect(), "the service has received the order")
				test.changeService(tc.service)
				_, r, err := call(b, handle, tc.orderCall(1))
				if test.wantInDoubt {
					require.Equal(t, program.KindInDoubt, program.KindOf(err))
				} else {
					require.NoError(t, err)
					require.Equal(t, "receipt "+handle.Program().String()+"-1", string(r.Answer().Payload()))
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, tc.requireAtMostOneEffect())
			})
		})
	}
}

// A home that was paused does not know that another one took over its program.
// It must not run an order or a model call of the program when it continues.
func TestPausedHomeRunsNothingAfterTakeover(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		b, _ := tc.addHome("model-2")
		handle := tc.requireCall(a, tc.startUrgent(a, "k"), tc.modelCall(1, "one"))
		newHandle := tc.requireCall(b, handle, tc.modelCall(2, "at the adopter"))
		require.EqualValues(t, 1, newHandle.Epoch())
		require.Equal(t, "model-2", newHandle.Home())

		_, _, err := call(a, handle, tc.orderCall(2))
		require.Error(t, err, "the old home no longer owns the program")
		require.Equal(t, program.KindMoved, program.KindOf(err))
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome(), "the order may have run at the new home")
		require.Zero(t, tc.requireAtMostOneEffect())

		_, _, err = call(a, handle, tc.modelCall(2, "at the old home"))
		require.Error(t, err, "a home that does not own the program runs no call of it")
		next := tc.requireCall(b, newHandle, tc.modelCall(3, "three"))
		require.EqualValues(t, 3, next.Turn())
	})
}

// When two homes take over a program at once, only one may run its next order.
func TestConcurrentTakeoversRunOrderOnce(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		b, eb := tc.addHome("model-2")
		c, ec := tc.addHome("model-3")
		handle := tc.requireCall(a, tc.startUrgent(a, "k"), tc.modelCall(1, "one"))
		errs := make(chan error, 2)
		go func() { _, _, err := call(b, handle, tc.orderCall(2)); errs <- err }()
		go func() { _, _, err := call(c, handle, tc.orderCall(2)); errs <- err }()
		failed := 0
		for range 2 {
			if err := <-errs; err != nil {
				require.Equal(t, program.KindMoved, program.KindOf(err))
				failed++
			}
		}
		require.Equal(t, 1, failed)
		require.Equal(t, 1, tc.requireAtMostOneEffect())
		require.Zero(t, eb.promptCount()+ec.promptCount())
	})
}

// An order must not be sent before its claim is in the log. A model call can
// run during the outage, because the handle carries its record.
func TestLogOutageStopsOrdersButNotModelCalls(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		tc.setLogDown(true)
		handle = tc.requireCall(h, handle, tc.modelCall(1, "one"))
		_, _, err := call(h, handle, tc.orderCall(2))
		require.Error(t, err)
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome(), "without the log nothing proves that no other home ran the order")
		require.Positive(t, program.AsError(err).RetryAfter())
		require.Zero(t, tc.requireAtMostOneEffect())
		tc.setLogDown(false)
		time.Sleep(10 * time.Second)
		tc.requireCall(h, handle, tc.orderCall(2))
		require.Equal(t, 1, tc.requireAtMostOneEffect())
	})
}

func TestProgramIsLoadedAfterItsHomeRestarts(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		handle := tc.startUrgent(a, "k")
		handle = tc.requireCall(a, handle, tc.modelCall(1, "one"))
		handle = tc.requireCall(a, handle, tc.orderCall(2))
		before, err := a.Read(context.Background(), handle)
		require.NoError(t, err)
		a.Close()

		again, e := tc.addHome("model-1")
		after, err := again.Read(context.Background(), handle)
		require.NoError(t, err)
		require.Equal(t, before.Spent(), after.Spent())
		require.Equal(t, before.Next(), after.Next())
		tc.requireCall(again, handle, tc.modelCall(3, "three"))
		require.Equal(t, "one", e.prompts[0].Messages()[0].Content())
		synctest.Wait()
	})
}

// A home that ends during an outage of the log loses its queued records. The
// handle carries them, so that the next home can apply the turns that the
// caller was told of.
func TestAcknowledgedTurnsSurviveLossOfHomeInOutage(t *testing.T) {
	tests := []struct {
		name           string
		committedTurns uint32
	}{
		{name: "started before the outage", committedTurns: 0},
		{name: "first turn committed", committedTurns: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
				a, _ := tc.addHome("model-1")
				b, e := tc.addHome("model-2")
				handle := tc.startUrgent(a, "k")
				for n := range test.committedTurns {
					handle = tc.requireCall(a, handle, tc.modelCall(n+1, "saved"))
				}
				tc.setLogDown(true)
				handle = tc.requireCall(a, handle, tc.modelCall(test.committedTurns+1, "unsaved one"))
				handle = tc.requireCall(a, handle, tc.modelCall(test.committedTurns+2, "unsaved two"))
				require.NotEmpty(t, handle.CarriedRecords())
				a.Close()
				_, _, err := call(b, handle, tc.modelCall(test.committedTurns+3, "too early"))
				require.Equal(t, program.KindUnavailable, program.KindOf(err))
				tc.setLogDown(false)
				time.Sleep(5 * time.Second)
				handle = tc.requireCall(b, handle, tc.modelCall(test.committedTurns+3, "after"))
				require.EqualValues(t, test.committedTurns+3, handle.Turn())
				var asked []string
				for _, m := range e.prompts[len(e.prompts)-1].Messages() {
					if m.Role() == program.RoleUser {
						asked = append(asked, m.Content())
					}
				}
				require.Equal(t, []string{"unsaved one", "unsaved two", "after"}, asked[test.committedTurns:])
			})
		})
	}
}

// During an outage of the log a replaced home does not see that it was replaced
// and still answers a model call. The caller has accepted that answer, so the
// new home applies it from the handle.
func TestTurnOfReplacedHomeIsApplied(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		b, e := tc.addHome("model-2")
		handle := tc.requireCall(a, tc.startUrgent(a, "k"), tc.modelCall(1, "one"))
		_, err := b.Read(context.Background(), handle)
		require.NoError(t, err, "model-2 takes over the program")
		tc.setLogDown(true)
		handle = tc.requireCall(a, handle, tc.modelCall(2, "at the replaced home"))
		require.NotEmpty(t, handle.CarriedRecords())
		tc.setLogDown(false)
		time.Sleep(5 * time.Second)
		next := tc.requireCall(b, handle, tc.modelCall(3, "three"))
		require.EqualValues(t, 3, next.Turn())
		last := e.prompts[len(e.prompts)-1].Messages()
		require.Equal(t, "at the replaced home", last[2].Content())
	})
}

func TestCallAheadFailsWithoutPredecessor(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		_, _, err := call(h, tc.startUrgent(h, "k"), tc.modelCall(2, "the call before never comes"))
		require.Equal(t, program.KindConflict, program.KindOf(err))
	})
}

// Without engineIdleTimeout an engine that accepts requests but sends nothing
// would block its slots.
func TestHungEngineReleasesItsSlot(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		e.setHanging(true)
		_, _, err := call(h, handle, tc.modelCall(1, "one"))
		require.Equal(t, program.KindTimeout, program.KindOf(err))
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome())
		e.setHanging(false)
		tc.requireCall(h, handle, tc.modelCall(1, "one"))
		require.Zero(t, h.Load().Running())
	})
}

// The log deletes records after their retention time. A program that is still
// in use gets snapshots in time, so that another home can read it without the
// deleted records.
func TestProgramIsLoadableAfterItsRecordsExpire(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		handle := tc.requireCall(a, tc.startUrgent(a, "k"), tc.modelCall(1, "one"))
		for range 2 {
			time.Sleep(5 * time.Hour)
			handle = tc.requireCall(a, handle, tc.modelCall(handle.Turn()+1, "more"))
		}
		time.Sleep(2 * time.Hour)
		page, err := tc.log.Read(context.Background(), "p-0", 0, 1000)
		require.NoError(t, err)
		for _, entry := range page.Entries() {
			if time.Since(entry.AppendedAt()) > 13*time.Hour/2 {
				tc.log.Expire("p-0", entry.Offset()+1)
			}
		}
		a.Close()
		b, e := tc.addHome("model-1")
		tc.requireCall(b, handle, tc.modelCall(4, "after"))
		require.Equal(t, "one", e.prompts[0].Messages()[0].Content())
	})
}

func TestLongProgramIsLoadedFromItsSnapshot(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		handle := tc.startUrgent(a, "k")
		for n := range uint32(18) {
			handle = tc.requireCall(a, handle, tc.modelCall(n+1, "turn "+string(rune('a'+n))))
		}
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 1, a.Metrics()["snapshots"])
		a.Close()
		b, _ := tc.addHome("model-1")
		before := tc.log.Stats().Reads
		view, err := b.Read(context.Background(), handle)
		require.NoError(t, err)
		require.EqualValues(t, 19, view.Next())
		require.LessOrEqual(t, tc.log.Stats().Reads-before, int64(8), "records before the snapshot are not read")
	})
}

// A caller that lost its home in the middle of an answer sends the text it has
// received, and the next home continues it.
func TestCallContinuesFromReceivedText(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		text, r, err := call(h, handle, tc.modelCall(1, "one").WithReceivedText(words(2)))
		require.NoError(t, err)
		require.Equal(t, words(5), text, "the stream begins with what was received")
		require.Equal(t, words(2), e.prompts[0].ResumeFrom())
		require.EqualValues(t, 3, e.prompts[0].MaxTokens())
		require.EqualValues(t, 5, r.Answer().Usage().OutputTokens())
		replayed, _, err := call(h, handle, tc.modelCall(1, "one"))
		require.NoError(t, err)
		require.Equal(t, text, replayed, "the history has the same text as the caller")
	})
}

func TestInvalidReceivedTextIsRefused(t *testing.T) {
	tests := []struct {
		name string
		call program.CallConfig
	}{
		{name: "more text than the call may generate", call: program.CallConfig{
			Number: 1, MaxTokens: 1, ReceivedText: string(make([]byte, 65)), Messages: []program.Message{program.NewMessage(program.RoleUser, "a")},
		}},
		{name: "received text of an order", call: program.CallConfig{Number: 1, Type: program.OrderCall, Service: "payment", Method: "pay", ReceivedText: "x"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := program.NewCall(test.call)
			require.Equal(t, program.KindInvalid, program.KindOf(err))
		})
	}
}

// TestOrderIsNotClaimedAfterTheEnd checks that an order whose program is canceled while the
// service is located is neither claimed nor sent, and that its caller is told so.
func TestOrderIsNotClaimedAfterTheEnd(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		tc.service.onLocate = func() {
			_, err := h.End(context.Background(), handle, true)
			require.NoError(t, err)
		}
		_, _, err := call(h, handle, tc.orderCall(1))
		require.Equal(t, program.KindEnded, program.KindOf(err), "%v", err)
		require.Equal(t, program.NotRun, program.AsError(err).Outcome())
		require.Zero(t, tc.requireAtMostOneEffect())
		require.NotContains(t, tc.recordTypes(), history.TypeClaimed)
	})
}

// TestUncommittedTakeoverRunsNothing checks that a home whose takeover is not committed yet
// runs no call of the program, since another home may have taken over first.
func TestUncommittedTakeoverRunsNothing(t *testing.T) {
	tests := []struct {
		name string
		// overtaken is set when another home takes over before the commit.
		overtaken bool
		wantKind  program.Kind
		wantErr   bool
	}{
		{name: "committed late"},
		{name: "another home takes over first", overtaken: true, wantErr: true, wantKind: program.KindMoved},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
				a, _ := tc.addHome("model-1")
				handle := tc.requireCall(a, tc.startUrgent(a, "k"), tc.modelCall(1, "one"))
				held := &heldJournal{release: make(chan struct{})}
				tc.wrapJournal = func(j home.Journal) home.Journal { held.Journal = j; return held }
				b, eb := tc.addHome("model-2")
				tc.wrapJournal = nil
				for range 2 {
					_, _, err := call(b, handle, tc.modelCall(2, "two"))
					require.Equal(t, program.KindUnavailable, program.KindOf(err), "%v", err)
				}
				_, err := b.Read(context.Background(), handle)
				require.Equal(t, program.KindUnavailable, program.KindOf(err), "%v", err)
				require.Zero(t, eb.promptCount())
				if test.overtaken {
					c, _ := tc.addHome("model-3")
					tc.requireCall(c, handle, tc.modelCall(2, "two"))
				}
				done := make(chan error, 1)
				go func() {
					_, _, err := call(b, handle, tc.modelCall(2, "two"))
					done <- err
				}()
				synctest.Wait()
				close(held.release)
				err = <-done
				require.Equal(t, test.wantErr, err != nil, "%v", err)
				if test.wantErr {
					require.Equal(t, test.wantKind, program.KindOf(err), "%v", err)
					require.Zero(t, eb.promptCount())
				}
			})
		})
	}
}

// TestTurnIsAppliedWhileAnAnswerIsLogged applies a turn from a handle, which replaces the
// state of the program in memory, between the end of a call and its log line. The race
// detector sees a read of the state without its lock.
func TestTurnIsAppliedWhileAnAnswerIsLogged(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		tc.wrapJournal = func(j home.Journal) home.Journal {
			return &heldJournal{Journal: j, release: make(chan struct{})}
		}
		a, _ := tc.addHome("model-1")
		started := tc.startUrgent(a, "k")
		ahead := tc.requireCall(a, started, tc.modelCall(1, "one"))
		ahead = tc.requireCall(a, ahead, tc.modelCall(2, "two"))
		tc.wrapJournal = nil
		const logDuration = time.Second
		tc.logger = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(io.Discard), zap.DebugLevel), zap.Hooks(func(e zapcore.Entry) error {
			if e.Message == "call answered" {
				time.Sleep(logDuration)
			}
			return nil
		}))
		b, _ := tc.addHome("model-2")
		done := make(chan error, 1)
		go func() {
			_, _, err := call(b, started, tc.modelCall(1, "one"))
			done <- err
		}()
		time.Sleep(logDuration / 2)
		v, err := b.Read(context.Background(), ahead)
		require.NoError(t, err)
		require.EqualValues(t, 3, v.Next(), "the turn of the handle is applied")
		require.NoError(t, <-done)
	})
}

// TestTakeoverWithoutCodec checks that a home that can't decode carried records refuses a
// program that only these hold.
func TestTakeoverWithoutCodec(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		tc.setLogDown(true)
		handle := tc.startUrgent(a, "k")
		require.NotEmpty(t, handle.CarriedRecords())
		a.Close()
		tc.setLogDown(false)
		tc.withoutCodec = true
		b, _ := tc.addHome("model-2")
		_, _, err := call(b, handle, tc.modelCall(1, "one"))
		require.Equal(t, program.KindNotFound, program.KindOf(err), "%v", err)
	})
}
