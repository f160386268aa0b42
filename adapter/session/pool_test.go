package session_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/session"
)

// dialTime is how long a dial of an address takes that does not answer.
const dialTime = 100 * time.Millisecond

// silentNetwork connects to no address.
type silentNetwork struct {
	// dials is the number of dials so far.
	dials atomic.Int64
}

// newSilentPool returns a pool whose dials fail after dialTime.
func newSilentPool() (*session.Pool, *silentNetwork) {
	n := &silentNetwork{}
	return session.NewPool(session.PoolConfig{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
		n.dials.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(dialTime):
		}
		return nil, errors.New("no answer")
	}}), n
}

// TestOpensOfASilentAddressShareOneDial guards against requests to a lost front that wait
// in line, each for a dial of its own, and so for longer than any of them would alone.
func TestOpensOfASilentAddressShareOneDial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 10
		pool, n := newSilentPool()
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
		assert.Equal(t, dialTime, time.Since(started), "%d requests at the same time", requests)
		assert.EqualValues(t, 1, n.dials.Load(), "dials for %d requests", requests)
	})
}

// TestOpenEndsWithItsContext guards against a request that waits for the dials of others
// after its own deadline.
func TestOpenEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 10
		pool, _ := newSilentPool()
		defer pool.Close()
		var wg sync.WaitGroup
		for range requests {
			wg.Go(func() { _, _ = pool.Open(t.Context(), "192.0.2.1:1") })
		}
		time.Sleep(dialTime / 2)
		ctx, cancel := context.WithTimeout(t.Context(), dialTime/4)
		defer cancel()
		started := time.Now()
		_, err := pool.Open(ctx, "192.0.2.1:1")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Equal(t, dialTime/4, time.Since(started), "the context ended after %v", dialTime/4)
		wg.Wait()
	})
}

// TestOpenAndPingEndWhileADialGoesOn checks that a request and a ping do not wait beyond
// their own time for a dial that does not end with its context either.
func TestOpenAndPingEndWhileADialGoesOn(t *testing.T) {
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

// TestPingOfASilentAddressDoesNotWaitForDials guards against a lost front that keeps getting
// requests, because the ping that would suspend it waits in line behind them.
func TestPingOfASilentAddressDoesNotWaitForDials(t *testing.T) {
	for _, tc := range []struct {
		name     string
		timeout  time.Duration
		duration time.Duration
	}{
		{"until the dial fails", dialTime, dialTime / 2},
		{"until the timeout", dialTime / 4, dialTime / 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const requests = 10
				pool, _ := newSilentPool()
				defer pool.Close()
				var wg sync.WaitGroup
				for range requests {
					wg.Go(func() { _, _ = pool.Open(t.Context(), "192.0.2.1:1") })
				}
				time.Sleep(dialTime / 2)
				started := time.Now()
				assert.False(t, pool.PingOrClose("192.0.2.1:1", tc.timeout))
				assert.Equal(t, tc.duration, time.Since(started))
				wg.Wait()
			})
		})
	}
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

// TestDialOutlastsTheRequestThatBeganIt guards against a dial that is bound to the context
// of one of the requests that wait for it.
func TestDialOutlastsTheRequestThatBeganIt(t *testing.T) {
	n := &fakeNetwork{}
	dialing, goOn := make(chan struct{}, 2), make(chan struct{})
	p := session.NewPool(session.PoolConfig{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		dialing <- struct{}{}
		select {
		case <-goOn:
			return n.dial(ctx, address)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}})
	defer p.Close()
	ctx, cancel := context.WithCancel(t.Context())
	first, second := make(chan error, 1), make(chan error, 1)
	go func() {
		_, err := p.Open(ctx, "model-1")
		first <- err
	}()
	<-dialing
	go func() {
		_, err := p.Open(t.Context(), "model-1")
		second <- err
	}()
	cancel()
	require.ErrorIs(t, <-first, context.Canceled)
	close(goOn)
	require.NoError(t, <-second)
	require.Empty(t, dialing, "dials beyond the first")
}

// TestSessionDialedForAClosedPoolIsClosed guards against a session that nothing closes,
// since its pool was closed or the address was dropped during the dial.
func TestSessionDialedForAClosedPoolIsClosed(t *testing.T) {
	for _, tc := range []struct {
		name string
		drop func(*session.Pool)
	}{
		{"pool closed", func(p *session.Pool) { p.Close() }},
		{"session closed", func(p *session.Pool) { p.CloseSession("model-1") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := &fakeNetwork{}
			dialing := make(chan struct{})
			p := session.NewPool(session.PoolConfig{Dial: func(ctx context.Context, address string) (net.Conn, error) {
				close(dialing)
				<-ctx.Done()
				return n.dial(ctx, address)
			}})
			opened := make(chan error, 1)
			go func() {
				_, err := p.Open(t.Context(), "model-1")
				opened <- err
			}()
			<-dialing
			tc.drop(p)
			require.Error(t, <-opened)
			require.Zero(t, p.SessionCount())
			p.Close()
			require.EqualValues(t, 1, n.dials.Load())
			require.Zero(t, n.open.Load(), "connections left open")
		})
	}
}

// TestOpenOfAStreamThatIsNotAcceptedEndsWithItsContext guards against requests and pings
// that wait in line behind the opening of a stream. It hangs when they do.
func TestOpenOfAStreamThatIsNotAcceptedEndsWithItsContext(t *testing.T) {
	p := session.NewPool(session.PoolConfig{Dial: func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		_, err := yamux.Server(serverConn, session.YamuxConfig())
		return clientConn, err
	}})
	defer p.Close()
	for range session.YamuxConfig().AcceptBacklog {
		_, err := p.Open(t.Context(), "model-1")
		require.NoError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for range 100 {
		wg.Go(func() {
			_, err := p.Open(ctx, "model-1")
			assert.ErrorIs(t, err, context.Canceled)
		})
	}
	time.AfterFunc(10*time.Millisecond, cancel)
	wg.Wait()
	require.True(t, p.PingOrClose("model-1", time.Minute))
	require.Equal(t, 1, p.SessionCount())
}
