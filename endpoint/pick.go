package endpoint

import "time"

// Query describes the request that an endpoint is wanted for.
type Query struct {
	// Service is the service that must run it.
	Service string
	// Depth is how many requests beyond its slots an endpoint may hold.
	MaxQueued int
	// Near is the failure domain of this instance, preferred among equals.
	LocalDomain string
	// Kind groups requests that take about equally long, such as those of one route.
	Kind string
	// Once is set for requests that must not run again if their answer is lost.
	Once bool
	// Prefer is the endpoint that holds the conversation, or empty.
	PreferredID string
	// PreferWorth is the time that the conversation there saves.
	PreferredSaving time.Duration
	// Avoid names endpoints that have failed or refused this request.
	ExcludedIDs map[string]bool
	// NoNear leaves the failure domain out of the choice.
	IgnoreDomain bool
}

// Verdict tells why no endpoint was picked.
type PickResult uint8

// Verdicts of Pick.
const (
	// Picked means that there is an endpoint.
	Picked PickResult = iota
	// Busy means that all usable endpoints are full.
	AllBusy
	// None means that no endpoint is usable.
	NoneUsable
)

// Pick returns the endpoint for a request and counts the request there; the
// caller must call Done.
func (d *Directory) Pick(q Query, now time.Time) (Target, PickResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.byService[q.Service]
	best, verdict := d.pick(list, q, now, d.canEject(list, q, now))
	if best == nil && verdict == NoneUsable {
		best, verdict = d.pick(list, q, now, false)
	}
	if best == nil {
		return Target{}, verdict
	}
	best.localRunning++
	return Target{registration: best.registration, key: best.key, kind: q.Kind, pickedAt: now}, Picked
}

// mayRest reports whether few enough endpoints rest to do without them.
func (d *Directory) canEject(list []*Endpoint, q Query, now time.Time) bool {
	usable, resting := 0, 0
	for _, e := range list {
		if !d.usable(e, now) {
			continue
		}
		usable++
		if e.health.ejected(q.Once, now) {
			resting++
		}
	}
	return float64(resting) <= maxEjectedShare*float64(usable)
}

// pick returns the endpoint with the least expected cost, without those that rest if skip is set.
func (d *Directory) pick(list []*Endpoint, q Query, now time.Time, skip bool) (*Endpoint, PickResult) {
	var best *Endpoint
	lowest, verdict := 0.0, NoneUsable
	typicalTime := d.typicalTime(q.Kind)
	for _, e := range list {
		if !d.usable(e, now) || q.ExcludedIDs[e.registration.ID] || (skip && e.health.ejected(q.Once, now)) {
			continue
		}
		if e.load() >= e.registration.Slots+q.MaxQueued {
			verdict = AllBusy
			continue
		}
		score := e.cost(q, typicalTime, now)
		if best == nil || score < lowest {
			best, lowest = e, score
		}
	}
	if best != nil {
		return best, Picked
	}
	return nil, verdict
}

// Room returns how many requests the usable endpoints of a service could start
// at once, and their slots in all.
func (d *Directory) Capacity(service string, now time.Time) (free, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.byService[service] {
		if !d.usable(e, now) {
			continue
		}
		slots += e.registration.Slots
		free += max(0, e.registration.Slots-e.load())
	}
	return free, slots
}
