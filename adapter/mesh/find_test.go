package mesh

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// TestSearchOfMemoryReadsNoShard guards against a search that waits for the log, which is away.
func TestSearchOfMemoryReadsNoShard(t *testing.T) {
	log := turntest.NewLog()
	m, other := newStartingFront(t, "m", 1, log), newStartingFront(t, "other", 2, log)
	other.MarkStarted()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go other.serve(ctx)
	connectTo(m, other)
	admission, err := other.shardSet.Begin(ctx, turn.BeginRequest{Program: "p", Attempt: "a"})
	require.NoError(t, err)
	require.NoError(t, admission.Wait(ctx))
	require.NoError(t, other.shardSet.End(ctx, turn.EndRequest{Program: "p", Attempt: "a", Completed: &turn.CompletedTurn{Text: []byte("said before"), RetentionMS: 60_000}}))
	log.SetFault(turntest.Silent)
	reads := log.Reads()
	for _, front := range []*Mesh{m, other} {
		text, ok := front.FindInMemory(ctx, "a")
		require.True(t, ok)
		require.Equal(t, "said before", string(text))
	}
	_, ok := m.FindInMemory(ctx, "never")
	require.False(t, ok)
	require.Equal(t, reads, log.Reads())
}
