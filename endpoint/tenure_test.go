package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// TestConnectionIsNotTakenForOneOfAnotherVersion guards against a version that is believed of a process
// without a read of the registrations that proves it.
func TestConnectionIsNotTakenForOneOfAnotherVersion(t *testing.T) {
	const ms = time.Millisecond
	first := endpoint.Registration{ID: "e", StartedUnixMS: 1, Service: "s", Version: "v1", Address: "127.0.0.1:1", Slots: 4}
	restarted, upgraded, moved := first, first, first
	restarted.StartedUnixMS = 2
	upgraded.StartedUnixMS, upgraded.Version = 2, "v2"
	moved.StartedUnixMS, moved.Address = 2, "127.0.0.1:2"
	// Each connection is opened at 100 ms to the target that was picked at 50 ms.
	tests := []struct {
		name string
		play func(d *endpoint.Directory, at func(time.Duration) time.Time)
		want bool
	}{
		{name: "no read", play: func(*endpoint.Directory, func(time.Duration) time.Time) {}},
		{name: "read that began before", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) { d.ReadComplete(at(99 * ms)) }},
		{name: "read that began with it", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) { d.ReadComplete(at(100 * ms)) }},
		{name: "read that began later", want: true, play: func(d *endpoint.Directory, at func(time.Duration) time.Time) { d.ReadComplete(at(101 * ms)) }},
		{name: "another version", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.Put(upgraded, at(102*ms))
			d.ReadComplete(at(101 * ms))
		}},
		{name: "another version later", want: true, play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.ReadComplete(at(101 * ms))
			d.Put(upgraded, at(103*ms))
		}},
		{name: "another address", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.Put(moved, at(102*ms))
			d.ReadComplete(at(101 * ms))
		}},
		{name: "another incarnation of the version", want: true, play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.Put(restarted, at(102*ms))
			d.ReadComplete(at(101 * ms))
		}},
		{name: "back at the version", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.Put(upgraded, at(102*ms))
			again := first
			again.StartedUnixMS = 3
			d.Put(again, at(103*ms))
			d.ReadComplete(at(101 * ms))
		}},
		{name: "registration missing", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.Remove("e", at(102*ms))
			d.ReadComplete(at(101 * ms))
		}},
		{name: "registration missing, then back", want: true, play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.Remove("e", at(102*ms))
			d.Put(first, at(110*ms))
			d.ReadComplete(at(105 * ms))
		}},
		{name: "outage of the store", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.StoreUnavailable()
			d.ReadComplete(at(101 * ms))
		}},
		{name: "soon after an outage of the store", play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.StoreUnavailable()
			d.StoreAvailable(at(200 * ms))
			d.ReadComplete(at(2300 * ms))
		}},
		{name: "after an outage of the store", want: true, play: func(d *endpoint.Directory, at func(time.Duration) time.Time) {
			d.StoreUnavailable()
			d.StoreAvailable(at(200 * ms))
			d.ReadComplete(at(2500 * ms))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, noon := endpoint.NewDirectory(), time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
			at := func(after time.Duration) time.Time { return noon.Add(after) }
			d.Put(first, at(0))
			target, result := d.Pick(endpoint.Query{Service: "s", MaxQueued: 1}, at(50*ms))
			require.Equal(t, endpoint.Picked, result)
			require.Equal(t, at(0), target.VersionSince())
			test.play(d, at)
			require.Equal(t, test.want, d.VersionConfirmed(target, at(100*ms)))
		})
	}
}

// TestConnectionOpenedBeforeAVersionIsNotOfIt guards against a connection to the process that had the
// address before.
func TestConnectionOpenedBeforeAVersionIsNotOfIt(t *testing.T) {
	d, noon := endpoint.NewDirectory(), time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	r := endpoint.Registration{ID: "e", StartedUnixMS: 1, Service: "s", Version: "v1", Address: "127.0.0.1:1", Slots: 4}
	d.Put(r, noon)
	r.StartedUnixMS, r.Version = 2, "v2"
	d.Put(r, noon.Add(time.Second))
	target, _ := d.Pick(endpoint.Query{Service: "s", MaxQueued: 1}, noon.Add(2*time.Second))
	d.ReadComplete(noon.Add(3 * time.Second))
	require.False(t, d.VersionConfirmed(target, noon.Add(500*time.Millisecond)))
	require.True(t, d.VersionConfirmed(target, noon.Add(2*time.Second)))
}

// TestOneVersionNeedsALaterRead guards against a service that is taken for one of a single version by
// what was known before another one began to serve.
func TestOneVersionNeedsALaterRead(t *testing.T) {
	d, noon := endpoint.NewDirectory(), time.Date(2026, 12, 5, 12, 0, 0, 0, time.UTC)
	d.Put(endpoint.Registration{ID: "e", Service: "s", Version: "v1", Slots: 4}, noon)
	d.ReadComplete(noon.Add(time.Second))
	require.True(t, d.OneVersionSince("s", noon, noon.Add(time.Second)))
	require.False(t, d.OneVersionSince("s", noon.Add(2*time.Second), noon.Add(2*time.Second)))
	d.Put(endpoint.Registration{ID: "f", Service: "s", Version: "v2", Slots: 4}, noon.Add(3*time.Second))
	d.ReadComplete(noon.Add(3 * time.Second))
	require.False(t, d.OneVersionSince("s", noon.Add(2*time.Second), noon.Add(3*time.Second)))
}
