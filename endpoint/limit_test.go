package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

var sixPerSecond = endpoint.Limit{Named: true, PerSecond: 6}

// limitedDirectory returns a directory with endpoint "a" of service "s", which names a limit
// at noon.
func limitedDirectory(t *testing.T) *endpoint.Directory {
	d := endpoint.NewDirectory()
	d.Put(endpoint.Registration{ID: "a", StartedUnixMS: 1, Service: "s", Address: "127.0.0.1:1", Slots: 4}, noon.Add(-time.Second))
	target, result := d.Pick(endpoint.Query{Service: "s"}, noon)
	require.Equal(t, endpoint.Picked, result)
	require.True(t, d.RecordLimit(target, sixPerSecond, noon))
	d.Release(target)
	return d
}

// pickLimited picks endpoint "a" and returns the limit with which it was picked.
func pickLimited(t *testing.T, d *endpoint.Directory, now time.Time) (endpoint.Target, endpoint.Limit) {
	target, result := d.Pick(endpoint.Query{Service: "s"}, now)
	require.Equal(t, endpoint.Picked, result)
	return target, target.Limit()
}

// TestLimitFollowsResponses checks when responses and the directory change a limit.
func TestLimitFollowsResponses(t *testing.T) {
	tests := []struct {
		name   string
		change func(d *endpoint.Directory)
		named  bool
	}{
		{"unchanged", func(*endpoint.Directory) {}, true},
		{"ended by a response to a later request", func(d *endpoint.Directory) {
			later, _ := d.Pick(endpoint.Query{Service: "s"}, noon.Add(time.Second))
			d.RecordLimit(later, endpoint.Limit{}, noon.Add(2*time.Second))
			d.Release(later)
		}, false},
		{"not ended by a response that crossed it", func(d *endpoint.Directory) {
			earlier, _ := d.Pick(endpoint.Query{Service: "s"}, noon.Add(-time.Millisecond))
			d.RecordLimit(earlier, endpoint.Limit{}, noon.Add(time.Second))
			d.PermitDenied(earlier, 0, noon)
		}, true},
		{"another incarnation", func(d *endpoint.Directory) {
			d.Put(endpoint.Registration{ID: "a", StartedUnixMS: 2, Service: "s", Address: "127.0.0.1:1", Slots: 4}, noon.Add(time.Second))
		}, false},
		{"a heartbeat", func(d *endpoint.Directory) {
			d.Put(endpoint.Registration{ID: "a", StartedUnixMS: 1, Service: "s", Address: "127.0.0.1:1", Slots: 4}, noon.Add(time.Second))
		}, true},
		{"an older report of another instance", func(d *endpoint.Directory) {
			d.ApplyLimits([]endpoint.LimitReport{{Endpoint: endpoint.Key("a"), StartedUnixMS: 1, Age: 4 * time.Second}}, noon.Add(3*time.Second))
		}, true},
		{"a later report of another instance", func(d *endpoint.Directory) {
			d.ApplyLimits([]endpoint.LimitReport{{Endpoint: endpoint.Key("a"), StartedUnixMS: 1, Age: time.Second}}, noon.Add(3*time.Second))
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := limitedDirectory(t)
			test.change(d)
			_, limit := pickLimited(t, d, noon.Add(5*time.Second))
			require.Equal(t, test.named, limit.Named)
		})
	}
}

// TestOneRequestAtATimeAsksForAPermit checks that an endpoint is picked again only after the
// request before has its permit, or the wait that came with the denial is over.
func TestOneRequestAtATimeAsksForAPermit(t *testing.T) {
	d := limitedDirectory(t)
	first, _ := pickLimited(t, d, noon)
	_, result := d.Pick(endpoint.Query{Service: "s"}, noon)
	require.Equal(t, endpoint.AllBusy, result)
	d.PermitTaken(first)
	second, _ := pickLimited(t, d, noon)
	d.PermitDenied(second, 100*time.Millisecond, noon)
	_, result = d.Pick(endpoint.Query{Service: "s"}, noon.Add(99*time.Millisecond))
	require.Equal(t, endpoint.AllBusy, result)
	pickLimited(t, d, noon.Add(100*time.Millisecond))
	require.Equal(t, []endpoint.Load{{Endpoint: endpoint.Key("a"), Running: 2}}, d.Loads(), "the denied request does not run there")
}

// TestHedgesLeaveOutLimitedEndpoints checks that a query may ask for endpoints without a limit.
func TestHedgesLeaveOutLimitedEndpoints(t *testing.T) {
	_, result := limitedDirectory(t).Pick(endpoint.Query{Service: "s", Unlimited: true}, noon)
	require.Equal(t, endpoint.AllBusy, result)
}

// TestEndpointsWithoutALimitAreUsedFirst checks the order of two idle endpoints, and that the
// cache of a limited one counts for more.
func TestEndpointsWithoutALimitAreUsedFirst(t *testing.T) {
	d := limitedDirectory(t)
	d.Put(endpoint.Registration{ID: "b", Service: "s", Address: "127.0.0.1:2", Slots: 4}, noon)
	for range 20 {
		target, _ := pickLimited(t, d, noon)
		require.Equal(t, "b", target.ID())
		d.Release(target)
	}
	holder, _ := d.Pick(endpoint.Query{Service: "s", PreferredID: "a", PreferredSaving: 20 * time.Millisecond}, noon)
	require.Equal(t, "a", holder.ID())
}
