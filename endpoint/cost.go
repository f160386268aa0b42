package endpoint

import (
	"math"
	"time"
)

const (
	// localDomainSaving is the time saved by an endpoint in the failure domain of this
	// instance: a round trip between domains takes one to three milliseconds.
	localDomainSaving = 2 * time.Millisecond
	// contentionShare is the expected wait, as a share of a request's time, at an endpoint
	// with one free slot: load reports lag, and other instances may take the slot too.
	contentionShare = 0.04
	// contentionPower is the exponent by which that wait falls with the load; it makes the
	// wait negligible at endpoints that are half empty.
	contentionPower = 4
	// coldShare is the share of a request's time that is added at an endpoint that has just
	// started.
	coldShare = 0.5
	// jitterShare is the upper bound of a random addition, as a share of a request's time,
	// so that instances with the same view choose different endpoints.
	jitterShare = 0.02
)

// costInputs is what the costs of all endpoints of a service have in common.
type costInputs struct {
	// typical is the typical time of the request's kind.
	typical time.Duration
	// loadShare is the share of that time that is added by each other request running at the endpoint.
	loadShare float64
	// speedWeight is the weight of what a request takes longer or shorter at an endpoint because of its
	// speed, from 0 to 1.
	speedWeight float64
}

// cost returns the time in milliseconds that a request is expected to take at the endpoint
// beyond its time at an idle one of median speed, less what the endpoint saves by its failure domain or
// its cache. The random number draw spreads the requests of instances that know the same.
func (e *Endpoint) cost(q Query, in costInputs, draw float64, now time.Time) float64 {
	typicalMS := milliseconds(in.typical)
	slots, load := float64(e.registration.Slots), float64(e.load())
	penalty := in.loadShare*load + contentionShare*math.Pow((load+1)/slots, contentionPower)
	// Beyond the slots, the request waits until enough others have finished.
	if load >= slots {
		penalty += (load - slots + 1) / slots
	}
	if now.Before(e.coldUntil) {
		penalty += coldShare
	}
	if e.limit.Named && e.registration.ID != q.PreferredID {
		penalty += limitedShare
	}
	// The slowdown is relative to the usual time at the endpoint itself.
	penalty += e.slowdown.excessIfSlow(now)*e.speed.ratio() + jitterShare*draw
	penalty += errorCost * e.errorRate(now)
	cost := (penalty + in.speedWeight*e.speed.extra) * typicalMS
	if !q.IgnoreDomain && e.registration.Domain == q.LocalDomain {
		cost -= milliseconds(localDomainSaving)
	}
	if e.registration.ID == q.PreferredID {
		cost -= milliseconds(q.PreferredSaving)
	}
	return cost
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
