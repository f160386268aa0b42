package daemon

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestFrontEndsAlthoughAPartDoesNot guards against a front that is still there after its grace period
// because a part of it waits without a bound, and says nothing of what it waits for.
func TestFrontEndsAlthoughAPartDoesNot(t *testing.T) {
	t.Parallel()
	core, logs := observer.New(zap.ErrorLevel)
	f, err := NewFront(FrontConfig{
		Name: "front-1", Domain: "a", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		StoreAddress: "127.0.0.1:1", Shards: 4, Processors: 1, GracePeriod: 800 * time.Millisecond, Logger: zap.New(core),
	})
	require.NoError(t, err)
	release := make(chan struct{})
	defer close(release)
	f.parts = append(f.parts, func(context.Context) { <-release })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(20 * time.Second):
		t.Fatal("the front does not end")
	}
	lines := logs.FilterMessage("front has not stopped in time and ends all the same").All()
	require.Len(t, lines, 1)
	require.True(t, strings.Contains(lines[0].ContextMap()["goroutines"].(string), "TestFrontEndsAlthoughAPartDoesNot"), "the log names the part")
}
