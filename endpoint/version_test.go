package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

func versioned(id, version string, started int64) endpoint.Registration {
	return endpoint.Registration{ID: id, Service: "s", Version: version, StartedUnixMS: started, Address: "127.0.0.1:1", Slots: 4}
}

// TestSeveralVersions checks when a stream may have been begun by another version than the one
// that serves now.
func TestSeveralVersions(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *endpoint.Directory)
		at     time.Duration
		want   bool
	}{
		{"one version", func(d *endpoint.Directory) { d.Put(versioned("b", "v1", 1), noon) }, 0, false},
		{"two versions", func(d *endpoint.Directory) { d.Put(versioned("b", "v2", 1), noon) }, 0, true},
		{"another service", func(d *endpoint.Directory) {
			d.Put(endpoint.Registration{ID: "b", Service: "other", Version: "v2", Address: "127.0.0.1:2", Slots: 4}, noon)
		}, 0, false},
		{"the same endpoint starts again", func(d *endpoint.Directory) { d.Put(versioned("a", "v2", 2), noon) }, time.Second, true},
		{"its start time is unknown", func(d *endpoint.Directory) { d.Put(versioned("a", "v2", 1), noon) }, time.Second, true},
		{"a minute after it started again", func(d *endpoint.Directory) { d.Put(versioned("a", "v2", 2), noon) }, 61 * time.Second, false},
		{"the older version is gone", func(d *endpoint.Directory) {
			d.Put(versioned("b", "v2", 1), noon)
			d.Remove("a", noon)
			d.StoreAvailable(noon.Add(time.Second))
		}, time.Second, true},
		{"the older version has been gone for two minutes", func(d *endpoint.Directory) {
			d.Put(versioned("b", "v2", 1), noon)
			d.Remove("a", noon)
			d.StoreAvailable(noon.Add(61 * time.Second))
		}, 2 * time.Minute, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := endpoint.NewDirectory()
			d.Put(versioned("a", "v1", 1), noon)
			test.change(d)
			require.Equal(t, test.want, d.SeveralVersions("s", noon.Add(test.at)))
		})
	}
}

// TestSeveralVersionsAreKnownFromOthers guards against fronts that record no origin of a stream,
// because they read of a new version later than others do.
func TestSeveralVersionsAreKnownFromOthers(t *testing.T) {
	first, second := endpoint.NewDirectory(), endpoint.NewDirectory()
	for _, d := range []*endpoint.Directory{first, second} {
		d.Put(versioned("a", "v1", 1), noon)
	}
	require.Empty(t, first.MixedServices(noon))
	first.Put(versioned("b", "v2", 1), noon)
	second.ApplyMixedServices(first.MixedServices(noon), noon)
	require.True(t, second.SeveralVersions("s", noon.Add(time.Second)))
	require.False(t, second.SeveralVersions("other", noon.Add(time.Second)))
	require.Empty(t, second.MixedServices(noon), "hearsay is not passed on")
	require.False(t, second.SeveralVersions("s", noon.Add(6*time.Second)))
}

// TestOnlyEndpointsOfTheVersionArePicked checks the choice for a stream that is resumed.
func TestOnlyEndpointsOfTheVersionArePicked(t *testing.T) {
	d := endpoint.NewDirectory()
	d.Put(versioned("a", "v1", 1), noon)
	d.Put(versioned("b", "v2", 1), noon)
	for range 20 {
		target, result := d.Pick(endpoint.Query{Service: "s", Version: "v2", MaxQueued: 100, PreferredID: "a", PreferredSaving: time.Minute}, noon)
		require.Equal(t, endpoint.Picked, result)
		require.Equal(t, "b", target.ID())
	}
	d.Put(endpoint.Registration{ID: "b", Service: "s", Version: "v2", StartedUnixMS: 1, Address: "127.0.0.1:1", Slots: 4, State: endpoint.Draining}, noon)
	_, result := d.Pick(endpoint.Query{Service: "s", Version: "v2"}, noon)
	require.Equal(t, endpoint.NoneUsable, result)
}
