package endpoint

import "time"

// tenure is the span of time over which an endpoint has kept its version, service and address. Its
// incarnations may change meanwhile.
type tenure struct {
	// since is when this instance first read a registration of it; it does not change.
	since time.Time
	// frozen is set while the registration is missing, and once another one has replaced it.
	frozen bool
	// shownAt is when the latest complete read began that showed it, if frozen is set;
	// otherwise that is Directory.readAt.
	shownAt time.Time
}

// freeze notes that reads which begin after shownAt don't show the tenure.
func (t *tenure) freeze(shownAt time.Time) {
	if !t.frozen {
		t.frozen, t.shownAt = true, shownAt
	}
}

// succeed returns the tenure of a registration that replaces the one of an endpoint; d.mu must be held.
func (d *Directory) succeed(old *Endpoint, r Registration, now time.Time) *tenure {
	if old.registration.Version == r.Version && old.registration.Service == r.Service && old.registration.Address == r.Address {
		old.tenure.frozen = false
		return old.tenure
	}
	old.tenure.freeze(d.readAt)
	return &tenure{since: now}
}

// ReadComplete notes that all registrations have been read that the store held at beganAt. During an
// outage of the store, and until storeReturnGrace after it, endpoints may have started that could not
// register, so such a read shows nothing. It is called after StoreAvailable.
func (d *Directory) ReadComplete(beganAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeUnavailable || d.inReturnGrace(beganAt) {
		return
	}
	d.readAt = beganAt
}

// VersionSince returns when this instance first read that the endpoint has the version, service and
// address of the target. Earlier connections to the address may lead to a process of another version.
func (t Target) VersionSince() time.Time { return t.endpoint.tenure.since }

// VersionConfirmed reports whether the process that accepted a connection to the target at openedAt is
// known to be of the target's version: a read that began later still showed that version. An
// endpoint registers when it starts, and a connection stays with the process that accepted it.
func (d *Directory) VersionConfirmed(t Target, openedAt time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	shown := t.endpoint.tenure
	shownAt := d.readAt
	if shown.frozen {
		shownAt = shown.shownAt
	}
	return openedAt.After(shown.since) && shownAt.After(openedAt)
}

// OneVersionSince reports whether all processes that served a service at a time are known to be of one
// version, because a read that began later shows no other one.
func (d *Directory) OneVersionSince(service string, at, now time.Time) bool {
	if d.SeveralVersions(service, now) {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readAt.After(at)
}
