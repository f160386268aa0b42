package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
)

// newDirectory returns a directory with one endpoint of service "s".
func newDirectory(slots int) *endpoint.Directory {
	d := endpoint.NewDirectory()
	d.Put(endpoint.Registration{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: slots}, time.Now())
	return d
}

var query = endpoint.Query{Service: "s"}

func TestQueueServesByRankThenSlack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(1)
		q := dispatch.New(d)
		occupying, err := q.Acquire(t.Context(), dispatch.Priority{}, query)
		require.NoError(t, err)
		now := time.Now()
		served := make(chan string, 4)
		var pending sync.WaitGroup
		for _, r := range []struct {
			name  string
			rank  int
			dueIn time.Duration
		}{{"late rank", 2, time.Second}, {"more slack", 0, 3 * time.Second}, {"less slack", 0, time.Second}, {"middle", 1, time.Second}} {
			pending.Go(func() {
				target, err := q.Acquire(t.Context(), dispatch.Priority{Rank: r.rank, DueAt: now.Add(r.dueIn)}, query)
				if err == nil {
					served <- r.name
					time.Sleep(10 * time.Millisecond)
					d.Release(target)
				}
			})
			synctest.Wait()
		}
		require.Equal(t, 4, q.Waiting("s"))
		d.Release(occupying)
		pending.Wait()
		close(served)
		var order []string
		for name := range served {
			order = append(order, name)
		}
		require.Equal(t, []string{"less slack", "more slack", "middle", "late rank"}, order)
	})
}

func TestQueueRefusesAtOnceWithoutEndpoints(t *testing.T) {
	q := dispatch.New(endpoint.NewDirectory())
	_, err := q.Acquire(t.Context(), dispatch.Priority{}, query)
	require.Equal(t, dispatch.KindNoEndpoint, dispatch.KindOf(err))
}

func TestQueueGivesUpAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(1)
		q := dispatch.New(d)
		occupying, err := q.Acquire(t.Context(), dispatch.Priority{}, query)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = q.Acquire(ctx, dispatch.Priority{}, query)
		require.Equal(t, dispatch.KindTimeout, dispatch.KindOf(err))
		require.Zero(t, q.Waiting("s"))
		d.Release(occupying)
		time.Sleep(time.Second)
	})
}

func TestQueueReleasesWaitersWhenTheServiceIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(1)
		q := dispatch.New(d)
		_, err := q.Acquire(t.Context(), dispatch.Priority{}, query)
		require.NoError(t, err)
		go func() {
			time.Sleep(100 * time.Millisecond)
			d.Remove("e", time.Now())
		}()
		_, err = q.Acquire(t.Context(), dispatch.Priority{}, query)
		require.Equal(t, dispatch.KindNoEndpoint, dispatch.KindOf(err))
		time.Sleep(time.Second)
	})
}
