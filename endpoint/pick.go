package endpoint

import (
	"math/rand/v2"
	"time"
)

// Query describes the request that an endpoint is wanted for.
type Query struct {
	// Service is the service that must run it.
	Service string
	// Depth is how many requests beyond its slots an endpoint may hold.
	Depth int
	// Near is the failure domain of this instance, preferred among equals.
	Near string
	// Prefer is the endpoint that holds the conversation, or empty.
	Prefer string
	// PreferWorth is how many more requests the preferred endpoint may hold than
	// the least busy one.
	PreferWorth float64
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

const (
	// nearWorth is what the own failure domain is worth, in requests; it decides
	// among endpoints that are equally busy.
	nearWorth = 0.3
	// coldPenalty is what a cold endpoint counts more, in requests.
	coldPenalty = 4.0
)

// Pick returns the endpoint for a request and counts the request there; the
// caller must call Done.
func (d *Directory) Pick(q Query, now time.Time) (Target, Verdict) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.services[q.Service]
	best, verdict := d.pick(list, q, now, d.mayRest(list, now))
	if best == nil && verdict == None {
		best, verdict = d.pick(list, q, now, false)
	}
	if best == nil {
		return Target{}, verdict
	}
	best.running++
	return Target{entry: best.entry, key: best.key}, Picked
}

// mayRest reports whether few enough endpoints rest to do without them.
func (d *Directory) mayRest(list []*Endpoint, now time.Time) bool {
	usable, resting := 0, 0
	for _, e := range list {
		if !d.usable(e, now) {
			continue
		}
		usable++
		if e.health.resting(now) {
			resting++
		}
	}
	return float64(resting) <= maxRestingShare*float64(usable)
}

// pick returns the least busy endpoint, without those that rest if skip is set.
func (d *Directory) pick(list []*Endpoint, q Query, now time.Time, skip bool) (*Endpoint, Verdict) {
	var best *Endpoint
	lowest, verdict := 0.0, None
	for _, e := range list {
		if !d.usable(e, now) || q.Avoid[e.entry.ID] || (skip && e.health.resting(now)) {
			continue
		}
		if e.load() >= e.entry.Slots+q.Depth {
			verdict = Busy
			continue
		}
		score := e.score(q, now)
		if best == nil || score < lowest {
			best, lowest = e, score
		}
	}
	if best != nil {
		return best, Picked
	}
	return nil, verdict
}

// score is the expected wait in requests; a random part keeps instances with the
// same view from choosing the same endpoint.
func (e *Endpoint) score(q Query, now time.Time) float64 {
	s := float64(e.load()) + rand.Float64()*0.5
	if !q.NoNear && e.entry.Domain == q.Near {
		s -= nearWorth
	}
	if e.entry.ID == q.Prefer {
		s -= q.PreferWorth
	}
	if now.Before(e.warmAt) {
		s += coldPenalty
	}
	return s
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
