package daemon_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/daemon"
)

// When any address can't be listened on, NewFront must fail. A front that continues without
// its readiness listener, for instance because another process took the port, never
// becomes ready.
func TestFrontThatCannotListenDoesNotStart(t *testing.T) {
	t.Parallel()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	free := "127.0.0.1:0"
	tests := []struct {
		name                           string
		callers, ready, peers, metrics string
	}{
		{name: "callers", callers: taken.Addr().String(), ready: free, peers: free},
		{name: "ready", callers: free, ready: taken.Addr().String(), peers: free},
		{name: "peers", callers: free, ready: free, peers: taken.Addr().String()},
		{name: "metrics", callers: free, ready: free, peers: free, metrics: taken.Addr().String()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := daemon.NewFront(daemon.FrontConfig{
				Name: "front-1", Domain: "a", CallerAddress: test.callers, ReadyAddress: test.ready, PeerAddress: test.peers, MetricsAddress: test.metrics,
				StoreAddress: "127.0.0.1:1", Shards: 4, Processors: 1, GracePeriod: 4 * time.Second, Logger: zap.NewNop(),
			})
			require.Error(t, err)
		})
	}
}
