package dispatch_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
)

// TestHerdAfterAnOutageLeavesRoomForTimelyPrograms plays the load after an outage: the turns of late
// programs, which waited for its end, come at once, beside programs that begin at four fifths of the
// capacity and must have two turns within a second (omuti-large trouble-2, 16 to 18 s: 41 of
// 150 programs that began after the outage were late).
func TestHerdAfterAnOutageLeavesRoomForTimelyPrograms(t *testing.T) {
	const slots, turnTime, herd, programs = 20, 200 * time.Millisecond, 400, 200
	synctest.Test(t, func(t *testing.T) {
		d := endpoint.NewDirectory()
		d.Put(endpoint.Registration{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: slots}, time.Now())
		q := dispatch.New(d)
		runTurn := func(dueAt time.Time, limit time.Duration) bool {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			defer cancel()
			target, err := q.Acquire(ctx, dispatch.Priority{Late: !dueAt.After(time.Now()), DueAt: dueAt}, query)
			if err != nil {
				return false
			}
			time.Sleep(turnTime)
			d.Release(target)
			return true
		}
		var mu sync.Mutex
		late, timely := 0, 0
		var wg sync.WaitGroup
		for range herd {
			wg.Go(func() {
				if runTurn(time.Now().Add(-time.Second), 10*time.Second) {
					mu.Lock()
					defer mu.Unlock()
					late++
				}
			})
		}
		rng := rand.New(rand.NewPCG(4, 4))
		for range programs {
			// 20 slots do 100 turns a second.
			time.Sleep(time.Duration(rng.ExpFloat64() / 40 * float64(time.Second)))
			wg.Go(func() {
				due := time.Now().Add(time.Second)
				for range 2 {
					if !runTurn(due, 3*time.Second) {
						return
					}
				}
				if !time.Now().After(due) {
					mu.Lock()
					defer mu.Unlock()
					timely++
				}
			})
		}
		wg.Wait()
		t.Logf("%d of %d programs in time, %d of %d late turns served", timely, programs, late, herd)
		require.GreaterOrEqual(t, timely, programs*95/100)
		require.Equal(t, herd, late)
	})
}
