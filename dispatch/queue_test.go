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

// TestPriorityOfBeginnings guards against programs that begin before the turns of programs that have
// spent engine time already, and against a begun program of low rank or without a chance to be in time
// that keeps others from beginning.
func TestPriorityOfBeginnings(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name          string
		first, second dispatch.Priority
	}{
		{name: "begun program with more time", first: dispatch.Priority{DueAt: now.Add(time.Hour)}, second: dispatch.Priority{Begins: true, DueAt: now}},
		{name: "rank goes first", first: dispatch.Priority{Begins: true, Rank: 0}, second: dispatch.Priority{Rank: 1}},
		{name: "lateness goes first", first: dispatch.Priority{Begins: true}, second: dispatch.Priority{Late: true}},
		{name: "both begin", first: dispatch.Priority{Begins: true, DueAt: now}, second: dispatch.Priority{Begins: true, DueAt: now.Add(time.Second)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.True(t, test.first.Before(test.second))
			require.False(t, test.second.Before(test.first))
		})
	}
}

// TestQueueKeepsSlotsForBegunPrograms guards against beginnings that take the slots above their load
// limit, or that keep those for begun programs from being used.
func TestQueueKeepsSlotsForBegunPrograms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(4)
		q := dispatch.New(d)
		beginning := endpoint.Query{Service: "s", MaxLoad: 0.7}
		var targets []endpoint.Target
		for range 3 {
			target, err := q.Acquire(t.Context(), dispatch.Priority{Begins: true}, beginning)
			require.NoError(t, err)
			targets = append(targets, target)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := q.Acquire(ctx, dispatch.Priority{Begins: true}, beginning)
		require.Equal(t, dispatch.KindTimeout, dispatch.KindOf(err))
		_, err = q.Acquire(t.Context(), dispatch.Priority{}, query)
		require.NoError(t, err, "a begun program")
		admitted := make(chan error)
		go func() {
			_, err := q.Acquire(t.Context(), dispatch.Priority{Begins: true}, beginning)
			admitted <- err
		}()
		time.Sleep(10 * time.Millisecond)
		d.Release(targets[0])
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 1, q.Waiting("s"), "the load is still above the limit")
		released := time.Now()
		d.Release(targets[1])
		require.NoError(t, <-admitted)
		require.Zero(t, time.Since(released), "a free slot must not wait for the next try")
		time.Sleep(time.Second)
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
