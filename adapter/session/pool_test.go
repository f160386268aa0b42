package session_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/session"
)

// dialTime is how long a dial of an address takes that does not answer.
const dialTime = 100 * time.Millisecond

// newSilentPool returns a pool whose dials fail after dialTime.
func newSilentPool() *session.Pool {
	return session.NewPool(session.PoolConfig{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		select {
		case <-ctx.Done():
		case <-time.After(dialTime):
		}
		return nil, errors.New("no answer")
	}})
}

// TestOpensOfASilentAddressShareOneDial guards against requests to a lost front that wait
// in line, each for a dial of its own, and so for longer than any of them would alone.
func TestOpensOfASilentAddressShareOneDial(t *testing.T) {
	const requests = 10
	pool := newSilentPool()
	defer pool.Close()
	started := time.Now()
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			_, err := pool.Open(t.Context(), "192.0.2.1:1")
			assert.Error(t, err)
		})
	}
	wg.Wait()
	assert.Less(t, time.Since(started), 3*dialTime, "%d requests at the same time", requests)
}

// TestOpenEndsWithItsContext guards against a request that waits for the dials of others
// after its own deadline.
func TestOpenEndsWithItsContext(t *testing.T) {
	const requests = 10
	pool := newSilentPool()
	defer pool.Close()
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { _, _ = pool.Open(t.Context(), "192.0.2.1:1") })
	}
	time.Sleep(dialTime / 2)
	ctx, cancel := context.WithTimeout(t.Context(), dialTime/2)
	defer cancel()
	started := time.Now()
	_, err := pool.Open(ctx, "192.0.2.1:1")
	assert.Error(t, err)
	assert.Less(t, time.Since(started), 2*dialTime, "the context ended after %v", dialTime/2)
	wg.Wait()
}

// TestPingOfASilentAddressDoesNotWaitForDials guards against a lost front that keeps getting
// requests, because the ping that would suspend it waits in line behind them.
func TestPingOfASilentAddressDoesNotWaitForDials(t *testing.T) {
	const requests = 10
	pool := newSilentPool()
	defer pool.Close()
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { _, _ = pool.Open(t.Context(), "192.0.2.1:1") })
	}
	time.Sleep(dialTime / 2)
	started := time.Now()
	assert.False(t, pool.PingOrClose("192.0.2.1:1", dialTime))
	assert.Less(t, time.Since(started), 3*dialTime)
	wg.Wait()
}

// countedConn is a connection that counts itself as open until it is closed.
type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// fakeNetwork connects a pool to sessions that close every stream.
type fakeNetwork struct {
	// open is the number of the pool's connections that are not closed.
	open atomic.Int64
	// dials is the number of connections so far.
	dials atomic.Int64
}

func (n *fakeNetwork) dial(context.Context, string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	n.dials.Add(1)
	n.open.Add(1)
	go func() {
		s, err := yamux.Server(serverConn, session.YamuxConfig())
		if err != nil {
			return
		}
		for {
			stream, err := s.AcceptStream()
			if err != nil {
				return
			}
			_ = stream.Close()
		}
	}()
	return &countedConn{Conn: clientConn, open: &n.open}, nil
}

// TestNoSessionOutlivesItsPool checks that the sessions that are opened while others are
// closed stay in the pool, which closes them.
func TestNoSessionOutlivesItsPool(t *testing.T) {
	const openers, opensEach = 8, 500
	n := &fakeNetwork{}
	p := session.NewPool(session.PoolConfig{Dial: n.dial})
	var opens, closes sync.WaitGroup
	for range openers {
		opens.Go(func() {
			for range opensEach {
				if stream, err := p.Open(context.Background(), "model-1"); err == nil {
					_ = stream.Close()
				}
			}
		})
	}
	done := make(chan struct{})
	closes.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				p.CloseSession("model-1")
			}
		}
	})
	opens.Wait()
	close(done)
	closes.Wait()
	p.Close()
	require.Zero(t, n.open.Load(), "connections left open of %d", n.dials.Load())
	_, err := p.Open(context.Background(), "model-1")
	require.Error(t, err)
}
