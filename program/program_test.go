package program_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/program"
)

const testCaller = "caller"

func newProgram(budget int64) *program.Program {
	return program.New(program.Config{
		Caller: testCaller, Key: "key", Class: "class", BudgetTokens: budget, MaxTurns: 5, MaxRepeats: 3, StartedAt: time.Unix(1000, 0),
	})
}

func newModelCall(t require.TestingT, number uint32, text string, maxTokens int64) program.Call {
	call, err := program.NewCall(program.CallConfig{
		Number: number, Type: program.ModelCall, MaxTokens: maxTokens,
		Messages: []program.Message{program.NewMessage(program.RoleUser, text)},
	})
	require.NoError(t, err)
	return call
}

func newAnswer(call program.Call, text string, prompt, output int64) program.Answer {
	return program.NewAnswer(program.AnswerConfig{
		Call: call, Text: text, Usage: program.NewUsage(program.UsageConfig{PromptTokens: prompt, OutputTokens: output}),
	})
}

// runCall begins and completes the next call.
func runCall(t testing.TB, p *program.Program, text string) {
	t.Helper()
	call := newModelCall(t, p.NextNumber(), text, 10)
	decision, r, err := p.Begin(call)
	require.NoError(t, err)
	require.Equal(t, program.DecisionRun, decision)
	require.NoError(t, p.Complete(newAnswer(call, "ok", min(5, r.PromptTokens()), 2)))
}

func TestBeginDecision(t *testing.T) {
	tests := []struct {
		name     string
		setup    func(t *testing.T, p *program.Program)
		call     program.Call
		want     program.Decision
		wantKind program.Kind
		wantErr  bool
	}{
		{name: "first call runs", call: newModelCall(t, 1, "a", 10), want: program.DecisionRun},
		{name: "call ahead waits", call: newModelCall(t, 2, "a", 10), want: program.DecisionWait},
		{name: "call far ahead is refused", call: newModelCall(t, 9, "a", 10), wantErr: true, wantKind: program.KindConflict},
		{
			name: "same call joins", call: newModelCall(t, 1, "a", 10), want: program.DecisionJoin,
			setup: func(t *testing.T, p *program.Program) { mustBegin(t, p, newModelCall(t, 1, "a", 10)) },
		},
		{
			name: "other content of a running call is refused", call: newModelCall(t, 1, "b", 10), wantErr: true, wantKind: program.KindConflict,
			setup: func(t *testing.T, p *program.Program) { mustBegin(t, p, newModelCall(t, 1, "a", 10)) },
		},
		{
			name: "answered call is replayed", call: newModelCall(t, 1, "a", 10), want: program.DecisionReplay,
			setup: func(t *testing.T, p *program.Program) { runCall(t, p, "a") },
		},
		{
			name: "other content of an answered call is refused", call: newModelCall(t, 1, "b", 10), wantErr: true, wantKind: program.KindConflict,
			setup: func(t *testing.T, p *program.Program) { runCall(t, p, "a") },
		},
		{
			name: "call before the last is stale", call: newModelCall(t, 1, "a", 10), wantErr: true, wantKind: program.KindStale,
			setup: func(t *testing.T, p *program.Program) { runCall(t, p, "a"); runCall(t, p, "b") },
		},
		{
			name: "finished program refuses", call: newModelCall(t, 1, "a", 10), wantErr: true, wantKind: program.KindEnded,
			setup: func(t *testing.T, p *program.Program) { require.NoError(t, p.End(program.Finished, time.Now())) },
		},
		{
			name: "too many turns are a loop", call: newModelCall(t, 6, "z", 10), wantErr: true, wantKind: program.KindLooping,
			setup: func(t *testing.T, p *program.Program) {
				for _, text := range []string{"a", "b", "c", "d", "e"} {
					runCall(t, p, text)
				}
			},
		},
		{
			name: "equal calls in a row are a loop", call: newModelCall(t, 4, "a", 10), wantErr: true, wantKind: program.KindLooping,
			setup: func(t *testing.T, p *program.Program) { runCall(t, p, "a"); runCall(t, p, "a"); runCall(t, p, "a") },
		},
		{name: "prompt over budget is refused", call: newModelCall(t, 1, string(make([]byte, 200)), 10), wantErr: true, wantKind: program.KindOverBudget},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newProgram(150)
			if test.setup != nil {
				test.setup(t, p)
			}
			before := *p.Snapshot()
			decision, _, err := p.Begin(test.call)
			if test.wantErr {
				require.Error(t, err)
				require.Equal(t, test.wantKind, program.KindOf(err))
				require.Equal(t, before.Config(), p.Snapshot().Config(), "a rejected call must not change the program")
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.want, decision)
		})
	}
}

func mustBegin(t *testing.T, p *program.Program, call program.Call) *program.Reservation {
	t.Helper()
	_, r, err := p.Begin(call)
	require.NoError(t, err)
	return r
}

func TestReserveLimitsOutputToBudget(t *testing.T) {
	p := newProgram(50)
	r := mustBegin(t, p, newModelCall(t, 1, "0123456789", 1000))
	require.EqualValues(t, 18, r.PromptTokens(), "ten bytes of content and eight tokens of overhead")
	require.EqualValues(t, 32, r.OutputTokens())
	budget := p.Budget()
	require.Zero(t, budget.Left())
}

func TestVerifyHandleRefusesOtherHistory(t *testing.T) {
	a, b := newProgram(1000), newProgram(1000)
	runCall(t, a, "one")
	runCall(t, b, "two")
	h := a.Handle("home", 1, -1)
	tests := []struct {
		name     string
		program  *program.Program
		handle   program.Handle
		wantKind program.Kind
	}{
		{name: "other history", program: b, handle: h, wantKind: program.KindConflict},
		{name: "other caller", program: a, wantKind: program.KindDenied, handle: program.NewHandle(program.HandleConfig{
			Program: a.ID(), Caller: "other", Turn: 1, Digest: a.Digest(),
		})},
		{name: "turn this home has not seen", program: newProgram(1000), handle: h, wantKind: program.KindMoved},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := test.program.VerifyHandle(test.handle)
			require.Error(t, err)
			require.Equal(t, test.wantKind, program.KindOf(err))
		})
	}
	require.NoError(t, a.VerifyHandle(h))
	runCall(t, a, "three")
	require.NoError(t, a.VerifyHandle(h), "an older handle of the same history stays valid")
}

func TestSplitMovesBudgetOnce(t *testing.T) {
	p := newProgram(100)
	child := program.NewID(testCaller, "child")
	require.NoError(t, p.ReserveForChild(child, 60))
	require.NoError(t, p.ReserveForChild(child, 60), "a repeated reservation must not reserve again")
	budget := p.Budget()
	require.EqualValues(t, 40, budget.Left())
	require.Equal(t, program.KindOverBudget, program.KindOf(p.ReserveForChild(program.NewID(testCaller, "other"), 41)))
	require.EqualValues(t, 35, p.SettleChild(child, 25))
	require.Zero(t, p.SettleChild(child, 25), "a repeated settlement must release nothing")
	budget = p.Budget()
	require.EqualValues(t, 75, budget.Left())
}

func TestSnapshotRestoresProgram(t *testing.T) {
	p := newProgram(1000)
	runCall(t, p, "a")
	runCall(t, p, "b")
	require.NoError(t, p.ReserveForChild(program.NewID(testCaller, "child"), 100))
	p.SetClaim(program.NewClaim(program.ClaimConfig{Number: 3, Instance: "i", Incarnation: 7, Attempt: 2}))
	require.Equal(t, p.Snapshot().Config(), program.Restore(p.Snapshot()).Snapshot().Config())
}
