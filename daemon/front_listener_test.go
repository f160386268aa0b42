package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// When one listener fails, the front must close the others. Otherwise Run waits forever
// for the ingress, which is still serving.
func TestFrontEndsWhenAListenerFails(t *testing.T) {
	t.Parallel()
	free := "127.0.0.1:0"
	f, err := NewFront(FrontConfig{
		Name: "front-1", Domain: "a", CallerAddress: free, ReadyAddress: free, PeerAddress: free,
		StoreAddress: "127.0.0.1:1", Shards: 4, Processors: 1, GracePeriod: 4 * time.Second, Logger: zap.NewNop(),
	})
	require.NoError(t, err)
	require.NoError(t, f.listeners.ready.Close())
	require.Error(t, f.Run(t.Context()))
}
