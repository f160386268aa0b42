package bench

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/peer"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
)

// beatCost is what some heartbeats cost.
type beatCost struct {
	// cpu is the processor time of both ends, in microseconds.
	cpu float64
	// bytes counts what the connection carried both ways, without TCP's own.
	bytes float64
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read counts what it reads.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// busy reports a load as a busy endpoint does.
type busy struct{}

// Beat answers with a full load.
func (busy) Beat(string, membership.Heartbeat) membership.HeartbeatReply {
	c := placement.LoadConfig{Incarnation: 1 << 60, Programs: 1900, Running: 60, Limit: 64, PrefillRate: 41234.5, DecodeRate: 51.3}
	for r := range class.Ranks {
		c.Waiting[r], c.WaitingTokens[r], c.RemainingService[r] = 12, 41000, 9_000_000_000
	}
	return membership.NewHeartbeatReply(membership.HeartbeatReplyConfig{ConfigVersion: 40000, InstancesVersion: 3000, Load: placement.NewLoad(c)})
}

// beats sends n heartbeats over one session.
func beats(tb testing.TB, n int) beatCost {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := beatServer(tb, ctx)
	var count atomic.Int64
	pool := peer.NewPool(peer.PoolConfig{InstanceName: "entry-123", Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{Conn: conn, n: &count}, err
	}})
	defer pool.Close()
	homes := peer.NewHomeClient(pool, directory{"model-1": address})
	beat := membership.NewHeartbeat(membership.HeartbeatConfig{ConfigVersion: 40000, InstancesVersion: 3000})
	begun := cpuTime()
	for range n {
		_, err := homes.Beat(ctx, "model-1", beat)
		require.NoError(tb, err)
	}
	return beatCost{cpu: float64((cpuTime() - begun).Microseconds()), bytes: float64(count.Load())}
}

// beatServer answers heartbeats until ctx ends, and returns its address.
func beatServer(tb testing.TB, ctx context.Context) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	go func() { _ = peer.NewServer(peer.ServerConfig{HeartbeatHandler: busy{}}).Serve(ctx, l) }()
	return l.Addr().String()
}
