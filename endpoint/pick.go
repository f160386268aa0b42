package endpoint

import (
	"time"
)

// Query describes the request that an endpoint is to be picked for.
type Query struct {
	// Service is the name of the service whose endpoints are considered.
	Service string
	// MaxQueued is how many requests beyond its slots an endpoint may hold.
	MaxQueued int
	// MaxLoad is the ratio of running requests to slots, over all usable endpoints of the service, from
	// which on none has room; 0 is no bound.
	MaxLoad float64
	// LocalDomain is the failure domain of this instance; endpoints in it have a lower cost.
	LocalDomain string
	// Kind groups requests that take about the same time, such as those of one route.
	Kind string
	// Once is set for requests that must not run again if their response is lost.
	Once bool
	// PreferredID is the endpoint that holds the conversation in its cache, or empty.
	PreferredID string
	// PreferredSaving is the time that the cache of that endpoint saves.
	PreferredSaving time.Duration
	// ExcludedIDs are endpoints that must not be picked, as they failed or refused the
	// request.
	ExcludedIDs map[string]bool
	// Version is the only software version whose endpoints are considered, or empty for any.
	Version string
	// Unlimited leaves out endpoints that name a rate limit.
	Unlimited bool
	// IgnoreDomain makes the cost independent of the failure domain.
	IgnoreDomain bool
}

// PickResult tells whether an endpoint was picked, and otherwise why not.
type PickResult uint8

// Results of Pick.
const (
	// Picked means that an endpoint was picked.
	Picked PickResult = iota
	// AllBusy means that there are usable endpoints, but none has room.
	AllBusy
	// NoneUsable means that no endpoint is usable for the request.
	NoneUsable
)

// Pick returns the endpoint with the lowest expected cost for a request and counts the
// request there; the caller must call Release. If the endpoint names a limit, the caller must
// first take a permit and call PermitTaken or, in place of Release, PermitDenied. Ejected endpoints are skipped unless no other
// one is usable or too many are ejected.
func (d *Directory) Pick(q Query, now time.Time) (Target, PickResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expirePeerLoads(now)
	if q.MaxLoad > 0 && d.capacity(q.Service, now).Load() >= q.MaxLoad {
		return Target{}, AllBusy
	}
	endpoints := d.byService[q.Service]
	best, result := d.pick(endpoints, q, now, d.canEject(endpoints, q, now))
	if best == nil && result == NoneUsable {
		best, result = d.pick(endpoints, q, now, false)
	}
	if best == nil {
		return Target{}, result
	}
	others := best.load()
	d.setRunning(best, best.localRunning+1, best.peerRunning, now)
	best.idle.take()
	best.limit.permitPending = best.limit.Named
	return Target{endpoint: best, registration: best.registration, kind: q.Kind, pickedAt: now, others: others, limit: best.limit.Limit}, Picked
}

// canEject reports whether few enough endpoints are ejected to do without them; d.mu must be held.
func (d *Directory) canEject(endpoints []*Endpoint, q Query, now time.Time) bool {
	usable, ejectedCount := 0, 0
	for _, e := range endpoints {
		if !d.usable(e, now) {
			continue
		}
		usable++
		if e.health.ejected(q.Once, now) {
			ejectedCount++
		}
	}
	return float64(ejectedCount) <= maxEjectedShare*float64(usable)
}

// pick returns the endpoint with the lowest expected cost, without ejected ones if
// skipEjected is set; d.mu must be held.
func (d *Directory) pick(endpoints []*Endpoint, q Query, now time.Time, skipEjected bool) (*Endpoint, PickResult) {
	var best *Endpoint
	lowestCost, result := 0.0, NoneUsable
	draw := d.config.Draw()
	ignoreIdle := draw < unbiasedShare
	in := costInputs{typical: d.typicalTime(q.Kind), loadShare: d.speeds[q.Service].shareOfLoad()}
	if draw >= exploringShare {
		in.speedWeight = d.speedWeight(q.Service, endpoints, now)
	}
	for _, e := range endpoints {
		if !d.usable(e, now) || (q.Version != "" && e.registration.Version != q.Version) || q.ExcludedIDs[e.registration.ID] || (skipEjected && e.health.ejected(q.Once, now)) {
			continue
		}
		if e.load() >= e.registration.Slots+q.MaxQueued || e.limit.blocked(now) || (q.Unlimited && e.limit.Named) {
			result = AllBusy
			continue
		}
		cost := e.cost(q, in, d.config.Draw(), now)
		if !ignoreIdle {
			cost -= milliseconds(e.idle.saving(q.Once, now))
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = e, cost
		}
	}
	if best != nil {
		return best, Picked
	}
	return nil, result
}
