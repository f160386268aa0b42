package session_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

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
