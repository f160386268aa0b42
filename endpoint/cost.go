package endpoint

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// nearWorth is what an endpoint in the own failure domain saves: a round trip
	// between domains takes one to three milliseconds.
	localDomainSaving = 2 * time.Millisecond
	// crowdShare is how much longer a request takes for each other one that the
	// endpoint runs: an engine's step of 2.42 ms grows by 0.036 ms a request.
	loadShare = 0.015
	// fullRisk is the expected wait, as a share of a request's time, at an endpoint
	// whose last slot seems free: reports are old, and other instances choose it too.
	contentionShare = 0.04
	// fullPower makes that risk small at endpoints that are half empty.
	contentionPower = 4
	// coldShare is how much longer a request takes at an endpoint that has just started.
	coldShare = 0.5
	// jitterShare of a request's time is added at random, so that instances with the
	// same view choose different endpoints.
	jitterShare = 0.02
)

// cost is the time that a request is expected to take at an endpoint beyond what it
// takes at an idle one, in milliseconds; typical is the usual time of its kind.
func (e *Endpoint) cost(q Query, typical time.Duration, now time.Time) float64 {
	usual := milliseconds(typical)
	slots, load := float64(e.registration.Slots), float64(e.load())
	share := loadShare*load + contentionShare*math.Pow((load+1)/slots, contentionPower)
	if load >= slots {
		share += (load - slots + 1) / slots
	}
	if now.Before(e.coldUntil) {
		share += coldShare
	}
	share += e.slowdown.excessIfSlow(now) + jitterShare*rand.Float64()
	cost := share * usual
	if !q.IgnoreDomain && e.registration.Domain == q.LocalDomain {
		cost -= milliseconds(localDomainSaving)
	}
	if e.registration.ID == q.PreferredID {
		cost -= milliseconds(q.PreferredSaving)
	}
	return cost
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
