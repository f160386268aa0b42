package endpoint

import "time"

// Query describes the request that an endpoint is wanted for.
type Query struct {
	// Service is the service that must run it.
	Service string
	// Depth is how many requests beyond its slots an endpoint may hold.
	Depth int
	// Near is the failure domain of this instance, preferred among equals.
	Near string
	// Kind groups requests that take about equally long, such as those of one route.
	Kind string
	// Once is set for requests that must not run again if their answer is lost.
	Once bool
	// Prefer is the endpoint that holds the conversation, or empty.
	Prefer string
	// PreferWorth is the time that the conversation there saves.
	PreferWorth time.Duration
	// Avoid names endpoints that have failed or refused this request.
	Avoid map[string]bool
	// NoNear leaves the failure domain out of the choice.
	NoNear bool
}

// Verdict tells why no endpoint was picked.
type Verdict uint8

// Verdicts of Pick.
const (
	// Picked means that there is an endpoint.
	Picked Verdict = iota
	// Busy means that all usable endpoints are full.
	Busy
	// None means that no endpoint is usable.
	None
)

// Pick returns the endpoint for a request and counts the request there; the
// caller must call Done.
func (d *Directory) Pick(q Query, now time.Time) (Target, Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.services[q.Service]
	best, verdict := d.pick(list, q, now, d.mayRest(list, q, now))
	if best == nil && verdict == None {
		best, verdict = d.pick(list, q, now, false)
	}
	if best == nil {
		return Target{}, verdict
	}
	best.running++
	return Target{entry: best.entry, key: best.key, kind: q.Kind, picked: now}, Picked
}

// mayRest reports whether few enough endpoints rest to do without them.
func (d *Directory) mayRest(list []*Endpoint, q Query, now time.Time) bool {
	usable, resting := 0, 0
	for _, e := range list {
		if !d.usable(e, now) {
			continue
		}
		usable++
		if e.health.aside(q.Once, now) {
			resting++
		}
	}
	return float64(resting) <= maxRestingShare*float64(usable)
}

// pick returns the endpoint with the least expected cost, without those that rest if skip is set.
func (d *Directory) pick(list []*Endpoint, q Query, now time.Time, skip bool) (*Endpoint, Verdict) {
	var best *Endpoint
	lowest, verdict := 0.0, None
	typical := d.typical(q.Kind)
	for _, e := range list {
		if !d.usable(e, now) || q.Avoid[e.entry.ID] || (skip && e.health.aside(q.Once, now)) {
			continue
		}
		if e.load() >= e.entry.Slots+q.Depth {
			verdict = Busy
			continue
		}
		score := e.cost(q, typical, now)
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
func (d *Directory) Room(service string, now time.Time) (free, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.services[service] {
		if !d.usable(e, now) {
			continue
		}
		slots += e.entry.Slots
		free += max(0, e.entry.Slots-e.load())
	}
	return free, slots
}
