package endpoint_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// TestCapacityFollowsEachChangeOfLoad guards against a known sum that drifts from the load of the
// endpoints, so that programs are refused at engines with room: between two sums, requests begin and end
// and reports of other instances come, all within one millisecond.
func TestCapacityFollowsEachChangeOfLoad(t *testing.T) {
	const endpoints, slots = 5, 2
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		d := newDirectory(endpoints)
		var targets []endpoint.Target
		peers := map[string][]endpoint.Load{}
		for step := range 300 {
			now := noon.Add(time.Duration(step) * time.Microsecond)
			switch rng.IntN(3) {
			case 0:
				q := query()
				q.MaxQueued = 3
				if target, result := d.Pick(q, now); result == endpoint.Picked {
					targets = append(targets, target)
				}
			case 1:
				if len(targets) > 0 {
					i := rng.IntN(len(targets))
					d.Release(targets[i])
					targets = append(targets[:i], targets[i+1:]...)
				}
			case 2:
				peer := fmt.Sprint("front-", rng.IntN(3))
				peers[peer] = []endpoint.Load{{Endpoint: endpoint.Key(fmt.Sprint("e-", rng.IntN(endpoints))), Running: rng.IntN(4)}}
				d.UpdatePeerLoads(peer, peers[peer], now)
			}
			running := map[uint64]int{}
			for _, target := range targets {
				running[endpoint.Key(target.ID())]++
			}
			for _, loads := range peers {
				for _, l := range loads {
					running[l.Endpoint] += l.Running
				}
			}
			sum, free := 0, endpoints*slots
			for _, n := range running {
				sum += n
				free -= min(n, slots)
			}
			got := d.Capacity("s", now)
			require.Equal(t, sum, got.Running, "seed %d, step %d", seed, step)
			require.Equal(t, free, got.Free, "seed %d, step %d", seed, step)
			require.Equal(t, endpoints*slots, got.Slots)
			require.Equal(t, len(peers), got.Reports)
		}
	}
}

// TestCapacityOfEndpointsThatLeave guards against a known sum that keeps the slots of endpoints that take
// nothing any more, or those of an incarnation that was replaced.
func TestCapacityOfEndpointsThatLeave(t *testing.T) {
	d := newDirectory(2)
	require.Equal(t, 4, d.Capacity("s", noon).Slots)
	d.Put(endpoint.Registration{ID: "e-0", StartedUnixMS: 2, Service: "s", Address: "127.0.0.1:2", Slots: 5}, noon)
	require.Equal(t, 7, d.Capacity("s", noon).Slots)
	d.Remove("e-1", noon)
	d.StoreAvailable(noon)
	later := noon.Add(5 * time.Millisecond)
	require.Equal(t, 5, d.Capacity("s", later).Slots)
	require.Zero(t, d.Capacity("other", later).Load())
}

// TestAgeOfLoadReports guards against a decision that is logged with the age of another report than the
// oldest.
func TestAgeOfLoadReports(t *testing.T) {
	d := newDirectory(2)
	require.Zero(t, d.Capacity("s", noon).ReportAge)
	d.UpdatePeerLoads("front-2", nil, noon)
	d.UpdatePeerLoads("front-3", nil, noon.Add(300*time.Millisecond))
	later := noon.Add(time.Second)
	require.Equal(t, time.Second, d.Capacity("s", later).ReportAge)
	d.UpdatePeerLoads("front-2", nil, later)
	require.Equal(t, 710*time.Millisecond, d.Capacity("s", later.Add(10*time.Millisecond)).ReportAge)
	expired := d.Capacity("s", noon.Add(time.Minute))
	require.Zero(t, expired.Reports)
	require.Zero(t, expired.ReportAge)
}

// BenchmarkCapacity measures the load of a service, known and summed up anew.
func BenchmarkCapacity(b *testing.B) {
	for _, endpoints := range []int{44, 1000} {
		for _, step := range []time.Duration{0, 10 * time.Millisecond} {
			b.Run(fmt.Sprintf("%d endpoints, every %v", endpoints, step), func(b *testing.B) {
				d := newDirectory(endpoints)
				now := noon
				for b.Loop() {
					now = now.Add(step)
					d.Capacity("s", now)
				}
			})
		}
	}
}

// BenchmarkPickAboveMaxLoad measures a try to place a request while the load is above its limit.
func BenchmarkPickAboveMaxLoad(b *testing.B) {
	for _, endpoints := range []int{44, 1000} {
		b.Run(fmt.Sprintf("%d endpoints", endpoints), func(b *testing.B) {
			d := newDirectory(endpoints)
			loads := make([]endpoint.Load, endpoints)
			for i := range loads {
				loads[i] = endpoint.Load{Endpoint: endpoint.Key(fmt.Sprint("e-", i)), Running: 2}
			}
			d.UpdatePeerLoads("front-2", loads, noon)
			q := query()
			q.MaxLoad = 0.9
			for b.Loop() {
				if _, result := d.Pick(q, noon); result != endpoint.AllBusy {
					b.Fatal("picked")
				}
			}
		})
	}
}
