package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/standin/store"
)

func TestConversationContinuesThroughAnotherFront(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	first, second := s.startFront(), s.startFront()
	status, _, _, err := first.send(t, http.MethodPost, "/chat/1", "turn-1", "one|", "Program-Id", "p", "Token-Budget", "500", "Token-Usage", "10,100")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	status, _, _, err = second.send(t, http.MethodPost, "/chat/1", "turn-2", "two|", "Program-Id", "p", "Token-Budget", "500", "Token-Usage", "10,100", "Previous-Turn", "turn-1")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	status, _, body, err := second.send(t, http.MethodPost, "/chat/1", "turn-3", "three|", "Program-Id", "q", "Previous-Turn", "turn-2")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
	var bodies []string
	for _, e := range s.engines {
		for _, run := range e.Executions() {
			bodies = append(bodies, run.Body)
		}
	}
	events := "word1\nword2\nword3\n"
	require.ElementsMatch(t, []string{"one|", "one|" + events + "two|", "one|" + events + "two|" + events + "three|"}, bodies)
	status, _, _, err = first.send(t, http.MethodPost, "/chat/1", "turn-4", "x", "Program-Id", "p", "Previous-Turn", "never")
	require.NoError(t, err)
	require.Equal(t, 404, status)
}

func TestBudgetIsSharedByFronts(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	fronts := []*testFront{s.startFront(), s.startFront()}
	// Each front must learn by gossip that the other has started, or shards move to
	// another home during the test.
	time.Sleep(500 * time.Millisecond)
	var statuses []int
	for i := range 5 {
		status, _, _, err := fronts[i%2].send(t, http.MethodPost, "/survey/1", fmt.Sprintf("a-%d", i), "x", "Program-Id", "p", "Token-Budget", "150", "Token-Usage", "10,60")
		require.NoError(t, err)
		statuses = append(statuses, status)
	}
	require.Equal(t, []int{200, 200, 200, 402, 402}, statuses, "three turns that use 39 tokens each fit into 150, a fourth that may use 60 does not")
}

func TestTurnsContinueWhileAppendResponsesAreLost(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.startFront()
	s.store.SetFault(store.AppendResponseLost)
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.store.SetFault(store.NoFault)
	}()
	status, _, body, err := f.send(t, http.MethodPost, "/chat/1", "turn-1", "one|", "Program-Id", "p")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
	status, _, body, err = f.send(t, http.MethodPost, "/chat/1", "turn-2", "two|", "Program-Id", "p", "Previous-Turn", "turn-1")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
}
