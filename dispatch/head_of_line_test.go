package dispatch_test

import (
	"context"
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
