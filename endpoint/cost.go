package endpoint

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// localDomainSaving is the time saved by an endpoint in the failure domain of this
	// instance: a round trip between domains takes one to three milliseconds.
	localDomainSaving = 2 * time.Millisecond
	// loadShare is the share of a request's time that is added by each other request
	// running at the endpoint: an engine's time per output token, 2.42 ms, grows by
	// 0.036 ms per request.
	loadShare = 0.015
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

// cost returns the time in milliseconds that a request is expected to take at the endpoint
// beyond its time at an idle one, less what the endpoint saves by its failure domain or its
// cache. typical is the typical time of the request's kind.
func (e *Endpoint) cost(q Query, typical time.Duration, now time.Time) float64 {
	typicalMS := milliseconds(typical)
	slots, load := float64(e.registration.Slots), float64(e.load())
	penalty := loadShare*load + contentionShare*math.Pow((load+1)/slots, contentionPower)
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
	penalty += e.slowdown.excessIfSlow(now) + jitterShare*rand.Float64()
	cost := penalty * typicalMS
	if !q.IgnoreDomain && e.registration.Domain == q.LocalDomain {
		cost -= milliseconds(localDomainSaving)
	}
	if e.registration.ID == q.PreferredID {
		cost -= milliseconds(q.PreferredSaving)
	}
	return cost
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
