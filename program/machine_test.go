package program_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavendervale/lavendervale/program"
)

// stateMachine applies random operations to a program and tracks the expected state in a
// simple model.
type stateMachine struct {
	program         *program.Program
	limit           int64
	spent           int64
	reserved        int64
	reservedByChild map[program.ID]int64
	running         *program.Call
	historyTexts    []string
	turns           uint32
}

// TestProgramStateMachine guards against a sequence of operations after which the budget, the
// turns or the history of a program are wrong.
func TestProgramStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(50, 5000).Draw(t, "limit")
		m := &stateMachine{
			limit: limit, reservedByChild: map[program.ID]int64{},
			program: program.New(program.Config{Caller: testCaller, Key: "k", BudgetTokens: limit}),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         m.check,
			"begin":    m.begin,
			"complete": m.complete,
			"abort":    m.abort,
			"split":    m.split,
			"settle":   m.settle,
			"restore":  m.restore,
		})
	})
}

// check compares the program's state with the model.
func (m *stateMachine) check(t *rapid.T) {
	b := m.program.Budget()
	require.LessOrEqual(t, b.Spent()+b.Reserved(), b.Limit(), "budget exceeded")
	require.Equal(t, m.spent, b.Spent())
	require.Equal(t, m.reserved, b.Reserved())
	require.Equal(t, m.turns, m.program.Turn())
	require.Len(t, m.program.History(), len(m.historyTexts))
	for i, text := range m.historyTexts {
		require.Equal(t, text, m.program.History()[i].Content())
	}
}

func (m *stateMachine) begin(t *rapid.T) {
	text := rapid.StringN(1, 20, 60).Draw(t, "text")
	call := newModelCall(t, m.program.NextNumber(), text, rapid.Int64Range(1, 100).Draw(t, "max"))
	decision, r, err := m.program.Begin(call)
	switch {
	case err != nil:
		require.NotEqual(t, program.KindInternal, program.KindOf(err))
	case decision == program.DecisionRun:
		require.Nil(t, m.running, "Begin returned DecisionRun while another call was running")
		m.running = &call
		m.reserved += r.PromptTokens() + r.OutputTokens()
	}
}

func (m *stateMachine) complete(t *rapid.T) {
	if m.running == nil {
		return
	}
	r := m.program.Reservation()
	prompt := rapid.Int64Range(1, r.PromptTokens()).Draw(t, "prompt")
	output := rapid.Int64Range(0, r.OutputTokens()).Draw(t, "output")
	reserved := r.PromptTokens() + r.OutputTokens()
	require.NoError(t, m.program.Complete(newAnswer(*m.running, "answer", prompt, output)))
	m.historyTexts = append(m.historyTexts, m.running.Messages()[0].Content(), "answer")
	m.reserved -= reserved
	m.spent += prompt + output
	m.turns++
	m.running = nil
}

func (m *stateMachine) abort(t *rapid.T) {
	if m.running == nil {
		return
	}
	r := m.program.Reservation()
	reserved := r.PromptTokens() + r.OutputTokens()
	used := rapid.Int64Range(0, 2*reserved).Draw(t, "used")
	m.program.Abort(m.running.Number(), used)
	m.reserved -= reserved
	m.spent += min(used, reserved)
	m.running = nil
}

func (m *stateMachine) split(t *rapid.T) {
	child := program.NewID(testCaller, rapid.StringMatching("[a-e]").Draw(t, "child"))
	tokens := rapid.Int64Range(1, m.limit).Draw(t, "tokens")
	_, known := m.reservedByChild[child]
	err := m.program.ReserveForChild(child, tokens)
	if err == nil && !known {
		m.reservedByChild[child] = tokens
		m.reserved += tokens
	}
}

func (m *stateMachine) settle(t *rapid.T) {
	child := program.NewID(testCaller, rapid.StringMatching("[a-e]").Draw(t, "child"))
	used := rapid.Int64Range(0, m.limit).Draw(t, "used")
	reserved := m.reservedByChild[child]
	returned := m.program.SettleChild(child, used)
	if reserved == 0 {
		require.Zero(t, returned)
		return
	}
	require.Equal(t, reserved-min(used, reserved), returned)
	m.reserved -= reserved
	m.spent += min(used, reserved)
	m.reservedByChild[child] = 0
}

// restore replaces a program without a running call by one restored from its snapshot.
func (m *stateMachine) restore(*rapid.T) {
	if m.running != nil {
		return
	}
	m.program = program.Restore(m.program.Snapshot())
}

func TestRepeatedEndChangesNothing(t *testing.T) {
	p := newProgram(100)
	at := time.Unix(2000, 0)
	require.NoError(t, p.End(program.Finished, at))
	require.NoError(t, p.End(program.Finished, at.Add(time.Hour)))
	require.Equal(t, at, p.EndedAt())
	require.Equal(t, program.KindEnded, program.KindOf(p.End(program.Canceled, at)))
}
