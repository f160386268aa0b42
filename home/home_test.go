package home_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		defer w.close()
		f(t, w)
	})
}

func TestCallsRunInOrderWithTheirHistory(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		handle := w.start(h, "k")
		handle = w.mustCall(h, handle, w.ask(1, "one"))
		handle = w.mustCall(h, handle, w.ask(2, "two"))
		require.EqualValues(t, 2, handle.Turn())
		var texts []string
		for _, m := range e.prompts[1].Messages() {
			texts = append(texts, m.Content())
		}
		require.Equal(t, []string{"one", "w00 w01 w02 w03 w04 ", "two"}, texts)
	})
}

func TestCallAheadWaitsForItsPredecessor(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		handle := w.start(h, "k")
		done := make(chan error, 1)
		go func() {
			_, _, err := call(h, handle, w.ask(2, "two"))
			done <- err
		}()
		synctest.Wait()
		require.Zero(t, e.runs(), "call 2 must not run before call 1")
		w.mustCall(h, handle, w.ask(1, "one"))
		require.NoError(t, <-done)
		require.Equal(t, "two", e.prompts[1].Messages()[2].Content())
	})
}

func TestRepeatJoinsOrReplays(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		handle := w.start(h, "k")
		first := make(chan string, 1)
		go func() {
			text, _, _ := call(h, handle, w.ask(1, "one"))
			first <- text
		}()
		time.Sleep(25 * time.Millisecond)
		joined, _, err := call(h, handle, w.ask(1, "one"))
		require.NoError(t, err)
		require.Equal(t, <-first, joined, "a repeat gets the whole text")
		replayed, r, err := call(h, handle, w.ask(1, "one"))
		require.NoError(t, err)
		require.True(t, r.Replayed())
		require.Equal(t, joined, replayed)
		require.Equal(t, 1, e.runs())
	})
}

func TestCallGoesOnWhenItsCallerIsGone(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		handle := w.start(h, "k")
		ctx, cancel := context.WithTimeout(context.Background(), 25*time.Millisecond)
		defer cancel()
		_, err := h.Call(ctx, handle, w.ask(1, "one"), func([]byte) error { return nil })
		require.Error(t, err)
		text, _, err := call(h, handle, w.ask(1, "one"))
		require.NoError(t, err)
		require.Equal(t, "w00 w01 w02 w03 w04 ", text)
		require.Equal(t, 1, e.runs())
	})
}

func TestEngineFailureChargesAndAllowsARepeat(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		handle := w.start(h, "k")
		e.setFail(program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindUnavailable, Err: errLost}))
		_, _, err := call(h, handle, w.ask(1, "one"))
		require.Error(t, err)
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome())
		v, err := h.Read(context.Background(), handle)
		require.NoError(t, err)
		require.Positive(t, v.Spent(), "work of the engine is charged")
		require.Zero(t, v.Reserved())
		e.setFail(nil)
		w.mustCall(h, handle, w.ask(1, "one"))
	})
}

func TestLeavingHomeBeginsNothingAndCutsNothing(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, _ := w.home("model-1")
		handle := w.start(h, "k")
		done := make(chan error, 1)
		go func() {
			_, _, err := call(h, handle, w.ask(1, "one"))
			done <- err
		}()
		time.Sleep(15 * time.Millisecond)
		h.Leave()
		_, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: "other", Class: "quote"})
		require.Equal(t, program.KindLeaving, program.KindOf(err))
		require.False(t, h.Quiet())
		require.NoError(t, <-done)
		time.Sleep(time.Second)
		require.True(t, h.Quiet())
		_, _, err = call(h, handle, w.ask(2, "two"))
		require.Equal(t, program.KindLeaving, program.KindOf(err))
		require.Equal(t, program.NotRun, program.AsError(err).Outcome())
	})
}

func TestEndReleasesTheEngine(t *testing.T) {
	tests := []struct {
		name   string
		cancel bool
	}{
		{name: "finish"},
		{name: "cancel", cancel: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				h, e := w.home("model-1")
				handle := w.mustCall(h, w.start(h, "k"), w.ask(1, "one"))
				for range 2 {
					ended, err := h.End(context.Background(), handle, test.cancel)
					require.NoError(t, err)
					require.Equal(t, !test.cancel, ended.TargetMet())
				}
				synctest.Wait()
				require.Equal(t, 1, e.released[handle.Program()])
				_, _, err := call(h, handle, w.ask(2, "two"))
				require.Equal(t, program.KindEnded, program.KindOf(err))
			})
		})
	}
}

func TestCancelStopsARunningCall(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		e.setStuck(true)
		handle := w.start(h, "k")
		done := make(chan error, 1)
		go func() {
			_, _, err := call(h, handle, w.ask(1, "one"))
			done <- err
		}()
		synctest.Wait()
		_, err := h.End(context.Background(), handle, true)
		require.NoError(t, err)
		require.Equal(t, program.KindCanceled, program.KindOf(<-done))
	})
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, _ := w.home("model-1")
		s, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: "k", Class: "quote", Budget: 120})
		require.NoError(t, err)
		handle := s.Handle()
		child := program.NewID("omuti", "child")
		_, err = h.Transfer(context.Background(), home.Transfer{Parent: handle, Child: child, Tokens: 60})
		require.NoError(t, err)
		for n := uint32(1); ; n++ {
			_, r, err := call(h, handle, w.ask(n, "and one more please"))
			v, readErr := h.Read(context.Background(), handle)
			require.NoError(t, readErr)
			require.LessOrEqual(t, v.Spent()+v.Reserved(), v.Budget())
			if err != nil {
				require.Equal(t, program.KindOverBudget, program.KindOf(err))
				require.Equal(t, program.NotRun, program.AsError(err).Outcome())
				return
			}
			handle = r.Handle()
		}
	})
}

func TestTwoHomesWithOneKeyAgree(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, _ := w.home("model-1")
		b, _ := w.home("model-2")
		handles := make(chan program.Handle, 2)
		for _, h := range []*home.Home{a, b} {
			go func() { handles <- w.start(h, "same") }()
		}
		first, second := <-handles, <-handles
		require.Equal(t, first.Program(), second.Program())
		require.Equal(t, first.Home(), second.Home(), "the order of the log decides")
	})
}

func TestUsageIsTheEnginesOwn(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, e := w.home("model-1")
		e.pieces = 2
		_, r, err := call(h, w.start(h, "k"), w.ask(1, "one"))
		require.NoError(t, err)
		require.EqualValues(t, 5, r.Answer().Usage().OutputTokens(), "an engine may send a token in several pieces")
		require.EqualValues(t, 4, r.Answer().Usage().PromptTokens())
	})
}
