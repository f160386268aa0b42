package queue_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/queue"
)

func newSemaphore(slots int) *queue.Semaphore {
	return queue.NewSemaphore(queue.NewSlots[chan struct{}](queue.SlotsConfig{Limit: queue.NewLimit(queue.LimitConfig{Initial: slots})}))
}

func TestSemaphoreServesUrgentCallsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		semaphore := newSemaphore(1)
		var mu sync.Mutex
		var order []string
		var pending sync.WaitGroup
		run := func(name string, rank class.Rank) {
			pending.Go(func() {
				release, err := semaphore.Acquire(context.Background(), queue.ItemConfig{Rank: rank, StartedAt: time.Now()})
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(time.Second)
				release()
			})
			synctest.Wait()
		}
		run("first", class.Background)
		run("background", class.Background)
		run("urgent", class.Urgent)
		running, waiting := semaphore.Counts()
		require.Equal(t, 1, running)
		require.Equal(t, 2, waiting)
		pending.Wait()
		require.Equal(t, []string{"first", "urgent", "background"}, order)
	})
}

func TestSemaphoreRemovesCanceledWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		semaphore := newSemaphore(1)
		release, err := semaphore.Acquire(context.Background(), queue.ItemConfig{})
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = semaphore.Acquire(ctx, queue.ItemConfig{})
		require.ErrorIs(t, err, context.DeadlineExceeded)
		release()
		running, waiting := semaphore.Counts()
		require.Zero(t, running+waiting)
	})
}
