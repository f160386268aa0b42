package daemon_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/daemon"
)

// TestFrontEndsWhenAListenerFails is the hang of a CI run beside busy processes: a
// port was taken by another test between its choice and its use.
func TestFrontEndsWhenAListenerFails(t *testing.T) {
	t.Parallel()
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	f, err := daemon.NewFront(daemon.FrontConfig{
		Name: "front-1", Domain: "a", Callers: "127.0.0.1:0", Ready: taken.Addr().String(), Peers: "127.0.0.1:0",
		Store: "127.0.0.1:1", Shards: 4, Processors: 1, Grace: 4 * time.Second, Logger: zap.NewNop(),
	})
	require.NoError(t, err)
	require.Error(t, f.Run(t.Context()))
}
