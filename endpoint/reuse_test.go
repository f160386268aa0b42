package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// plainLoad plays fronts that send short requests to the endpoints of a plain service and counts
// what a connection pool would dial.
type plainLoad struct {
	mu sync.Mutex
	// running is the number of requests at each endpoint.
	running map[string]int
	// requests and dialed count all requests and those that found no idle connection, crowded
	// those that found no free slot.
	requests, dialed, crowded int
}

// runFront sends requests through one front for a while, perSecond of them on average, three of ten
// of which must not be lost with an idle connection.
func (l *plainLoad) runFront(d *endpoint.Directory, rng *rand.Rand, perSecond float64, slots int) {
	idleSince := map[string][]time.Time{}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); {
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
		once := rng.IntN(10) < 3
		t, result := d.Pick(endpoint.Query{Service: "shop", Kind: "look", Once: once, MaxQueued: 3, IgnoreDomain: true}, time.Now())
		if result != endpoint.Picked {
			continue
		}
		window := 5 * time.Second
		if once {
			window = time.Second
		}
		l.mu.Lock()
		l.requests++
		if idle := idleSince[t.ID()]; len(idle) > 0 && time.Since(idle[len(idle)-1]) < window {
			idleSince[t.ID()] = idle[:len(idle)-1]
		} else {
			l.dialed++
		}
		if l.running[t.ID()] >= slots {
			l.crowded++
		}
		l.running[t.ID()]++
		l.mu.Unlock()
		time.AfterFunc(time.Duration(10+rng.IntN(40))*time.Millisecond, func() {
			d.Release(t)
			d.RecordSuccess(t, time.Now())
			l.mu.Lock()
			defer l.mu.Unlock()
			l.running[t.ID()]--
			idleSince[t.ID()] = append(idleSince[t.ID()], time.Now())
		})
	}
}

// TestManyFrontsReuseConnections checks that fronts of a large fleet, each of which sends few requests
// to each endpoint, mostly find a connection that is still open, and that no endpoint is crowded for
// it (omuti-large quiet-1 and trouble-2: 84 fronts, 7 requests a second each to 16 endpoints, a quarter
// of all requests over new connections).
func TestManyFrontsReuseConnections(t *testing.T) {
	const fronts, endpoints, slots = 40, 16, 6
	synctest.Test(t, func(t *testing.T) {
		load := &plainLoad{running: map[string]int{}}
		var directories []*endpoint.Directory
		for range fronts {
			d := endpoint.NewDirectory()
			for i := range endpoints {
				d.Put(endpoint.Registration{ID: fmt.Sprint(i), Service: "shop", Slots: slots}, time.Now())
			}
			directories = append(directories, d)
		}
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				for i, from := range directories {
					loads := from.Loads()
					for j, to := range directories {
						if i != j {
							to.UpdatePeerLoads(fmt.Sprint(i), loads, time.Now())
						}
					}
				}
			}
		}()
		var wg sync.WaitGroup
		for i, d := range directories {
			wg.Go(func() { load.runFront(d, rand.New(rand.NewPCG(uint64(i), 5)), 7, slots) })
		}
		wg.Wait()
		time.Sleep(time.Second)
		close(stop)
		t.Logf("%d requests, %d dialed, %d crowded", load.requests, load.dialed, load.crowded)
		require.Less(t, load.dialed, load.requests/10)
		require.Less(t, load.crowded, load.requests/100)
	})
}
