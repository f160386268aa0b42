package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/session"
	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
)

// hangTimeout bounds what must end by itself.
const hangTimeout = 20 * time.Second

// TestRunEndsWhileAFrontReadsNoRequest guards against a front that does not end because it writes the
// records of a lost front to a home that responds to pings and reads nothing.
func TestRunEndsWhileAFrontReadsNoRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	opened := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s, err := yamux.Server(conn, session.YamuxConfig())
		if err != nil {
			return
		}
		if _, err = s.AcceptStream(); err == nil {
			close(opened)
		}
	}()
	m := newTestMesh(t, "m")
	m.SetHandlers(turn.New(turn.Config{ShardCount: 4, Log: turntest.NewLog(), Replicator: turntest.NewReplicator(), Logger: zap.NewNop(), IsHome: func(int) bool { return false }}), nil)
	m.peers.applyGossip(&meshpb.Gossip{Name: "home", Domain: "b", Incarnation: 1, Sequence: 1, Weight: 1}, listener.Addr().String(), time.Now().Add(hangTimeout), time.Now())
	require.True(t, m.replicas.add("lost", 0, [][]byte{make([]byte, 1<<20)}, time.Now()))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(ended)
	}()
	select {
	case <-opened:
	case <-time.After(hangTimeout):
		t.Fatal("the records of the lost front were not sent")
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(hangTimeout):
		t.Fatal("Run does not end")
	}
}
