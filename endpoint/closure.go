package endpoint

import "time"

// Closure tells why an endpoint accepts no connection any more.
type Closure uint8

// Closures of endpoints.
const (
	// ClosureUnknown is the closure of an endpoint that leaves if nothing tells, or will tell, whether
	// it crashed meanwhile.
	ClosureUnknown Closure = iota
	// ClosureUndecided means that a later read of the registrations may tell.
	ClosureUndecided
	// ClosureCrashed means that the endpoint did not leave, or crashed before it had left.
	ClosureCrashed
	// ClosureOrderly means that the endpoint lives, or left in order.
	ClosureOrderly
)

const (
	// defaultDrainTime is the default of DirectoryConfig.DrainTime.
	defaultDrainTime = 2 * time.Second
	// defaultHeartbeatInterval is the default of DirectoryConfig.HeartbeatInterval.
	defaultHeartbeatInterval = 1200 * time.Millisecond
	// overdueHeartbeats is the time without a heartbeat, in heartbeat intervals, that no living endpoint
	// has: heartbeats are only about an interval apart.
	overdueHeartbeats = 1.25
	// expiryHeartbeats is the time without a heartbeat, in heartbeat intervals, after which the platform
	// removes a registration. One that leaves removes its own.
	expiryHeartbeats = 3
)

// closureNames are the values of Closure.String.
var closureNames = [...]string{"unknown", "undecided", "crashed", "orderly"}

// String returns the name of the closure, as in log lines and metrics.
func (c Closure) String() string { return closureNames[c] }

// Closure returns why the picked incarnation of an endpoint, which accepts no connection, closed a
// connection at closedAt.
func (d *Directory) Closure(t Target, closedAt, now time.Time) Closure {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := t.endpoint
	if e == nil || d.usable(e, now) || now.Before(e.servesUntil) {
		return ClosureCrashed
	}
	interval := d.config.HeartbeatInterval
	_, current := d.find(t)
	switch {
	case !e.heartbeat.writtenAfter.IsZero() && !e.heartbeat.writtenAfter.Before(closedAt):
		return ClosureOrderly
	case e.missingSince.After(closedAt) && e.missingSince.Before(e.heartbeat.writtenAfter.Add(expiryHeartbeats*interval)):
		return ClosureOrderly
	case !current || !e.missingSince.IsZero() || d.storeUnavailable || !e.heartbeat.repeated:
		return ClosureUnknown
	case float64(d.readAt.Sub(e.heartbeat.readAt)) >= overdueHeartbeats*float64(interval):
		return ClosureCrashed
	}
	return ClosureUndecided
}

// extendService notes that an endpoint whose registration is no longer ready goes on to accept
// connections for DirectoryConfig.DrainTime: it reported its departure after the latest complete read.
// d.mu must be held.
func (d *Directory) extendService(e *Endpoint) {
	if e.state == Ready && e.missingSince.IsZero() && !d.readAt.IsZero() {
		e.servesUntil = d.readAt.Add(d.config.DrainTime)
	}
}
