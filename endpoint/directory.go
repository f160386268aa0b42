package endpoint

import (
	"sync"
	"time"
)

const (
	// returnGrace is how long entries may stay missing after the store returns,
	// as the platform promises that live endpoints are back within two seconds.
	storeReturnGrace = 2200 * time.Millisecond
	// keepGone is how long an endpoint that left is remembered for its requests.
	missingRetention = 60 * time.Second
)

// Directory holds the endpoints of all services.
type Directory struct {
	mu         sync.Mutex
	byID       map[string]*Endpoint
	byService   map[string][]*Endpoint
	peerReports    map[string]loadReport
	typicalTimes   map[string]time.Duration
	storeReturnedAt time.Time
	storeUnavailable       bool
	changed    chan struct{}
	lastSweepAt  time.Time
}

// report is the load that another instance has at the endpoints.
type loadReport struct {
	receivedAt    time.Time
	loads map[uint64]int
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{
		byID: map[string]*Endpoint{}, byService: map[string][]*Endpoint{}, peerReports: map[string]loadReport{}, typicalTimes: map[string]time.Duration{},
		changed: make(chan struct{}),
	}
}

// Put takes over the entry of an endpoint and reports whether it says anything new.
func (d *Directory) Put(e Registration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, ok := d.byID[e.ID]
	if ok && e.Born != 0 && old.registration.Born > e.Born {
		return false
	}
	if ok && old.registration.Born == e.Born && old.registration.Address == e.Address && old.registration.Service == e.Service {
		news := old.state != e.State || !old.missingSince.IsZero()
		old.registration, old.state, old.missingSince = e, e.State, time.Time{}
		if e.ColdFor > 0 {
			old.coldUntil = now.Add(e.ColdFor)
		}
		if news {
			d.notifyChanged()
		}
		return news
	}
	if ok {
		d.drop(old)
	}
	n := &Endpoint{registration: e, key: Key(e.ID), state: e.State}
	if e.ColdFor > 0 {
		n.coldUntil = now.Add(e.ColdFor)
	}
	d.byID[e.ID] = n
	d.byService[e.Service] = append(d.byService[e.Service], n)
	d.sumPeerLoads(now)
	d.notifyChanged()
	return true
}

// Remove notes that the entry of an endpoint is gone; it reports whether the
// endpoint was known.
func (d *Directory) Remove(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.byID[id]
	if !ok || !e.missingSince.IsZero() {
		return false
	}
	e.missingSince = now
	return true
}

// Retain notes that all endpoints are gone but those in keep.
func (d *Directory) Retain(keep map[string]bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.byID {
		if !keep[id] && e.missingSince.IsZero() {
			e.missingSince = now
		}
	}
}

// StoreAway notes that the store can't be read.
func (d *Directory) StoreUnavailable() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storeUnavailable = true
}

// StoreBack notes that the store has answered.
func (d *Directory) StoreAvailable(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeUnavailable {
		d.storeUnavailable, d.storeReturnedAt = false, now
	}
	d.dropExpired(now)
}

// Len returns the number of endpoints that are not gone.
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

// Usable reports whether an endpoint still takes requests.
func (d *Directory) Usable(t Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.byID[t.ID()]
	return ok && d.usable(e, now)
}

// usable reports whether an endpoint takes requests: an entry that vanished while
// the store was away may only have lapsed.
func (d *Directory) usable(e *Endpoint, now time.Time) bool {
	if e.state != Ready {
		return false
	}
	if e.missingSince.IsZero() {
		return true
	}
	if d.storeUnavailable {
		return true
	}
	return !d.storeReturnedAt.IsZero() && now.Sub(d.storeReturnedAt) < storeReturnGrace && !e.missingSince.Before(d.storeReturnedAt.Add(-storeReturnGrace))
}

func (d *Directory) dropExpired(now time.Time) {
	if now.Sub(d.lastSweepAt) < time.Second {
		return
	}
	d.lastSweepAt = now
	for _, e := range d.byID {
		if !e.missingSince.IsZero() && now.Sub(e.missingSince) > missingRetention && !d.usable(e, now) {
			d.drop(e)
		}
	}
}

func (d *Directory) drop(e *Endpoint) {
	delete(d.byID, e.registration.ID)
	list := d.byService[e.registration.Service]
	for i, o := range list {
		if o == e {
			d.byService[e.registration.Service] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
}

// wake tells all who wait that an endpoint may have room; mu is held.
func (d *Directory) notifyChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Changed returns a channel that is closed when an endpoint may have room.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}
