package permit

import (
	"sync"
	"time"
)

const (
	// burst is how long unused permits may still be taken.
	burst = 250 * time.Millisecond
	// minPerSecond is the least rate of permits: only a request shows that an endpoint takes
	// more than it did.
	minPerSecond = 0.2
	// forgetAfter is how long an endpoint without requests is remembered.
	forgetAfter = time.Minute
	// maxPerSecond bounds the rate of permits so that the time between two is not zero.
	maxPerSecond = 1e6
)

// Endpoint identifies an incarnation of an endpoint.
type Endpoint struct {
	// Key is the hash of the endpoint's ID, see endpoint.Key.
	Key uint64
	// StartedUnixMS is the start time of the incarnation in Unix milliseconds; 0 is unknown.
	StartedUnixMS int64
}

// Issuer issues the permits of the endpoints that this front is responsible for. It is safe
// for concurrent use.
type Issuer struct {
	mu sync.Mutex
	// next is when the next permit of each endpoint becomes free.
	next map[Endpoint]time.Time
	// forgotAt is when forget last ran.
	forgotAt time.Time
}

// NewIssuer returns an issuer that knows no endpoint.
func NewIssuer() *Issuer { return &Issuer{next: map[Endpoint]time.Time{}} }

// Take takes a permit of an endpoint that takes so many requests per second, and returns 0. If
// none is free, it returns how long until the next one is.
func (i *Issuer) Take(e Endpoint, perSecond float64, now time.Time) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.forget(now)
	interval := time.Duration(float64(time.Second) / min(maxPerSecond, max(minPerSecond, perSecond)))
	next, known := i.next[e]
	if !known {
		next = now
	}
	if latest := now.Add(interval); next.After(latest) {
		next = latest
	}
	if next.After(now) {
		return next.Sub(now)
	}
	if oldest := now.Add(-burst); next.Before(oldest) {
		next = oldest
	}
	i.next[e] = next.Add(interval)
	return 0
}

// forget deletes endpoints that have been without requests for forgetAfter, at most that
// often; i.mu must be held.
func (i *Issuer) forget(now time.Time) {
	if now.Sub(i.forgotAt) < forgetAfter {
		return
	}
	i.forgotAt = now
	for e, next := range i.next {
		if now.Sub(next) > forgetAfter {
			delete(i.next, e)
		}
	}
}
