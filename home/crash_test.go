package home_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
)

// A request during which an engine crashed is run without other calls beside
// it, so that a second crash can only be due to this request; when it succeeds,
// it is no longer suspect.
func TestSuspectRunsAloneAndIsCleared(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		tc.crashes = quarantine.NewList()
		h, e := tc.addHome("model-1")
		handle := tc.startUrgent(h, "suspect")
		e.setFailure(program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindUnavailable, Err: errAnswerLost}))
		_, _, err := call(h, handle, tc.modelCall(1, "once"))
		require.Equal(t, program.KindUnavailable, program.KindOf(err))
		e.setFailure(nil)
		e.maxRunning = 0
		done := make(chan error, 3)
		for i := range 2 {
			other := tc.startUrgent(h, fmt.Sprint("other", i))
			go func() { _, _, err := call(h, other, tc.modelCall(1, "beside")); done <- err }()
		}
		time.Sleep(time.Millisecond)
		go func() { _, _, err := call(h, handle, tc.modelCall(1, "once")); done <- err }()
		time.Sleep(60 * time.Millisecond)
		late := tc.startUrgent(h, "late")
		_, r, err := call(h, late, tc.modelCall(1, "after"))
		require.NoError(t, err)
		require.Positive(t, r.Answer().Timing().Queue, "no other call runs beside a suspect request")
		for range 3 {
			require.NoError(t, <-done)
		}
		require.LessOrEqual(t, e.maxRunning, 2)
		require.Zero(t, tc.crashes.Len(), "the request ran alone without a crash and is no longer suspect")
	})
}

// A request that crashes every engine it runs on must not be retried at one
// home after the other. It is refused at all homes after the second crash, also
// in another program with the same history.
func TestRequestThatCrashesTwiceIsQuarantined(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		tc.crashes = quarantine.NewList()
		a, ea := tc.addHome("model-1")
		b, eb := tc.addHome("model-2")
		crash := program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindUnavailable, Err: errAnswerLost})
		ea.setFailure(crash)
		eb.setFailure(crash)
		handle := tc.startUrgent(a, "k")
		for range 2 {
			_, _, err := call(a, handle, tc.modelCall(1, "poison"))
			require.Equal(t, program.KindUnavailable, program.KindOf(err))
		}
		_, _, err := call(a, handle, tc.modelCall(1, "poison"))
		require.Equal(t, program.KindQuarantined, program.KindOf(err))
		_, _, err = call(b, tc.startUrgent(b, "other program"), tc.modelCall(1, "poison"))
		require.Equal(t, program.KindQuarantined, program.KindOf(err))
		require.Equal(t, 2, ea.promptCount()+eb.promptCount())
		ea.setFailure(nil)
		tc.requireCall(a, handle, tc.modelCall(1, "another request"))
	})
}

// A request that its engine never got can't have crashed it, also when it is to continue
// text from another home.
func TestRefusedRequestWithReceivedTextIsNotSuspect(t *testing.T) {
	tests := []struct {
		name string
		// kind and outcome are those of the engine's error.
		kind    program.Kind
		outcome program.Outcome
		// wantReports is the number of requests on the list after one failure.
		wantReports int
	}{
		{name: "refused connection", kind: program.KindUnavailable, outcome: program.NotRun},
		{name: "overloaded engine", kind: program.KindOverloaded, outcome: program.NotRun},
		{name: "lost connection", kind: program.KindUnavailable, outcome: program.InDoubt, wantReports: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
				tc.crashes = quarantine.NewList()
				h, e := tc.addHome("model-1")
				handle := tc.startUrgent(h, "k")
				e.setFailure(program.NewError(program.ErrorConfig{Op: "engine", Kind: test.kind, Outcome: test.outcome, Err: errAnswerLost}))
				c, err := program.NewCall(program.CallConfig{
					Number: 1, MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleUser, "one")}, ReceivedText: "w00 w01 ",
				})
				require.NoError(t, err)
				_, _, err = call(h, handle, c)
				require.Equal(t, test.kind, program.KindOf(err))
				require.Equal(t, program.InDoubt, program.AsError(err).Outcome(), "another home generated the text")
				require.Equal(t, test.wantReports, tc.crashes.Len())
			})
		})
	}
}
