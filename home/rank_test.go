package home_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// words returns the text of an answer of n tokens.
func words(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "w%02d ", i)
	}
	return b.String()
}

// The preempted call continues from its text: its answer and usage must be the
// same as without the interruption.
func TestUrgentCallTakesTheSlotOfABackgroundCall(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		texts := make(chan string, 2)
		results := make(chan home.CallResult, 2)
		for i := range 2 {
			handle := tc.startWithClass(h, fmt.Sprint("tally", i), "tally")
			go func() {
				text, r, err := call(h, handle, tc.modelCallOfLength(1, "long", 90))
				require.NoError(t, err)
				texts <- text
				results <- r
			}()
		}
		time.Sleep(200 * time.Millisecond)
		urgent := tc.startUrgent(h, "quote")
		calledAt := time.Now()
		_, r, err := call(h, urgent, tc.modelCall(1, "now"))
		require.NoError(t, err)
		require.Less(t, time.Since(calledAt), 300*time.Millisecond, "the background calls need 900 ms")
		require.Less(t, r.Answer().Timing().Queue, 50*time.Millisecond)
		for range 2 {
			require.Equal(t, words(90), <-texts, "the text has no gap and no repetition")
			usage := (<-results).Answer().Usage()
			require.EqualValues(t, 90, usage.OutputTokens(), "each token is counted once")
			require.EqualValues(t, 5, usage.PromptTokens())
		}
		require.LessOrEqual(t, e.maxRunning, 2, "no more concurrent calls than slots")
	})
}

func TestOverloadedHomeRefusesNewPrograms(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, e := tc.addHome("model-1")
		refused, handles := 0, []program.Handle{}
		for i := range 50 {
			s, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: fmt.Sprint(i), Class: "quote"})
			if err != nil {
				require.Equal(t, program.KindOverloaded, program.KindOf(err))
				require.Equal(t, program.NotRun, program.AsError(err).Outcome())
				require.Positive(t, program.AsError(err).RetryAfter())
				refused++
				continue
			}
			handles = append(handles, s.Handle())
		}
		require.NotZero(t, refused)
		require.NotEmpty(t, handles)
		for _, handle := range handles {
			tc.requireCall(h, handle, tc.modelCall(1, "admitted programs go on"))
		}
		require.Equal(t, len(handles), e.promptCount(), "the engine gets no call of a refused program")
		synctest.Wait()
	})
}

// A sub-agent is part of a program that was admitted before, so a busy home
// accepts it.
func TestSubAgentIsNotRefusedForLoad(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		parent := tc.startUrgent(h, "parent")
		for i := range 50 {
			_, _ = h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: fmt.Sprint(i), Class: "quote"})
		}
		_, err := h.Start(context.Background(), home.StartRequest{
			Caller: "omuti", Key: "child", Class: "quote", Budget: 100, Parent: parent.Program(), ParentHome: "model-1",
		})
		require.NoError(t, err)
	})
}
