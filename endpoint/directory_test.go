package endpoint_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func registration(id string) endpoint.Registration {
	return endpoint.Registration{ID: id, Service: "s", Address: "127.0.0.1:1", Domain: "a", Slots: 2}
}

func query() endpoint.Query { return endpoint.Query{Service: "s", LocalDomain: "a"} }

// newDirectory returns a directory with endpoints e-0 to e-(n-1) of two slots each.
func newDirectory(n int) *endpoint.Directory {
	d := endpoint.NewDirectory()
	for i := range n {
		d.Put(registration(fmt.Sprintf("e-%d", i)), noon)
	}
	return d
}

func TestPickSpreadsLoadAndFillsAllSlots(t *testing.T) {
	d := newDirectory(3)
	counts := map[string]int{}
	for range 6 {
		target, result := d.Pick(query(), noon)
		require.Equal(t, endpoint.Picked, result)
		counts[target.ID()]++
	}
	require.Equal(t, map[string]int{"e-0": 2, "e-1": 2, "e-2": 2}, counts)
	_, result := d.Pick(query(), noon)
	require.Equal(t, endpoint.AllBusy, result)
}

func TestPickCountsTheLoadOfOtherInstances(t *testing.T) {
	d := newDirectory(2)
	d.UpdatePeerLoads("front-2", []endpoint.Load{{Endpoint: endpoint.Key("e-0"), Running: 2}}, noon)
	target, _ := d.Pick(query(), noon)
	require.Equal(t, "e-1", target.ID())
	later := noon.Add(10 * time.Second)
	d.UpdatePeerLoads("front-3", nil, later)
	capacity := d.Capacity("s", later)
	require.Equal(t, 3, capacity.Free, "an expired load report must not count")
	require.Equal(t, 4, capacity.Slots)
}

// TestLoadReportOfSilentInstanceExpires guards against the load of an instance that is gone
// keeping endpoints busy when no other instance sends a report.
func TestLoadReportOfSilentInstanceExpires(t *testing.T) {
	tests := []struct {
		name string
		// hasRoom reports whether the endpoint seems to have room.
		hasRoom func(d *endpoint.Directory, now time.Time) bool
	}{
		{name: "pick", hasRoom: func(d *endpoint.Directory, now time.Time) bool {
			_, result := d.Pick(query(), now)
			return result == endpoint.Picked
		}},
		{name: "capacity", hasRoom: func(d *endpoint.Directory, now time.Time) bool {
			free := d.Capacity("s", now).Free
			return free > 0
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory(1)
			d.UpdatePeerLoads("front-2", []endpoint.Load{{Endpoint: endpoint.Key("e-0"), Running: 2}}, noon)
			require.False(t, test.hasRoom(d, noon.Add(time.Second)), "a report of a second ago counts")
			require.True(t, test.hasRoom(d, noon.Add(10*time.Second)))
		})
	}
}

func TestUsabilityOfLeavingEndpoints(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *endpoint.Directory, now time.Time)
		after  time.Duration
		usable bool
	}{
		{name: "draining", change: func(d *endpoint.Directory, now time.Time) {
			e := registration("e-0")
			e.State = endpoint.Draining
			d.Put(e, now)
		}},
		{name: "entry gone", change: func(d *endpoint.Directory, now time.Time) { d.Remove("e-0", now) }},
		{name: "entry gone before a store outage", change: func(d *endpoint.Directory, now time.Time) {
			d.Remove("e-0", now.Add(-time.Second))
			d.StoreAvailable(now.Add(-time.Second))
			d.StoreUnavailable()
		}},
		{name: "entry gone before a store outage that has ended", after: time.Second, change: func(d *endpoint.Directory, now time.Time) {
			d.Remove("e-0", now.Add(-time.Second))
			d.StoreAvailable(now.Add(-time.Second))
			d.StoreUnavailable()
			d.StoreAvailable(now)
		}},
		{name: "entry missing just after the outage, which begins anew", usable: true, after: time.Second, change: func(d *endpoint.Directory, now time.Time) {
			d.StoreAvailable(now.Add(-time.Minute))
			d.StoreUnavailable()
			d.Remove("e-0", now)
			d.StoreAvailable(now)
			d.StoreAvailable(now.Add(400 * time.Millisecond))
			d.StoreUnavailable()
		}},
		{name: "entry still missing after the outage, when another one begins", after: 3 * time.Second, change: func(d *endpoint.Directory, now time.Time) {
			d.StoreUnavailable()
			d.Remove("e-0", now)
			d.StoreAvailable(now)
			d.StoreAvailable(now.Add(2500 * time.Millisecond))
			d.StoreUnavailable()
		}},
		{name: "entry gone during a store outage", usable: true, change: func(d *endpoint.Directory, now time.Time) {
			d.StoreUnavailable()
			d.Remove("e-0", now)
		}},
		{name: "entry missing just after the outage", usable: true, after: time.Second, change: func(d *endpoint.Directory, now time.Time) {
			d.StoreUnavailable()
			d.StoreAvailable(now)
			d.Remove("e-0", now)
		}},
		{name: "entry still missing after the outage", after: 3 * time.Second, change: func(d *endpoint.Directory, now time.Time) {
			d.StoreUnavailable()
			d.StoreAvailable(now)
			d.Remove("e-0", now)
		}},
		{name: "entry back", usable: true, change: func(d *endpoint.Directory, now time.Time) {
			d.Remove("e-0", now)
			d.Put(registration("e-0"), now)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory(1)
			target, _ := d.Pick(query(), noon)
			test.change(d, noon)
			require.Equal(t, test.usable, d.Usable(target, noon.Add(test.after)))
		})
	}
}

func TestOnlyNewerIncarnationReplacesEndpoint(t *testing.T) {
	d := endpoint.NewDirectory()
	e := registration("e-0")
	e.StartedUnixMS = 200
	d.Put(e, noon)
	_, result := d.Pick(query(), noon)
	require.Equal(t, endpoint.Picked, result)
	e.StartedUnixMS = 300
	require.True(t, d.Put(e, noon), "a new incarnation must replace the endpoint, without its load")
	free := d.Capacity("s", noon).Free
	require.Equal(t, 2, free)
	e.StartedUnixMS = 200
	require.False(t, d.Put(e, noon), "a registration of the previous incarnation must be ignored")
}

func TestFailingEndpointsAreEjectedButNotAll(t *testing.T) {
	d := newDirectory(4)
	targets := map[string]endpoint.Target{}
	for range 8 {
		target, _ := d.Pick(query(), noon)
		targets[target.ID()] = target
	}
	for _, target := range targets {
		d.Release(target)
		d.Release(target)
	}
	d.RecordFailure(targets["e-0"], true, noon)
	for range 3 {
		d.RecordFailure(targets["e-1"], false, noon)
	}
	for range 4 {
		target, _ := d.Pick(query(), noon)
		require.NotContains(t, []string{"e-0", "e-1"}, target.ID())
		d.Release(target)
	}
	d.RecordFailure(targets["e-2"], true, noon)
	picked := map[string]bool{}
	for range 60 {
		target, result := d.Pick(query(), noon)
		require.Equal(t, endpoint.Picked, result)
		picked[target.ID()] = true
		d.Release(target)
	}
	require.Len(t, picked, 4, "ejections must be ignored when most endpoints are ejected")
	later := noon.Add(10 * time.Second)
	target, result := d.Pick(query(), later)
	require.Equal(t, endpoint.Picked, result, target.ID())
}

// largeRegistration returns a registration of e-0 that started the given time after noon
// and has so many slots that a single request hardly counts.
func largeRegistration(startedAfter time.Duration) endpoint.Registration {
	r := registration("e-0")
	r.Slots, r.StartedUnixMS = 100, noon.Add(startedAfter).UnixMilli()
	return r
}

// pick picks an endpoint, which must succeed.
func pick(t *testing.T, d *endpoint.Directory, now time.Time) endpoint.Target {
	t.Helper()
	target, result := d.Pick(query(), now)
	require.Equal(t, endpoint.Picked, result)
	return target
}

// TestResultsOfOldIncarnationDoNotCountForNewOne guards against the requests of an endpoint
// that has started again under its ID changing the load and the health of the new
// incarnation. Without a failure, e-0 is picked rather than e-1, which is smaller and in
// another failure domain.
func TestResultsOfOldIncarnationDoNotCountForNewOne(t *testing.T) {
	later := noon.Add(time.Minute)
	tests := []struct {
		name string
		// report reports results of requests of the old incarnation and of the new one.
		report     func(d *endpoint.Directory, old, current endpoint.Target)
		wantPicked string
		// wantRunning is the number of requests that count at the new incarnation.
		wantRunning int
	}{
		{
			name: "release", wantPicked: "e-0", wantRunning: 1,
			report: func(d *endpoint.Directory, old, _ endpoint.Target) { d.Release(old) },
		},
		{
			name: "failure", wantPicked: "e-0", wantRunning: 1,
			report: func(d *endpoint.Directory, old, _ endpoint.Target) { d.RecordFailure(old, true, later) },
		},
		{
			name: "success", wantPicked: "e-1", wantRunning: 1,
			report: func(d *endpoint.Directory, old, current endpoint.Target) {
				d.RecordFailure(current, true, later)
				d.RecordSuccess(old, later)
			},
		},
		{
			name: "overdue", wantPicked: "e-0", wantRunning: 1,
			report: func(d *endpoint.Directory, old, current endpoint.Target) {
				d.RecordSuccess(current, later)
				d.RecordOverdue(old, later)
			},
		},
		{
			name: "release of the new one", wantPicked: "e-0",
			report: func(d *endpoint.Directory, _, current endpoint.Target) { d.Release(current) },
		},
		{
			name: "failure of the new one", wantPicked: "e-1", wantRunning: 1,
			report: func(d *endpoint.Directory, _, current endpoint.Target) { d.RecordFailure(current, true, later) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := endpoint.NewDirectory()
			d.Put(largeRegistration(0), noon)
			old := pick(t, d, noon)
			d.Put(largeRegistration(time.Second), noon.Add(time.Second))
			current := pick(t, d, later.Add(-10*time.Millisecond))
			test.report(d, old, current)
			free := d.Capacity("s", later).Free
			require.Equal(t, test.wantRunning, 100-free)
			other := registration("e-1")
			other.Domain, other.Slots = "b", 1
			d.Put(other, later)
			require.Equal(t, test.wantPicked, pick(t, d, later).ID())
		})
	}
}

func TestOldIncarnationIsNotUsable(t *testing.T) {
	d := endpoint.NewDirectory()
	d.Put(largeRegistration(0), noon)
	old := pick(t, d, noon)
	d.Put(largeRegistration(time.Second), noon.Add(time.Second))
	later := noon.Add(2 * time.Second)
	require.False(t, d.Usable(old, later))
	require.True(t, d.Usable(pick(t, d, later), later))
}
