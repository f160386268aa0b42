package endpoint

import "time"

// leavingRetention is how long it is remembered that an incarnation leaves once its endpoint has been
// dropped: a stale read of the store may show its registration again.
const leavingRetention = 10 * time.Minute

// departure notes that an endpoint leaves, as it said itself. It holds for the incarnation that
// said so and all earlier ones.
type departure struct {
	// startedUnixMS is the start time of that incarnation in Unix milliseconds; 0 is unknown.
	startedUnixMS int64
	// noticedAt is when this instance first knew.
	noticedAt time.Time
}

// covers reports whether the departure holds for the incarnation with a start time. Where one of
// both times is unknown, it is another incarnation only if it started after the departure.
func (d departure) covers(startedUnixMS int64) bool {
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
	key := Key(t.ID())
	if known, ok := d.departures[key]; ok && known.covers(t.registration.StartedUnixMS) {
		return false
	}
	d.departures[key] = departure{startedUnixMS: t.registration.StartedUnixMS, noticedAt: now}
	if e, ok := d.byID[t.ID()]; ok {
		e.leaving = d.departures[key].covers(e.registration.StartedUnixMS)
		d.notifyChanged()
	}
	return true
}

// dropDepartures forgets old departures of endpoints that have been dropped; d.mu must be held.
func (d *Directory) dropDepartures(now time.Time) {
	if len(d.departures) == 0 {
		return
	}
	registered := map[uint64]bool{}
	for _, e := range d.byID {
		if e.leaving {
			registered[e.key] = true
		}
	}
	for key, known := range d.departures {
		if !registered[key] && now.Sub(known.noticedAt) > leavingRetention {
			delete(d.departures, key)
		}
	}
}
