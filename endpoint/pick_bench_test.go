package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

// BenchmarkPick measures a pick and its release among endpoints without other requests.
func BenchmarkPick(b *testing.B) {
	for _, count := range []int{44, 1000} {
		b.Run(fmt.Sprintf("%d endpoints", count), func(b *testing.B) {
			d := newDirectory(count)
			benchmarkPicks(b, d, noon)
		})
	}
}

// benchmarkPicks measures picks from a directory of service "s".
func benchmarkPicks(b *testing.B, d *endpoint.Directory, now time.Time) {
	b.ReportAllocs()
	for b.Loop() {
		target, result := d.Pick(query(), now)
		if result != endpoint.Picked {
			b.Fatal("no endpoint was picked")
		}
		d.Release(target)
	}
}

// BenchmarkPickAmongSpeeds measures the same where the speeds of the endpoints count.
func BenchmarkPickAmongSpeeds(b *testing.B) {
	for _, count := range []int{44, 1000} {
		b.Run(fmt.Sprintf("%d endpoints", count), func(b *testing.B) {
			d, now := newMixedDirectory(count, 8)
			if d.SpeedSpread() < 1.2 {
				b.Fatal("speeds do not count")
			}
			benchmarkPicks(b, d, now)
		})
	}
}

// BenchmarkRefreshSpeeds measures one computation of the speeds with reports of many instances.
func BenchmarkRefreshSpeeds(b *testing.B) {
	for _, size := range []struct{ endpoints, instances int }{{44, 37}, {1000, 300}} {
		b.Run(fmt.Sprintf("%d endpoints, %d instances", size.endpoints, size.instances), func(b *testing.B) {
			b.ReportAllocs()
			var d *endpoint.Directory
			var now time.Time
			for i := 0; b.Loop(); i++ {
				// Observations and reports expire.
				if i%40 == 0 {
					b.StopTimer()
					d, now = newMixedDirectory(size.endpoints, size.instances)
					b.StartTimer()
				}
				now = now.Add(250 * time.Millisecond)
				d.RefreshSpeeds(now)
			}
		})
	}
}

// newMixedDirectory returns a directory that knows the speeds of endpoints, every third of which is
// fast, by its own observations and those of other instances.
func newMixedDirectory(count, instances int) (*endpoint.Directory, time.Time) {
	d, now := newDirectory(count), noon
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		excluded := map[string]bool{}
		for range count {
			target, _ := d.Pick(endpoint.Query{Service: "s", ExcludedIDs: excluded, IgnoreDomain: true}, now)
			var i int
			_, _ = fmt.Sscanf(target.ID(), "e-%d", &i)
			d.RecordTokenTime(target, mixedSpeeds(i), now)
			d.Release(target)
			excluded[target.ID()] = true
		}
		d.RefreshSpeeds(now)
	}
	reports := d.Speeds(now)
	for i := range instances {
		d.ApplySpeeds(fmt.Sprint("front-", i), reports, now)
	}
	d.RefreshSpeeds(now)
	return d, now
}
