package endpoint

import "time"

const (
	// leavingRetention is how long it is remembered that an incarnation leaves once its endpoint
	// has been dropped: a stale read of the store may show its registration again.
	leavingRetention = 10 * time.Minute
	// departureReports is how long a departure is reported to other instances.
	departureReports = 10 * time.Second
)

// Departure tells that an incarnation of an endpoint leaves.
type Departure struct {
	// Endpoint is the Key of the endpoint.
	Endpoint uint64
	// StartedUnixMS is the start time of its incarnation in Unix milliseconds; 0 is unknown.
	StartedUnixMS int64
}

// knownDeparture is what this instance knows of a departure. It holds for the incarnation that said it
// leaves, and all earlier ones.
type knownDeparture struct {
	// startedUnixMS is the start time of the incarnation in Unix milliseconds; 0 is unknown.
	startedUnixMS int64
	// noticedAt is when this instance first knew.
	noticedAt time.Time
	// secondHand is set if another instance got the response.
	secondHand bool
}

// covers reports whether the departure holds for the incarnation with a start time. Where one of
// both times is unknown, it is another incarnation only if it started after the departure.
func (d knownDeparture) covers(startedUnixMS int64) bool {
	if d.startedUnixMS == 0 && startedUnixMS != 0 {
		return startedUnixMS <= d.noticedAt.UnixMilli()
	}
	return startedUnixMS <= d.startedUnixMS
}

// RecordLeaving notes that the picked incarnation of an endpoint said in a response that it leaves,
// and reports whether that is new. Only a later incarnation takes requests again: responses
// overlap, and a registration may be older than the response.
func (d *Directory) RecordLeaving(t Target, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.find(t); !ok && t.registration.StartedUnixMS == 0 {
		return false
	}
	report := Departure{Endpoint: Key(t.ID()), StartedUnixMS: t.registration.StartedUnixMS}
	if !d.addDeparture(report, false, now) {
		return false
	}
	if e, ok := d.byID[t.ID()]; ok {
		d.applyDeparture(e)
	}
	return true
}

// addDeparture notes a departure and reports whether it is new; d.mu must be held.
func (d *Directory) addDeparture(r Departure, secondHand bool, now time.Time) bool {
	if known, ok := d.departures[r.Endpoint]; ok && known.covers(r.StartedUnixMS) {
		return false
	}
	d.departures[r.Endpoint] = knownDeparture{startedUnixMS: r.StartedUnixMS, noticedAt: now, secondHand: secondHand}
	return true
}

// applyDeparture marks an endpoint if its incarnation is known to leave, and reports whether it
// does; d.mu must be held.
func (d *Directory) applyDeparture(e *Endpoint) bool {
	known, ok := d.departures[e.key]
	if !ok || e.leaving || !known.covers(e.registration.StartedUnixMS) {
		return false
	}
	e.leaving = true
	d.notifyChanged()
	return true
}

// Departures returns the departures that responses to this instance told within departureReports.
func (d *Directory) Departures(now time.Time) []Departure {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Departure
	for key, known := range d.departures {
		if !known.secondHand && now.Sub(known.noticedAt) <= departureReports {
			out = append(out, Departure{Endpoint: key, StartedUnixMS: known.startedUnixMS})
		}
	}
	return out
}

// ApplyDepartures takes over the departures that another instance reports, also of endpoints whose
// registration this one has not read yet, and returns the IDs of those that no longer take requests
// for it.
func (d *Directory) ApplyDepartures(reports []Departure, now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	added := map[uint64]bool{}
	for _, r := range reports {
		if d.addDeparture(r, true, now) {
			added[r.Endpoint] = true
		}
	}
	if len(added) == 0 {
		return nil
	}
	var changed []string
	for key := range added {
		if e, ok := d.byKey[key]; ok && d.applyDeparture(e) {
			changed = append(changed, e.registration.ID)
		}
	}
	return changed
}

// dropDepartures forgets old departures of endpoints that have been dropped; d.mu must be held.
func (d *Directory) dropDepartures(now time.Time) {
	for key, known := range d.departures {
		if e, ok := d.byKey[key]; (!ok || !e.leaving) && now.Sub(known.noticedAt) > leavingRetention {
			delete(d.departures, key)
		}
	}
}
