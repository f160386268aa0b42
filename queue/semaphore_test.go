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

// endedContext is a context that has ended; onDone runs when its channel is first asked for.
type endedContext struct {
	context.Context
	onDone func()
}

func newEndedContext(onDone func()) *endedContext {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return &endedContext{Context: ctx, onDone: sync.OnceFunc(onDone)}
}

// Done runs onDone and returns a closed channel.
func (c *endedContext) Done() <-chan struct{} {
	c.onDone()
	return c.Context.Done()
}

// raceAttempts is how often a test repeats a wait whose slot is granted as its context
// ends. Either of the two is seen first by chance.
const raceAttempts = 64

func TestSemaphoreFreesSlotGrantedAsWaitEnds(t *testing.T) {
	for range raceAttempts {
		semaphore := newSemaphore(1)
		release, err := semaphore.Acquire(newEndedContext(func() {}), queue.ItemConfig{})
		if err == nil {
			release()
		}
		running, waiting := semaphore.Counts()
		require.Zero(t, running+waiting)
	}
}

func TestSemaphoreKeepsOtherWaiterWhenSlotIsGrantedAsWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range raceAttempts {
			semaphore := newSemaphore(1)
			releaseHolder, err := semaphore.Acquire(context.Background(), queue.ItemConfig{})
			require.NoError(t, err)
			now := time.Now()
			served := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				release, err := semaphore.Acquire(ctx, queue.ItemConfig{StartedAt: now.Add(time.Second)})
				if err == nil {
					release()
				}
				served <- err
			}()
			synctest.Wait()
			release, err := semaphore.Acquire(newEndedContext(releaseHolder), queue.ItemConfig{StartedAt: now})
			if err == nil {
				release()
			}
			require.NoError(t, <-served, "the other waiter must get the slot")
			running, waiting := semaphore.Counts()
			require.Zero(t, running+waiting)
		}
	})
}

func TestSemaphoreServesNextWaiterWhenFirstGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		semaphore := newSemaphore(2)
		releaseHolder, err := semaphore.Acquire(context.Background(), queue.ItemConfig{})
		require.NoError(t, err)
		now := time.Now()
		exclusive := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := semaphore.Acquire(ctx, queue.ItemConfig{StartedAt: now, Exclusive: true})
			exclusive <- err
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		release, err := semaphore.Acquire(ctx, queue.ItemConfig{StartedAt: now.Add(time.Second)})
		require.ErrorIs(t, <-exclusive, context.DeadlineExceeded)
		require.NoError(t, err, "a slot is free once the call that must run alone has left the queue")
		release()
		releaseHolder()
	})
}
