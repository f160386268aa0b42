package dispatch_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
)

// TestRequestThatExcludesTheFreeEndpointHoldsUpNoOther guards against a service that stands
// still with free endpoints: the first request in line has failed at all of them and waits
// for a busy one.
func TestRequestThatExcludesTheFreeEndpointHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(1)
		q := dispatch.New(d)
		free, err := q.Acquire(t.Context(), dispatch.Priority{}, query)
		require.NoError(t, err)
		d.Put(endpoint.Registration{ID: "busy", Service: "s", Address: "127.0.0.1:2", Slots: 1}, time.Now())
		busy, err := q.Acquire(t.Context(), dispatch.Priority{}, query)
		require.NoError(t, err)
		now := time.Now()
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			failedBefore := endpoint.Query{Service: "s", ExcludedIDs: map[string]bool{free.ID(): true}}
			_, _ = q.Acquire(ctx, dispatch.Priority{DueAt: now}, failedBefore)
		}()
		synctest.Wait()
		d.Release(free)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = q.Acquire(ctx, dispatch.Priority{DueAt: now.Add(time.Second)}, query)
		assert.NoError(t, err, "an endpoint is free")
		d.Release(busy)
		time.Sleep(time.Second)
	})
}

// countingDirectory counts the calls of Pick.
type countingDirectory struct {
	*endpoint.Directory
	picks atomic.Int64
}

func (d *countingDirectory) Pick(q endpoint.Query, now time.Time) (endpoint.Target, endpoint.PickResult) {
	d.picks.Add(1)
	return d.Directory.Pick(q, now)
}

// crowd is a queue before two endpoints of one slot each, both taken.
type crowd struct {
	directory    *countingDirectory
	queue        *dispatch.Queue
	free, busy   endpoint.Target
	startedAt    time.Time
	servedInTurn chan string
}

func newCrowd(t *testing.T) *crowd {
	d := &countingDirectory{Directory: newDirectory(1)}
	c := &crowd{directory: d, queue: dispatch.New(d), startedAt: time.Now(), servedInTurn: make(chan string, 100)}
	var err error
	c.free, err = c.queue.Acquire(t.Context(), dispatch.Priority{}, query)
	require.NoError(t, err)
	d.Put(endpoint.Registration{ID: "busy", Service: "s", Address: "127.0.0.1:2", Slots: 1}, time.Now())
	c.busy, err = c.queue.Acquire(t.Context(), dispatch.Priority{}, query)
	require.NoError(t, err)
	return c
}

// wait adds a request that is due at an offset and excludes endpoints. When it is served,
// its name is sent and the endpoint kept until ctx ends.
func (c *crowd) wait(ctx context.Context, name string, dueIn time.Duration, excludedIDs ...string) {
	q := endpoint.Query{Service: "s", ExcludedIDs: map[string]bool{}}
	for _, id := range excludedIDs {
		q.ExcludedIDs[id] = true
	}
	go func() {
		target, err := c.queue.Acquire(ctx, dispatch.Priority{DueAt: c.startedAt.Add(dueIn)}, q)
		if err != nil {
			return
		}
		c.servedInTurn <- name
		<-ctx.Done()
		c.directory.Release(target)
	}()
	synctest.Wait()
}

// served returns the name of the next request that has been served, or "" if none has.
func (c *crowd) served() string {
	synctest.Wait()
	select {
	case name := <-c.servedInTurn:
		return name
	default:
		return ""
	}
}

// TestUrgentRequestGetsTheEndpointThatItCanUse checks that only requests that can't use the
// free endpoint are passed over, and keep their place.
func TestUrgentRequestGetsTheEndpointThatItCanUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t)
		ctx, cancel := context.WithCancel(t.Context())
		c.wait(ctx, "late", 4*time.Second)
		c.wait(ctx, "excludes the first, late", 3*time.Second, c.free.ID())
		c.wait(ctx, "excludes the first", time.Second, c.free.ID())
		c.wait(ctx, "excludes the second", 2*time.Second, c.busy.ID())
		c.directory.Release(c.free)
		require.Equal(t, "excludes the second", c.served())
		c.directory.Release(c.busy)
		require.Equal(t, "excludes the first", c.served())
		require.Equal(t, 2, c.queue.Waiting("s"))
		cancel()
		synctest.Wait()
		require.Zero(t, c.queue.Waiting("s"))
		time.Sleep(time.Second)
	})
}

// TestGrantTriesFewOfALongQueue guards against a grant whose cost grows with the number of
// waiting requests, or of the sets of endpoints that they exclude.
func TestGrantTriesFewOfALongQueue(t *testing.T) {
	const waiting = 200
	for _, tc := range []struct {
		name string
		// excludes returns the endpoints that request i excludes.
		excludes func(c *crowd, i int) []string
		maxPicks int64
		maxDelay time.Duration
	}{
		{"one line", func(c *crowd, _ int) []string { return []string{c.free.ID()} }, 3, 0},
		{"a line for each", func(c *crowd, i int) []string { return []string{c.free.ID(), fmt.Sprint(i)} }, 32, 25 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCrowd(t)
				ctx, cancel := context.WithCancel(t.Context())
				for i := range waiting {
					c.wait(ctx, "excludes the first", time.Second, tc.excludes(c, i)...)
				}
				c.wait(ctx, "late", 2*time.Second)
				require.Equal(t, waiting+1, c.queue.Waiting("s"))
				c.directory.picks.Store(0)
				c.directory.Release(c.free)
				synctest.Wait()
				require.LessOrEqual(t, c.directory.picks.Load(), tc.maxPicks)
				time.Sleep(tc.maxDelay)
				require.Equal(t, "late", c.served())
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestResumedStreamHoldsUpNoOther guards against requests that wait behind a stream whose version
// has no free endpoint.
func TestResumedStreamHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(t)
		c.directory.Put(endpoint.Registration{ID: "other", Service: "s", Version: "v2", Address: "127.0.0.1:3", Slots: 1}, time.Now())
		other, err := c.queue.Acquire(t.Context(), dispatch.Priority{}, query)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		go func() {
			_, _ = c.queue.Acquire(ctx, dispatch.Priority{DueAt: c.startedAt}, endpoint.Query{Service: "s", Version: "v2"})
		}()
		synctest.Wait()
		c.directory.Release(c.free)
		_, err = c.queue.Acquire(ctx, dispatch.Priority{DueAt: c.startedAt.Add(time.Second)}, query)
		require.NoError(t, err, "an endpoint of the other version is free")
		c.directory.Release(other)
		time.Sleep(2 * time.Second)
	})
}
