package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// TestPeerLoadsAddUp compares the free slots of endpoints that come and go with sums of all load
// reports that have not expired, while instances report, fall silent and report again.
func TestPeerLoadsAddUp(t *testing.T) {
	const slots, instances, endpoints = 1000, 8, 12
	type report struct {
		at    time.Time
		loads []endpoint.Load
	}
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d, now := endpoint.NewDirectory(), noon
		started := make([]int64, endpoints)
		reports := map[int]report{}
		for range 400 {
			now = now.Add(time.Duration(rng.IntN(400)) * time.Millisecond)
			switch id := rng.IntN(endpoints); rng.IntN(4) {
			case 0:
				started[id]++
				d.Put(endpoint.Registration{ID: fmt.Sprint("e-", id), StartedUnixMS: started[id], Service: fmt.Sprint("s-", id), Address: "127.0.0.1:1", Slots: slots}, now)
			default:
				var loads []endpoint.Load
				for range rng.IntN(6) {
					loads = append(loads, endpoint.Load{Endpoint: endpoint.Key(fmt.Sprint("e-", rng.IntN(endpoints))), Running: rng.IntN(5)})
				}
				peer := rng.IntN(instances)
				reports[peer] = report{at: now, loads: loads}
				d.UpdatePeerLoads(fmt.Sprint("front-", peer), loads, now)
			}
			for id := range endpoints {
				if started[id] == 0 {
					continue
				}
				want := slots
				for _, r := range reports {
					for _, l := range r.loads {
						if now.Sub(r.at) <= 1500*time.Millisecond && l.Endpoint == endpoint.Key(fmt.Sprint("e-", id)) {
							want -= l.Running
						}
					}
				}
				free := d.Capacity(fmt.Sprint("s-", id), now).Free
				require.Equal(t, want, free, "seed %d, endpoint %d", seed, id)
			}
		}
	}
}
