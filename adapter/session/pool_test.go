package session_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/session"
)

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

// TestOpenEndsWithItsContext checks that a request does not wait beyond its context while
// another one sets up the connection.
func TestOpenEndsWithItsContext(t *testing.T) {
	dialing, release := make(chan struct{}, 1), make(chan struct{})
	p := session.NewPool(session.PoolConfig{Dial: func(context.Context, string) (net.Conn, error) {
		dialing <- struct{}{}
		<-release
		return nil, net.ErrClosed
	}})
	defer p.Close()
	first := make(chan error, 1)
	go func() {
		_, err := p.Open(context.Background(), "model-1")
		first <- err
	}()
	<-dialing
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	_, err := p.Open(ctx, "model-1")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.False(t, p.PingOrClose("model-1", time.Millisecond))
	close(release)
	require.ErrorIs(t, <-first, net.ErrClosed)
}
