package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/turn"
	"github.com/lavendervale/lavendervale/turn/turntest"
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
	m.peers.applyGossip(&meshpb.Gossip{Name: front.config.Name, Domain: front.config.Domain, Incarnation: 1, Sequence: 1, Weight: 1}, front.Address(), time.Now(), time.Now())
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

// TestHomeStopsSearchingForACallerThatHasLeft guards against searches of all fronts for
// turns whose callers have long been gone.
func TestHomeStopsSearchingForACallerThatHasLeft(t *testing.T) {
	m, home := newTestMesh(t, "m"), newTestMesh(t, "home")
	to := connectTo(m, home)
	searching, searchEnded := make(chan struct{}), make(chan error, 1)
	home.SetHandlers(turn.New(turn.Config{
		WriterID: 1, ShardCount: 4, Log: turntest.NewLog(), Replicator: turntest.NewReplicator(), Logger: zap.NewNop(),
		LogTimeout: turn.DefaultLogTimeout, ReadTimeout: turn.DefaultReadTimeout, IsHome: func(int) bool { return true },
		FindElsewhere: func(ctx context.Context, _ string, _ int) ([]byte, bool, error) {
			close(searching)
			<-ctx.Done()
			searchEnded <- ctx.Err()
			return nil, false, ctx.Err()
		},
	}), nil)
	go home.serve(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		_, _ = m.beginRemote(ctx, to, turn.BeginRequest{Program: "p", Attempt: "a", Previous: "elsewhere"})
	}()
	<-searching
	cancel()
	require.ErrorIs(t, <-searchEnded, context.Canceled, "the search ends with its caller, not at its own timeout")
}

// TestFrontThatRespondsToPingsIsNotUnreachable guards against moving the home of a shard away
// from a front that is alive but slow.
func TestFrontThatRespondsToPingsIsNotUnreachable(t *testing.T) {
	silent := Errorf("request to front", KindUnreachable, "no reply")
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{name: "no reply", err: silent, want: true},
		{name: "no reply, but responds to pings", err: turn.Errorf("request to front", turn.KindUnavailable, "the front responds to pings: %w", silent)},
		{name: "failure that the front reported", err: turn.Errorf("front", turn.KindBudget, "budget spent")},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, isUnreachable(test.err))
		})
	}
}

// TestRequestForAnUnknownShardIsRefused guards against shards that don't exist but are read
// from the log and kept in memory.
func TestRequestForAnUnknownShardIsRefused(t *testing.T) {
	m, home := newTestMesh(t, "m"), newTestMesh(t, "home")
	to := connectTo(m, home)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go home.serve(ctx)
	tests := []struct {
		name    string
		request *meshpb.Request
	}{
		{name: "find", request: &meshpb.Request{Body: &meshpb.Request_Find{Find: &meshpb.Find{Turn: "t", Shards: []uint32{1, 4}}}}},
		{name: "fetch", request: &meshpb.Request{Body: &meshpb.Request_Fetch{Fetch: &meshpb.Fetch{Shard: 4}}}},
		{name: "copies", request: &meshpb.Request{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: 20_000}}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := m.roundTrip(ctx, to, test.request, handleTimeout)
			require.ErrorContains(t, err, "does not exist")
		})
	}
}
