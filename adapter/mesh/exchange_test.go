package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

func newTestMesh(t *testing.T, name string) *Mesh {
	t.Helper()
	m, err := New(Config{
		Name: name, Domain: name, Incarnation: 1, Weight: 1, Address: "127.0.0.1:0", Shards: 4, Directory: endpoint.NewDirectory(),
		StoreUnreachableFor: func() time.Duration { return 0 }, Logger: zap.NewNop(),
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = m.listener.Close()
		_ = m.datagrams.Close()
		m.sessions.Close()
	})
	return m
}

// connectTo makes m take the front for alive.
func connectTo(m, front *Mesh) target {
	m.peers.applyGossip(&meshpb.Gossip{Name: front.config.Name, Domain: front.config.Domain, Incarnation: 1, Sequence: 1, Weight: 1}, front.Address(), time.Now())
	return target{name: front.config.Name, address: front.Address()}
}

// TestRequestWithoutTimeLeftDoesNotSuspendItsFront guards against homes that move because
// the request to them, not the front, ran out of time.
func TestRequestWithoutTimeLeftDoesNotSuspendItsFront(t *testing.T) {
	m, home := newTestMesh(t, "m"), newTestMesh(t, "home")
	to := connectTo(m, home)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := m.openExchange(ctx, to, &meshpb.Request{})
	require.Error(t, err)
	require.Equal(t, 1, m.AliveCount())
}
