package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// incarnation returns the registration of endpoint "a" of service "s" that started at a time.
func incarnation(startedUnixMS int64) endpoint.Registration {
	return endpoint.Registration{ID: "a", StartedUnixMS: startedUnixMS, Service: "s", Address: "127.0.0.1:1", Slots: 4}
}

// leavingDirectory returns a directory with an incarnation of endpoint "a", which says at noon that
// it leaves, and the target that was picked before.
func leavingDirectory(t *testing.T, startedUnixMS int64) (*endpoint.Directory, endpoint.Target) {
	d := endpoint.NewDirectory()
	d.Put(incarnation(startedUnixMS), noon.Add(-time.Second))
	target, result := d.Pick(endpoint.Query{Service: "s"}, noon)
	require.Equal(t, endpoint.Picked, result)
	require.True(t, d.RecordLeaving(target, noon))
	d.Release(target)
	return d, target
}

// TestOnlyALaterIncarnationIsUsedAgain checks what ends the mark of an endpoint that has said it
// leaves.
func TestOnlyALaterIncarnationIsUsedAgain(t *testing.T) {
	start, later := noon.Add(-time.Minute).UnixMilli(), noon.Add(3*time.Second).UnixMilli()
	tests := []struct {
		name    string
		started int64
		change  func(d *endpoint.Directory, t endpoint.Target)
		usable  bool
	}{
		{name: "nothing", started: start, change: func(*endpoint.Directory, endpoint.Target) {}},
		{name: "a heartbeat says it is ready", started: start, change: func(d *endpoint.Directory, _ endpoint.Target) { d.Put(incarnation(start), noon.Add(time.Second)) }},
		{name: "removed and registered again", started: start, change: func(d *endpoint.Directory, _ endpoint.Target) {
			d.Remove("a", noon.Add(time.Second))
			d.Put(incarnation(start), noon.Add(2*time.Second))
		}},
		{name: "dropped and registered again", started: start, change: func(d *endpoint.Directory, _ endpoint.Target) {
			d.Remove("a", noon)
			d.StoreAvailable(noon.Add(2 * time.Minute))
			d.Put(incarnation(start), noon.Add(3*time.Minute))
		}},
		{name: "registered at another address", started: start, change: func(d *endpoint.Directory, _ endpoint.Target) {
			moved := incarnation(start)
			moved.Address = "127.0.0.1:2"
			d.Put(moved, noon.Add(time.Second))
		}},
		{name: "registered without a start time", started: start, change: func(d *endpoint.Directory, _ endpoint.Target) { d.Put(incarnation(0), noon.Add(time.Second)) }},
		{name: "missing in an outage of the store", started: start, change: func(d *endpoint.Directory, _ endpoint.Target) {
			d.StoreUnavailable()
			d.Remove("a", noon)
		}},
		{name: "a response without the mark", started: start, change: func(d *endpoint.Directory, t endpoint.Target) {
			d.RecordSuccess(t, noon.Add(time.Second))
			d.RecordLimit(t, endpoint.Limit{}, noon.Add(time.Second))
		}},
		{name: "a later incarnation", started: start, usable: true, change: func(d *endpoint.Directory, _ endpoint.Target) { d.Put(incarnation(later), noon.Add(4*time.Second)) }},
		{name: "unknown start, a heartbeat", change: func(d *endpoint.Directory, _ endpoint.Target) { d.Put(incarnation(0), noon.Add(time.Second)) }},
		{name: "unknown start, an earlier incarnation", change: func(d *endpoint.Directory, _ endpoint.Target) { d.Put(incarnation(start), noon.Add(time.Second)) }},
		{name: "unknown start, a later incarnation", usable: true, change: func(d *endpoint.Directory, _ endpoint.Target) { d.Put(incarnation(later), noon.Add(4*time.Second)) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, target := leavingDirectory(t, test.started)
			test.change(d, target)
			_, result := d.Pick(endpoint.Query{Service: "s"}, noon.Add(5*time.Second))
			require.Equal(t, test.usable, result == endpoint.Picked)
			free := d.Capacity("s", noon.Add(5*time.Second)).Free
			require.Equal(t, test.usable, free > 0)
		})
	}
}

// TestLateResponseDoesNotMarkALaterIncarnation checks that the mark stays with the incarnation that
// sent the response.
func TestLateResponseDoesNotMarkALaterIncarnation(t *testing.T) {
	for _, started := range []int64{0, noon.Add(-time.Minute).UnixMilli()} {
		d := endpoint.NewDirectory()
		d.Put(incarnation(started), noon)
		target, _ := d.Pick(endpoint.Query{Service: "s"}, noon)
		d.Put(incarnation(noon.UnixMilli()), noon.Add(time.Second))
		d.RecordLeaving(target, noon.Add(2*time.Second))
		_, result := d.Pick(endpoint.Query{Service: "s"}, noon.Add(3*time.Second))
		require.Equal(t, endpoint.Picked, result)
	}
}

// TestRunningRequestsStayAtALeavingEndpoint checks that the mark is no failure: a later incarnation is
// not ejected, and what runs still counts.
func TestRunningRequestsStayAtALeavingEndpoint(t *testing.T) {
	d := endpoint.NewDirectory()
	d.Put(incarnation(1), noon)
	first, _ := d.Pick(endpoint.Query{Service: "s"}, noon)
	_, _ = d.Pick(endpoint.Query{Service: "s"}, noon)
	require.True(t, d.RecordLeaving(first, noon))
	require.False(t, d.RecordLeaving(first, noon), "known already")
	require.Equal(t, []endpoint.Load{{Endpoint: endpoint.Key("a"), Running: 2}}, d.Loads())
	require.False(t, d.Usable(first, noon), "a request that has been picked is not sent any more")
}
