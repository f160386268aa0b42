package endpoint

import "time"

// Presence is what an instance knows of an endpoint that may leave or may have crashed.
type Presence struct {
	draining, leaving bool
	missingFor        time.Duration
	heartbeatAge      time.Duration
	readAge           time.Duration
}

// Draining reports whether the registration said so when it was last read.
func (p Presence) Draining() bool { return p.draining }

// Leaving reports whether the incarnation has said in a response that it leaves.
func (p Presence) Leaving() bool { return p.leaving }

// MissingFor returns the time since the registration was found missing, 0 if it is present.
func (p Presence) MissingFor() time.Duration { return p.missingFor }

// HeartbeatAge returns the time since the latest heartbeat was read.
func (p Presence) HeartbeatAge() time.Duration { return p.heartbeatAge }

// ReadAge returns the time since the latest complete read of the registrations began, 0 if there
// was none.
func (p Presence) ReadAge() time.Duration { return p.readAge }

// Presence returns what is known of the picked incarnation of an endpoint, as of its end if it was
// dropped or replaced.
func (d *Directory) Presence(t Target, now time.Time) Presence {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := t.endpoint
	if e == nil {
		return Presence{}
	}
	p := Presence{draining: e.state == Draining, leaving: e.leaving, heartbeatAge: now.Sub(e.heartbeat.readAt)}
	if !e.missingSince.IsZero() {
		p.missingFor = now.Sub(e.missingSince)
	}
	if !d.readAt.IsZero() {
		p.readAge = now.Sub(d.readAt)
	}
	return p
}

// heartbeat is the latest heartbeat of an incarnation that this instance has read.
type heartbeat struct {
	// readAt is when it was read.
	readAt time.Time
	// writtenAfter is when the latest complete read began that did not show it, or zero.
	writtenAfter time.Time
	// repeated is set once the incarnation was seen to send more than one.
	repeated bool
}
