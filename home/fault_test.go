package home_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/program"
)

func TestOrderRunsAtMostOnce(t *testing.T) {
	tests := []struct {
		name    string
		fault   func(s *fakeService)
		mend    func(s *fakeService)
		outcome program.Outcome
		fails   bool
		again   program.Outcome
		effects int
	}{
		{name: "calm", fault: func(*fakeService) {}, effects: 1},
		{name: "answer lost", fault: func(s *fakeService) { s.loseAnswers = 1 }, effects: 1},
		{
			name: "connection refused", fails: true, outcome: program.NotRun, effects: 1,
			fault: func(s *fakeService) { s.refuseSend = true }, mend: func(s *fakeService) { s.refuseSend = false },
		},
		{
			name: "no instance", fails: true, outcome: program.NotRun, effects: 1,
			fault: func(s *fakeService) { s.unreachable = true }, mend: func(s *fakeService) { s.unreachable = false },
		},
		{
			name: "answer lost and ledger unreachable", fails: true, outcome: program.InDoubt, effects: 1,
			fault: func(s *fakeService) { s.loseAnswers = 1; s.gone = false },
			mend:  func(s *fakeService) { s.unreachable = false },
		},
		{
			name: "answer lost and ledger gone", fails: true, outcome: program.InDoubt, again: program.InDoubt, effects: 1,
			fault: func(s *fakeService) { s.loseAnswers = 1; s.gone = true }, mend: func(*fakeService) {},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				h, _ := w.home("model-1")
				handle := w.start(h, "k")
				w.service.set(test.fault)
				if test.name == "answer lost and ledger unreachable" {
					w.service.set(func(s *fakeService) { s.callTime = 50 * time.Millisecond })
					go func() {
						time.Sleep(20 * time.Millisecond)
						w.service.set(func(s *fakeService) { s.unreachable = true })
					}()
				}
				_, _, err := call(h, handle, w.pay(1))
				require.Equal(t, test.fails, err != nil, "%v", err)
				if !test.fails {
					require.Equal(t, test.effects, w.checkOnce())
					return
				}
				require.Equal(t, test.outcome, program.AsError(err).Outcome())
				if test.outcome == program.NotRun {
					require.Zero(t, w.checkOnce(), "refused as not run")
				}
				w.service.set(test.mend)
				_, _, err = call(h, handle, w.pay(1))
				if test.again == program.InDoubt && err != nil {
					require.Equal(t, program.KindInDoubt, program.KindOf(err))
				} else {
					require.NoError(t, err)
				}
				require.Equal(t, test.effects, w.checkOnce())
			})
		})
	}
}

func TestOrderOfTwoCallersAtOnceRunsOnce(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, _ := w.home("model-1")
		handle := w.start(h, "k")
		w.service.set(func(s *fakeService) { s.callTime = 100 * time.Millisecond })
		errs := make(chan error, 5)
		for range 5 {
			go func() {
				_, _, err := call(h, handle, w.pay(1))
				errs <- err
			}()
		}
		for range 5 {
			require.NoError(t, <-errs)
		}
		require.Equal(t, 1, w.checkOnce())
	})
}

func TestAdopterFindsOutAboutAClaimedOrder(t *testing.T) {
	tests := []struct {
		name    string
		between func(s *fakeService)
		inDoubt bool
	}{
		{name: "ledger lives", between: func(*fakeService) {}},
		{name: "ledger is gone", between: func(s *fakeService) { s.set(func(s *fakeService) { s.gone = true }) }, inDoubt: true},
		{name: "ledger has restarted empty", between: func(s *fakeService) { s.restart() }, inDoubt: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				a, _ := w.home("model-1")
				b, _ := w.home("model-2")
				handle := w.start(a, "k")
				w.service.set(func(s *fakeService) { s.callTime = time.Second })
				go func() { _, _, _ = call(a, handle, w.pay(1)) }()
				time.Sleep(100 * time.Millisecond)
				require.Equal(t, 1, w.checkOnce(), "the order is on its way")
				test.between(w.service)
				_, r, err := call(b, handle, w.pay(1))
				if test.inDoubt {
					require.Equal(t, program.KindInDoubt, program.KindOf(err))
				} else {
					require.NoError(t, err)
					require.Equal(t, "receipt "+handle.Program().String()+"-1", string(r.Answer().Payload()))
				}
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, w.checkOnce())
			})
		})
	}
}

func TestPausedHomeWakesUpHarmless(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, _ := w.home("model-1")
		b, _ := w.home("model-2")
		handle := w.mustCall(a, w.start(a, "k"), w.ask(1, "one"))
		adopted := w.mustCall(b, handle, w.ask(2, "at the adopter"))
		require.EqualValues(t, 1, adopted.Epoch())
		require.Equal(t, "model-2", adopted.Home())

		_, _, err := call(a, handle, w.pay(2))
		require.Error(t, err, "the old home has lost the program")
		require.Equal(t, program.KindMoved, program.KindOf(err))
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome(), "it may have run at the adopter")
		require.Zero(t, w.checkOnce())

		_, _, err = call(a, handle, w.ask(2, "at the old home"))
		require.Error(t, err, "a home that is not named by the handle sends on")
		next := w.mustCall(b, adopted, w.ask(3, "three"))
		require.EqualValues(t, 3, next.Turn())
	})
}

func TestTwoAdoptersOneWins(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, _ := w.home("model-1")
		b, eb := w.home("model-2")
		c, ec := w.home("model-3")
		handle := w.mustCall(a, w.start(a, "k"), w.ask(1, "one"))
		errs := make(chan error, 2)
		go func() { _, _, err := call(b, handle, w.pay(2)); errs <- err }()
		go func() { _, _, err := call(c, handle, w.pay(2)); errs <- err }()
		failed := 0
		for range 2 {
			if err := <-errs; err != nil {
				require.Equal(t, program.KindMoved, program.KindOf(err))
				failed++
			}
		}
		require.Equal(t, 1, failed)
		require.Equal(t, 1, w.checkOnce())
		require.Zero(t, eb.runs()+ec.runs())
	})
}

func TestLogOutageStopsOrdersButNotModelCalls(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, _ := w.home("model-1")
		handle := w.start(h, "k")
		w.setDown(true)
		handle = w.mustCall(h, handle, w.ask(1, "one"))
		_, _, err := call(h, handle, w.pay(2))
		require.Error(t, err)
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome(), "without the log nothing proves that no other home ran it")
		require.Positive(t, program.AsError(err).RetryAfter())
		require.Zero(t, w.checkOnce())
		w.setDown(false)
		time.Sleep(10 * time.Second)
		w.mustCall(h, handle, w.pay(2))
		require.Equal(t, 1, w.checkOnce())
	})
}

func TestProgramIsReadBackAfterItsHomeRestarts(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, _ := w.home("model-1")
		handle := w.start(a, "k")
		handle = w.mustCall(a, handle, w.ask(1, "one"))
		handle = w.mustCall(a, handle, w.pay(2))
		before, err := a.Read(context.Background(), handle)
		require.NoError(t, err)
		a.Close()

		again, e := w.home("model-1")
		after, err := again.Read(context.Background(), handle)
		require.NoError(t, err)
		require.Equal(t, before.Spent(), after.Spent())
		require.Equal(t, before.Next(), after.Next())
		w.mustCall(again, handle, w.ask(3, "three"))
		require.Equal(t, "one", e.prompts[0].Messages()[0].Content())
		synctest.Wait()
	})
}

func TestAcknowledgedTurnsOutliveTheirHomeInAnOutage(t *testing.T) {
	tests := []struct {
		name  string
		saved uint32
	}{
		{name: "started before the outage", saved: 0},
		{name: "first turn saved", saved: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				a, _ := w.home("model-1")
				b, e := w.home("model-2")
				handle := w.start(a, "k")
				for n := range test.saved {
					handle = w.mustCall(a, handle, w.ask(n+1, "saved"))
				}
				w.setDown(true)
				handle = w.mustCall(a, handle, w.ask(test.saved+1, "unsaved one"))
				handle = w.mustCall(a, handle, w.ask(test.saved+2, "unsaved two"))
				require.NotEmpty(t, handle.CarriedRecords())
				a.Close()
				_, _, err := call(b, handle, w.ask(test.saved+3, "too early"))
				require.Equal(t, program.KindUnavailable, program.KindOf(err))
				w.setDown(false)
				time.Sleep(5 * time.Second)
				handle = w.mustCall(b, handle, w.ask(test.saved+3, "after"))
				require.EqualValues(t, test.saved+3, handle.Turn())
				var asked []string
				for _, m := range e.prompts[len(e.prompts)-1].Messages() {
					if m.Role() == program.RoleUser {
						asked = append(asked, m.Content())
					}
				}
				require.Equal(t, []string{"unsaved one", "unsaved two", "after"}, asked[test.saved:])
			})
		})
	}
}

func TestTurnOfAReplacedHomeIsTakenOver(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, _ := w.home("model-1")
		b, e := w.home("model-2")
		handle := w.mustCall(a, w.start(a, "k"), w.ask(1, "one"))
		_, err := b.Read(context.Background(), handle)
		require.NoError(t, err, "model-2 adopts")
		w.setDown(true)
		handle = w.mustCall(a, handle, w.ask(2, "at the replaced home"))
		require.NotEmpty(t, handle.CarriedRecords())
		w.setDown(false)
		time.Sleep(5 * time.Second)
		next := w.mustCall(b, handle, w.ask(3, "three"))
		require.EqualValues(t, 3, next.Turn())
		last := e.prompts[len(e.prompts)-1].Messages()
		require.Equal(t, "at the replaced home", last[2].Content())
	})
}

func TestCallAheadDoesNotWaitForEver(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, _ := w.home("model-1")
		_, _, err := call(h, w.start(h, "k"), w.ask(2, "the call before never comes"))
		require.Equal(t, program.KindConflict, program.KindOf(err))
	})
}

func TestHungEngineDoesNotHoldItsSlot(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		handle := w.start(h, "k")
		e.setStuck(true)
		_, _, err := call(h, handle, w.ask(1, "one"))
		require.Equal(t, program.KindTimeout, program.KindOf(err))
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome())
		e.setStuck(false)
		w.mustCall(h, handle, w.ask(1, "one"))
		require.Zero(t, h.Load().Running())
	})
}

func TestProgramOutlivesTheRetentionOfItsRecords(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, _ := w.home("model-1")
		handle := w.mustCall(a, w.start(a, "k"), w.ask(1, "one"))
		for range 2 {
			time.Sleep(5 * time.Hour)
			handle = w.mustCall(a, handle, w.ask(handle.Turn()+1, "more"))
		}
		time.Sleep(2 * time.Hour)
		page, err := w.log.Read(context.Background(), "p-0", 0, 1000)
		require.NoError(t, err)
		for _, entry := range page.Entries() {
			if time.Since(entry.Time()) > 13*time.Hour/2 {
				w.log.Expire("p-0", entry.Offset()+1)
			}
		}
		a.Close()
		b, e := w.home("model-1")
		w.mustCall(b, handle, w.ask(4, "after"))
		require.Equal(t, "one", e.prompts[0].Messages()[0].Content())
	})
}

func TestLongProgramsAreReadBackFromTheirSnapshot(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, _ := w.home("model-1")
		handle := w.start(a, "k")
		for n := range uint32(18) {
			handle = w.mustCall(a, handle, w.ask(n+1, "turn "+string(rune('a'+n))))
		}
		time.Sleep(10 * time.Second)
		require.EqualValues(t, 1, a.Metrics()["snapshots"])
		a.Close()
		b, _ := w.home("model-1")
		before := w.log.Stats().Reads
		view, err := b.Read(context.Background(), handle)
		require.NoError(t, err)
		require.EqualValues(t, 19, view.Next())
		require.LessOrEqual(t, w.log.Stats().Reads-before, int64(8), "the chain ends at the snapshot")
	})
}

func TestCallGoesOnFromWhatWasReceived(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		handle := w.start(h, "k")
		text, r, err := call(h, handle, w.ask(1, "one").WithReceivedText(words(2)))
		require.NoError(t, err)
		require.Equal(t, words(5), text, "the stream begins with what was received")
		require.Equal(t, words(2), e.prompts[0].Resume())
		require.EqualValues(t, 3, e.prompts[0].MaxTokens())
		require.EqualValues(t, 5, r.Answer().Usage().OutputTokens())
		replayed, _, err := call(h, handle, w.ask(1, "one"))
		require.NoError(t, err)
		require.Equal(t, text, replayed, "the history has the text that the caller has")
	})
}

func TestReceivedTextIsBounded(t *testing.T) {
	tests := []struct {
		name string
		call program.CallConfig
	}{
		{name: "more than the call can make", call: program.CallConfig{
			Number: 1, MaxTokens: 1, ReceivedText: string(make([]byte, 65)), Messages: []program.Message{program.NewMessage(program.RoleUser, "a")},
		}},
		{name: "of an order", call: program.CallConfig{Number: 1, Type: program.OrderCall, Service: "payment", Method: "pay", ReceivedText: "x"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := program.NewCall(test.call)
			require.Equal(t, program.KindInvalid, program.KindOf(err))
		})
	}
}
