package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// TestClosureTellsCrashesFromDepartures guards against crashes of endpoints that leave which are taken for planned ends,
// and against planned ends that are taken for crashes.
func TestClosureTellsCrashesFromDepartures(t *testing.T) {
	const drain, interval = 2 * time.Second, time.Second
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// site reads registrations at times in seconds.
	type site struct {
		*endpoint.Directory
		registration endpoint.Registration
	}
	read := func(s *site, seconds float64) { s.ReadComplete(at(seconds)) }
	beat := func(s *site, seconds float64) {
		s.registration.Heartbeat++
		s.Put(s.registration, at(seconds+0.01))
		read(s, seconds)
	}
	drainAt := func(s *site, seconds float64) {
		s.registration.State = endpoint.Draining
		beat(s, seconds)
	}
	removeAt := func(s *site, seconds float64) {
		s.Remove("e", at(seconds+0.01))
		read(s, seconds)
	}
	tests := []struct {
		name string
		// steps follow two heartbeats, at 0 and 1 s. The connection is closed at closed, in seconds.
		steps       func(s *site, t endpoint.Target)
		closed, now float64
		want        endpoint.Closure
	}{
		{name: "ready", steps: func(*site, endpoint.Target) {}, closed: 1.5, now: 1.5, want: endpoint.ClosureCrashed},
		{name: "ready while the store is away", steps: func(s *site, _ endpoint.Target) { s.StoreUnavailable() }, closed: 9, now: 9, want: endpoint.ClosureCrashed},
		{name: "draining for less than the drain time", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2) }, closed: 2.9, now: 2.9, want: endpoint.ClosureCrashed},
		{name: "removed for less than the drain time", steps: func(s *site, _ endpoint.Target) { removeAt(s, 2) }, closed: 2.9, now: 2.9, want: endpoint.ClosureCrashed},
		{name: "draining, no read since", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2) }, closed: 3.1, now: 3.2, want: endpoint.ClosureUndecided},
		{name: "draining, heartbeat may be older", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); beat(s, 3.2) }, closed: 3.1, now: 3.3, want: endpoint.ClosureUndecided},
		{name: "draining, heartbeat after the end", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); read(s, 3.2); beat(s, 3.6) }, closed: 3.1, now: 3.7, want: endpoint.ClosureOrderly},
		{name: "draining, heartbeat not yet overdue", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); read(s, 3.25) }, closed: 3.1, now: 3.3, want: endpoint.ClosureUndecided},
		{name: "draining, heartbeat overdue", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); read(s, 3.27) }, closed: 3.1, now: 3.3, want: endpoint.ClosureCrashed},
		{name: "draining, heartbeat overdue and the store away", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); read(s, 3.52); s.StoreUnavailable() }, closed: 3.1, now: 3.6, want: endpoint.ClosureUnknown},
		{name: "removed after the end, too early for an expiry", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); removeAt(s, 3.6) }, closed: 3.1, now: 3.7, want: endpoint.ClosureOrderly},
		{name: "removed after the end, as by an expiry", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); removeAt(s, 5) }, closed: 3.1, now: 5.1, want: endpoint.ClosureUnknown},
		{name: "removed before the end", steps: func(s *site, _ endpoint.Target) { drainAt(s, 2); removeAt(s, 3) }, closed: 3.1, now: 3.2, want: endpoint.ClosureUnknown},
		{name: "says that it leaves", steps: func(s *site, t endpoint.Target) { s.RecordLeaving(t, at(1.5)) }, closed: 2, now: 2.1, want: endpoint.ClosureUndecided},
		{name: "says that it leaves, heartbeat overdue", steps: func(s *site, t endpoint.Target) { s.RecordLeaving(t, at(1.5)); read(s, 2.52) }, closed: 2, now: 2.6, want: endpoint.ClosureCrashed},
		{name: "replaced while ready", steps: func(s *site, _ endpoint.Target) {
			s.registration.StartedUnixMS++
			beat(s, 2)
		}, closed: 1.5, now: 2.1, want: endpoint.ClosureCrashed},
		{name: "replaced while draining", steps: func(s *site, _ endpoint.Target) {
			drainAt(s, 1.2)
			s.registration.StartedUnixMS++
			beat(s, 4)
		}, closed: 3.5, now: 4.1, want: endpoint.ClosureUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &site{
				Directory:    endpoint.NewDirectoryWith(endpoint.DirectoryConfig{DrainTime: drain, HeartbeatInterval: interval}),
				registration: endpoint.Registration{ID: "e", Service: "s", Address: "127.0.0.1:1", Slots: 1, StartedUnixMS: 1},
			}
			beat(s, 0)
			beat(s, 1)
			target, result := s.Pick(endpoint.Query{Service: "s"}, at(1))
			require.Equal(t, endpoint.Picked, result)
			test.steps(s, target)
			require.Equal(t, test.want, s.Closure(target, at(test.closed), at(test.now)), "%s", s.Closure(target, at(test.closed), at(test.now)))
		})
	}
}

// TestEndpointWithoutHeartbeatsIsNotOverdue guards against whole responses that are cut off because a front has just started.
func TestEndpointWithoutHeartbeatsIsNotOverdue(t *testing.T) {
	start := time.Date(2026, 12, 7, 12, 0, 0, 0, time.UTC)
	d := endpoint.NewDirectory()
	d.Put(endpoint.Registration{ID: "e", Service: "s", Slots: 1}, start)
	target, _ := d.Pick(endpoint.Query{Service: "s"}, start)
	d.RecordLeaving(target, start)
	d.ReadComplete(start.Add(time.Minute))
	require.Equal(t, endpoint.ClosureUnknown, d.Closure(target, start, start.Add(time.Minute)))
}
