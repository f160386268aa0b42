package turn_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
)

// TestProgramIsBegunOnceAnAttemptDeliveredOrEnded guards against turns of begun programs that count as
// beginnings, which may be refused, and against first turns that are never refused because an earlier
// attempt of them was.
func TestProgramIsBegunOnceAnAttemptDeliveredOrEnded(t *testing.T) {
	completed := &turn.CompletedTurn{Text: []byte("a"), RetentionMS: 60_000}
	tests := []struct {
		name string
		// ends are the earlier attempts of the program, by their ends; unfinished is set for one more
		// that is under way.
		ends       []turn.EndRequest
		unfinished bool
		next       turn.BeginRequest
		begun      bool
	}{
		{name: "first turn", next: request("p", "next", 1000)},
		{name: "first turn without a budget", next: request("p", "next", 0)},
		{name: "retry of a refused first turn", ends: []turn.EndRequest{{Program: "p", Attempt: "a"}}, next: request("p", "next", 1000)},
		{name: "beside an attempt without tokens", unfinished: true, next: request("p", "next", 1000)},
		{name: "retry of one that was cut off", ends: []turn.EndRequest{{Program: "p", Attempt: "a", DeliveredTokens: 5}}, next: request("p", "next", 1000), begun: true},
		{name: "after a turn without a budget", ends: []turn.EndRequest{{Program: "p", Attempt: "a", DeliveredTokens: 5}}, next: request("p", "next", 0), begun: true},
		{name: "after a turn without tokens", ends: []turn.EndRequest{{Program: "p", Attempt: "a", Completed: completed}}, next: request("p", "next", 1000), begun: true},
		{name: "sub-agent", ends: []turn.EndRequest{{Program: "p", Session: "main", Attempt: "a", DeliveredTokens: 5}}, next: turn.BeginRequest{Program: "p", Session: "sub", Attempt: "next", BudgetTokens: 1000, MaxTokens: 100}, begun: true},
		{name: "turn of another program", ends: []turn.EndRequest{{Program: "q", Attempt: "a", DeliveredTokens: 5}}, next: request("p", "next", 1000)},
		{name: "continues a turn of another program", ends: []turn.EndRequest{{Program: "q", Attempt: "a", Completed: completed}}, next: turn.BeginRequest{Program: "p", Attempt: "next", Previous: "a"}, begun: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withTestEnv(t, func(t *testing.T, env *testEnv) {
				set := env.newShardSet()
				if test.unfinished {
					require.NoError(t, begin(t, set, request("p", "unfinished", 1000)))
				}
				for _, end := range test.ends {
					require.NoError(t, begin(t, set, request(end.Program, end.Attempt, 1000)))
					require.NoError(t, set.End(t.Context(), end))
				}
				for _, home := range []struct {
					name string
					set  *turn.ShardSet
				}{{"the same home", set}, {"the next home", env.newShardSet()}} {
					admission, err := home.set.Begin(t.Context(), test.next)
					require.NoError(t, err)
					assert.Equal(t, test.begun, admission.Begun(), home.name)
					require.NoError(t, home.set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "next"}))
					// The records of ended attempts are appended within a second.
					time.Sleep(time.Second)
				}
			})
		})
	}
}

// TestWaitOfAProgramCountsFromItsFirstAttempt guards against retries of a refused first turn that count as
// new programs.
func TestWaitOfAProgramCountsFromItsFirstAttempt(t *testing.T) {
	withTestEnv(t, func(t *testing.T, env *testEnv) {
		set := env.newShardSet()
		for i, want := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond} {
			attempt := fmt.Sprint(i)
			admission, err := set.Begin(t.Context(), request("p", attempt, 1000))
			require.NoError(t, err)
			require.Equal(t, want, admission.Waited())
			require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: attempt}))
			time.Sleep(300 * time.Millisecond)
		}
		require.NoError(t, begin(t, set, request("p", "runs", 1000)))
		require.NoError(t, set.End(t.Context(), turn.EndRequest{Program: "p", Attempt: "runs", DeliveredTokens: 5}))
		admission, err := set.Begin(t.Context(), request("p", "next", 1000))
		require.NoError(t, err)
		require.Zero(t, admission.Waited())
	})
}
