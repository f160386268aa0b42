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

// runInVirtualTime runs a test with a cluster in a synctest bubble.
func runInVirtualTime(t *testing.T, f func(t *testing.T, tc *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		defer tc.close()
		f(t, tc)
	})
}

func TestCallsRunInOrderWithTheirHistory(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		handle = tc.requireCall(h, handle, tc.modelCall(1, "one"))
		handle = tc.requireCall(h, handle, tc.modelCall(2, "two"))
		require.EqualValues(t, 2, handle.Turn())
		var texts []string
		for _, m := range e.prompts[1].Messages() {
			texts = append(texts, m.Content())
		}
		require.Equal(t, []string{"one", "w00 w01 w02 w03 w04 ", "two"}, texts)
	})
}

func TestCallAheadWaitsForItsPredecessor(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		done := make(chan error, 1)
		go func() {
			_, _, err := call(h, handle, tc.modelCall(2, "two"))
			done <- err
		}()
		synctest.Wait()
		require.Zero(t, e.promptCount(), "call 2 must not run before call 1")
		tc.requireCall(h, handle, tc.modelCall(1, "one"))
		require.NoError(t, <-done)
		require.Equal(t, "two", e.prompts[1].Messages()[2].Content())
	})
}

func TestRepeatJoinsOrReplays(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		first := make(chan string, 1)
		go func() {
			text, _, _ := call(h, handle, tc.modelCall(1, "one"))
			first <- text
		}()
		time.Sleep(25 * time.Millisecond)
		joined, _, err := call(h, handle, tc.modelCall(1, "one"))
		require.NoError(t, err)
		require.Equal(t, <-first, joined, "a repeat gets the text from its beginning")
		replayed, r, err := call(h, handle, tc.modelCall(1, "one"))
		require.NoError(t, err)
		require.True(t, r.Replayed())
		require.Equal(t, joined, replayed)
		require.Equal(t, 1, e.promptCount())
	})
}

func TestCallContinuesWhenItsCallerDisconnects(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		ctx, cancel := context.WithTimeout(context.Background(), 25*time.Millisecond)
		defer cancel()
		_, err := h.Call(ctx, handle, tc.modelCall(1, "one"), func([]byte) error { return nil })
		require.Error(t, err)
		text, _, err := call(h, handle, tc.modelCall(1, "one"))
		require.NoError(t, err)
		require.Equal(t, "w00 w01 w02 w03 w04 ", text)
		require.Equal(t, 1, e.promptCount())
	})
}

func TestEngineFailureChargesAndAllowsARepeat(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		e.setFailure(program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindUnavailable, Err: errAnswerLost}))
		_, _, err := call(h, handle, tc.modelCall(1, "one"))
		require.Error(t, err)
		require.Equal(t, program.InDoubt, program.AsError(err).Outcome())
		v, err := h.Read(context.Background(), handle)
		require.NoError(t, err)
		require.Positive(t, v.Spent(), "the tokens that the engine processed are charged")
		require.Zero(t, v.Reserved())
		e.setFailure(nil)
		tc.requireCall(h, handle, tc.modelCall(1, "one"))
	})
}

// A leaving home refuses new programs and calls as not run, but completes the
// running call.
func TestLeavingHomeStartsNoCallAndInterruptsNone(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		handle := tc.startUrgent(h, "k")
		done := make(chan error, 1)
		go func() {
			_, _, err := call(h, handle, tc.modelCall(1, "one"))
			done <- err
		}()
		time.Sleep(15 * time.Millisecond)
		h.Leave()
		_, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: "other", Class: "quote"})
		require.Equal(t, program.KindLeaving, program.KindOf(err))
		require.False(t, h.Idle())
		require.NoError(t, <-done)
		time.Sleep(time.Second)
		require.True(t, h.Idle())
		_, _, err = call(h, handle, tc.modelCall(2, "two"))
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
			runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
				h, e := tc.addHome("model-1")
				handle := tc.requireCall(h, tc.startUrgent(h, "k"), tc.modelCall(1, "one"))
				for range 2 {
					ended, err := h.End(context.Background(), handle, test.cancel)
					require.NoError(t, err)
					require.Equal(t, !test.cancel, ended.TargetMet())
				}
				synctest.Wait()
				require.Equal(t, 1, e.releasesByProgram[handle.Program()])
				_, _, err := call(h, handle, tc.modelCall(2, "two"))
				require.Equal(t, program.KindEnded, program.KindOf(err))
			})
		})
	}
}

func TestCancelStopsARunningCall(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		e.setHanging(true)
		handle := tc.startUrgent(h, "k")
		done := make(chan error, 1)
		go func() {
			_, _, err := call(h, handle, tc.modelCall(1, "one"))
			done <- err
		}()
		synctest.Wait()
		_, err := h.End(context.Background(), handle, true)
		require.NoError(t, err)
		require.Equal(t, program.KindCanceled, program.KindOf(<-done))
	})
}

func TestBudgetIsNeverExceeded(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		s, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: "k", Class: "quote", Budget: 120})
		require.NoError(t, err)
		handle := s.Handle()
		child := program.NewID("omuti", "child")
		_, err = h.Transfer(context.Background(), home.BudgetTransfer{Parent: handle, Child: child, Tokens: 60})
		require.NoError(t, err)
		for n := uint32(1); ; n++ {
			_, r, err := call(h, handle, tc.modelCall(n, "and one more please"))
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

// Two homes that start a program with the same caller and key at once must
// return the same program with the same owner, or both would run it.
func TestConcurrentStartsWithOneKeyReturnOneProgram(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		a, _ := tc.addHome("model-1")
		b, _ := tc.addHome("model-2")
		handles := make(chan program.Handle, 2)
		for _, h := range []*home.Home{a, b} {
			go func() { handles <- tc.startUrgent(h, "same") }()
		}
		first, second := <-handles, <-handles
		require.Equal(t, first.Program(), second.Program())
		require.Equal(t, first.Home(), second.Home(), "the first start record in the log decides")
	})
}

// An engine may send a token in several pieces, so the usage must be what the
// engine reports and not the number of pieces.
func TestUsageIsReportedByTheEngine(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		e.piecesPerToken = 2
		_, r, err := call(h, tc.startUrgent(h, "k"), tc.modelCall(1, "one"))
		require.NoError(t, err)
		require.EqualValues(t, 5, r.Answer().Usage().OutputTokens(), "an engine may send a token in several pieces")
		require.EqualValues(t, 4, r.Answer().Usage().PromptTokens())
	})
}
