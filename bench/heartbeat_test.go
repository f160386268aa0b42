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

// heartbeatCost is the total cost of a number of heartbeats.
type heartbeatCost struct {
	// cpuMicroseconds is the processor time of both ends.
	cpuMicroseconds float64
	// bytes counts the payload bytes of the TCP connection in both directions.
	bytes float64
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	byteCount *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.byteCount.Add(int64(n))
	return n, err
}

// busyEndpoint answers heartbeats with large values in every field, which encode
// to the size that a busy endpoint sends.
type busyEndpoint struct{}

// Beat returns the load of a busy endpoint.
func (busyEndpoint) Beat(string, membership.Heartbeat) membership.HeartbeatReply {
	load := placement.LoadConfig{Incarnation: 1 << 60, Programs: 1900, Running: 60, Limit: 64, PrefillRate: 41234.5, DecodeRate: 51.3}
	for r := range class.Ranks {
		load.Waiting[r], load.WaitingTokens[r], load.RemainingService[r] = 12, 41000, 9_000_000_000
	}
	return membership.NewHeartbeatReply(membership.HeartbeatReplyConfig{ConfigVersion: 40000, InstancesVersion: 3000, Load: placement.NewLoad(load)})
}

// sendHeartbeats sends n heartbeats over one session and returns their cost.
func sendHeartbeats(tb testing.TB, n int) heartbeatCost {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := startHeartbeatServer(tb, ctx)
	var byteCount atomic.Int64
	pool := peer.NewPool(peer.PoolConfig{InstanceName: "entry-123", Dial: func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		return countingConn{Conn: conn, byteCount: &byteCount}, err
	}})
	defer pool.Close()
	homes := peer.NewHomeClient(pool, staticDirectory{"model-1": address})
	beat := membership.NewHeartbeat(membership.HeartbeatConfig{ConfigVersion: 40000, InstancesVersion: 3000})
	cpuBefore := cpuTime()
	for range n {
		_, err := homes.Beat(ctx, "model-1", beat)
		require.NoError(tb, err)
	}
	return heartbeatCost{cpuMicroseconds: float64((cpuTime() - cpuBefore).Microseconds()), bytes: float64(byteCount.Load())}
}

// startHeartbeatServer starts a server that answers heartbeats until ctx is
// canceled, and returns its address.
func startHeartbeatServer(tb testing.TB, ctx context.Context) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	go func() { _ = peer.NewServer(peer.ServerConfig{HeartbeatHandler: busyEndpoint{}}).Serve(ctx, listener) }()
	return listener.Addr().String()
}
