package endpoint

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/speed"
)

const (
	// storeReturnGrace is how long after an outage of the store a registration may still be
	// missing: the platform guarantees that live endpoints are registered again within two
	// seconds.
	storeReturnGrace = 2200 * time.Millisecond
	// missingRetention is how long an endpoint is kept after its registration was removed,
	// for the requests that still run there.
	missingRetention = 60 * time.Second
)

// DirectoryConfig holds the settings of a Directory.
type DirectoryConfig struct {
	// Draw returns the next random number for picks, at least 0 and less than 1; nil is rand.Float64. It
	// is not called concurrently.
	Draw func() float64
	// DrainTime is how long an endpoint goes on to accept connections once its departure is
	// reported, at least; 0 is 2 s.
	DrainTime time.Duration
	// HeartbeatInterval is about the time between two heartbeats of an endpoint; 0 is 1.2 s.
	HeartbeatInterval time.Duration
}

// Directory holds the endpoints of all services. It is safe for concurrent use; create it
// with NewDirectory or NewDirectoryWith.
type Directory struct {
	config DirectoryConfig
	// mu guards all fields but config.
	mu sync.Mutex
	// byID holds the endpoints by their IDs, byKey by the Keys of these, and byService by the names
	// of their services.
	byID      map[string]*Endpoint
	byKey     map[uint64]*Endpoint
	byService map[string][]*Endpoint
	// peers holds the load reports of other instances.
	peers peerLoads
	// typicalTimes is the moving average of the request time, by kind of request.
	typicalTimes map[string]time.Duration
	// storeReturnedAt is when the latest outage of the store ended, or zero.
	storeReturnedAt time.Time
	// storeUnavailable is set during an outage of the store.
	storeUnavailable bool
	// removalsFinalUntil is when the store last answered outside of an outage and of
	// storeReturnGrace after it. An endpoint whose registration was missing by then is gone.
	removalsFinalUntil time.Time
	// readAt is when the latest complete read of the registrations began, see ReadComplete.
	readAt time.Time
	// versions holds the software versions of all endpoints.
	versions versionTable
	// historyAwaited is set until the version history has been read.
	historyAwaited bool
	// mixedUntil is until when a service has several versions according to other instances,
	// by the Key of its name.
	mixedUntil map[uint64]time.Time
	// capacities holds the capacities of services that were asked for, by their names.
	capacities map[string]*sampledCapacity
	// departures holds the latest known departure of each endpoint, by the Key of its ID.
	departures map[uint64]knownDeparture
	// changed is closed and replaced by notifyChanged.
	changed chan struct{}
	// speeds holds what is known of the speeds of endpoints, by the names of their services.
	speeds map[string]*serviceSpeeds
	// speedsRefreshedAt is when RefreshSpeeds last computed them, and scratch the memory that it reuses.
	speedsRefreshedAt time.Time
	scratch           []speed.Weighted
	// lastExpiryAt is when dropExpired last searched for expired endpoints.
	lastExpiryAt time.Time
}

// NewDirectory returns an empty directory with default settings.
func NewDirectory() *Directory { return NewDirectoryWith(DirectoryConfig{}) }

// NewDirectoryWith returns an empty directory.
func NewDirectoryWith(c DirectoryConfig) *Directory {
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	if c.DrainTime == 0 {
		c.DrainTime = defaultDrainTime
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = defaultHeartbeatInterval
	}
	return &Directory{
		config: c, byID: map[string]*Endpoint{}, byKey: map[uint64]*Endpoint{}, byService: map[string][]*Endpoint{}, peers: newPeerLoads(), typicalTimes: map[string]time.Duration{},
		versions: versionTable{}, mixedUntil: map[uint64]time.Time{}, departures: map[uint64]knownDeparture{}, capacities: map[string]*sampledCapacity{}, speeds: map[string]*serviceSpeeds{},
		changed: make(chan struct{}),
	}
}

// Put adds or updates an endpoint and reports whether the endpoint is new, present again or
// in another state. A registration of an older incarnation than the known one is ignored.
// One with another incarnation, version, address or service replaces the endpoint, whose load and
// health start anew.
func (d *Directory) Put(r Registration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.byID[r.ID]
	if ok && r.StartedUnixMS != 0 && old.registration.StartedUnixMS > r.StartedUnixMS {
		return false
	}
	if ok && old.registration.StartedUnixMS == r.StartedUnixMS && old.registration.Version == r.Version && old.registration.Address == r.Address && old.registration.Service == r.Service {
		changed := old.state != r.State || !old.missingSince.IsZero()
		if r.Heartbeat != old.registration.Heartbeat {
			old.heartbeat = heartbeat{readAt: now, writtenAfter: d.readAt, repeated: true}
		}
		if r.State == Draining {
			d.extendService(old)
		}
		old.registration, old.state, old.missingSince = r, r.State, time.Time{}
		old.tenure.frozen = false
		if r.ColdFor > 0 {
			old.coldUntil = now.Add(r.ColdFor)
		}
		if changed {
			d.notifyChanged()
		}
		return changed
	}
	delete(d.capacities, r.Service)
	added := &Endpoint{registration: r, key: Key(r.ID), state: r.State, addedAt: now, tenure: &tenure{since: now}, heartbeat: heartbeat{readAt: now, writtenAfter: d.readAt}}
	if ok {
		added.tenure = d.succeed(old, r, now)
		d.drop(old, now)
	}
	if r.ColdFor > 0 {
		added.coldUntil = now.Add(r.ColdFor)
	}
	d.applyDeparture(added)
	d.expirePeerLoads(now)
	sum := d.peers.sums[added.key]
	added.peerRunning, added.peerGood, added.peerErrors = sum.Running, sum.Good, sum.Errors
	d.byID[r.ID], d.byKey[added.key] = added, added
	d.versions.add(r)
	d.byService[r.Service] = append(d.byService[r.Service], added)
	d.notifyChanged()
	return true
}

// Remove marks the registration of an endpoint as missing and reports whether it was
// present.
func (d *Directory) Remove(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.byID[id]
	if !ok || !e.missingSince.IsZero() {
		return false
	}
	d.markMissing(e, now)
	return true
}

// Retain marks the registrations of all endpoints as missing whose IDs are not in keep.
func (d *Directory) Retain(keep map[string]bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.byID {
		if !keep[id] && e.missingSince.IsZero() {
			d.markMissing(e, now)
		}
	}
}

// markMissing notes that the registration of an endpoint is missing; d.mu must be held.
func (d *Directory) markMissing(e *Endpoint, now time.Time) {
	d.extendService(e)
	e.missingSince = now
	e.tenure.freeze(d.readAt)
}

// StoreUnavailable notes that the store can't be read. Until the store answers again, an
// endpoint stays usable if its registration went missing after the store's last answer.
func (d *Directory) StoreUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeUnavailable = true
}

// StoreAvailable notes that the store has answered.
func (d *Directory) StoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeUnavailable {
		d.storeUnavailable, d.storeReturnedAt = false, now
	}
	if !d.inReturnGrace(now) {
		d.removalsFinalUntil = now
	}
	d.dropExpired(now)
}

// Len returns the number of endpoints whose registration is present.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, e := range d.byID {
		if e.missingSince.IsZero() {
			n++
		}
	}
	return n
}

// Usable reports whether the picked incarnation of an endpoint still takes requests; it does
// not consider failures and load.
func (d *Directory) Usable(t Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.find(t)
	return ok && d.usable(e, now)
}

// find returns the endpoint of a target, or false if it was dropped or replaced by another
// incarnation; d.mu must be held.
func (d *Directory) find(t Target) (*Endpoint, bool) {
	e, ok := d.byID[t.ID()]
	return e, ok && e == t.endpoint
}

// usable reports whether an endpoint takes requests; d.mu must be held. One that has said it leaves
// takes none, whatever its registration says. An endpoint can't
// renew its registration during an outage of the store, so endpoints whose registration went
// missing since count as usable while the store is unavailable. Those that went missing
// around the end of the outage count as usable until storeReturnGrace after it.
func (d *Directory) usable(e *Endpoint, now time.Time) bool {
	if e.state != Ready || e.leaving {
		return false
	}
	if e.missingSince.IsZero() {
		return true
	}
	if !e.missingSince.After(d.removalsFinalUntil) {
		return false
	}
	if d.storeUnavailable {
		return true
	}
	return d.inReturnGrace(now) && !e.missingSince.Before(d.storeReturnedAt.Add(-storeReturnGrace))
}

// inReturnGrace reports whether an outage of the store ended less than storeReturnGrace ago;
// d.mu must be held.
func (d *Directory) inReturnGrace(now time.Time) bool {
	return !d.storeReturnedAt.IsZero() && now.Sub(d.storeReturnedAt) < storeReturnGrace
}

// dropExpired deletes endpoints that have been missing for longer than missingRetention, at
// most once a second; d.mu must be held.
func (d *Directory) dropExpired(now time.Time) {
	if now.Sub(d.lastExpiryAt) < time.Second {
		return
	}
	d.lastExpiryAt = now
	for _, e := range d.byID {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > missingRetention && !d.usable(e, now) {
			d.drop(e, now)
		}
	}
	d.dropDepartures(now)
}

// drop deletes an endpoint; d.mu must be held.
func (d *Directory) drop(e *Endpoint, now time.Time) {
	lastPresent := now
	if !e.missingSince.IsZero() {
		lastPresent = e.missingSince
	}
	d.versions.remove(e.registration, lastPresent)
	delete(d.byID, e.registration.ID)
	delete(d.byKey, e.key)
	delete(d.capacities, e.registration.Service)
	endpoints := d.byService[e.registration.Service]
	for i, other := range endpoints {
		if other == e {
			d.byService[e.registration.Service] = append(endpoints[:i:i], endpoints[i+1:]...)
			break
		}
	}
}

// notifyChanged closes the channel that Changed returned; d.mu must be held.
func (d *Directory) notifyChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change after which Pick may succeed:
// an endpoint is added, changes its state or finishes a request, or a load report arrives.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}
