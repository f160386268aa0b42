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
	free, slots := d.Capacity("s", later)
	require.Equal(t, 3, free, "an expired load report must not count")
	require.Equal(t, 4, slots)
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
	free, _ := d.Capacity("s", noon)
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
