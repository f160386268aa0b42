package endpoint

import (
	"math"
	"time"
)

const (
	// defaultTypicalTime is assumed for kinds of requests that have not been seen yet.
	defaultTypicalTime = 100 * time.Millisecond
	// typicalTimeWeight is the weight of one request in the moving average of its kind.
	typicalTimeWeight = 0.05
	// slowdownWeight is the weight of one request in the moving average of its endpoint.
	slowdownWeight = 0.2
	// slowRatio is the average ratio above which an endpoint counts as slow. Request sizes
	// differ, but the average over several of them stays below it at a healthy endpoint.
	slowRatio = 1.8
	// slowdownHalfLife is the half-life of a slowdown without new requests, so that a slow
	// endpoint is tried again.
	slowdownHalfLife = 2 * time.Second
	// maxObservedRatio limits the influence of a single request.
	maxObservedRatio = 12
)

// slowdown is the moving average of the ratio of request times at an endpoint to the typical
// times of their kinds. Its zero value is an endpoint without observations.
type slowdown struct {
	// excessRatio is the average ratio minus one, as of updatedAt.
	excessRatio float64
	updatedAt   time.Time
}

// observe adds the ratio of a request's time to the typical time of its kind.
func (s *slowdown) observe(ratio float64, now time.Time) {
	s.excessRatio = s.decayed(now)
	s.excessRatio += slowdownWeight * (min(ratio, maxObservedRatio) - 1 - s.excessRatio)
	s.updatedAt = now
}

// decayed returns the excess ratio after its exponential decay since updatedAt.
func (s *slowdown) decayed(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return s.excessRatio * math.Exp2(-now.Sub(s.updatedAt).Seconds()/slowdownHalfLife.Seconds())
}

// excessIfSlow returns the time that a request takes beyond its typical time, as a share of
// it, or 0 if the endpoint does not count as slow.
func (s *slowdown) excessIfSlow(now time.Time) float64 {
	if d := s.decayed(now); d > slowRatio-1 {
		return d
	}
	return 0
}

// typicalTime returns the typical time of a kind of requests, or the default if none has
// been seen; d.mu must be held.
func (d *Directory) typicalTime(kind string) time.Duration {
	if t, ok := d.typicalTimes[kind]; ok {
		return t
	}
	return defaultTypicalTime
}

// recordDuration updates the averages with the time that a request took from its Pick until
// now; d.mu must be held.
func (d *Directory) recordDuration(e *Endpoint, t Target, now time.Time) {
	duration := now.Sub(t.pickedAt)
	// The time at a median endpoint: what is permanent about the endpoint's speed is no slowdown.
	duration = time.Duration(float64(duration) / e.speed.ratio())
	typical, ok := d.typicalTimes[t.kind]
	if !ok {
		d.typicalTimes[t.kind] = duration
		return
	}
	e.slowdown.observe(float64(duration)/float64(max(typical, time.Millisecond)), now)
	d.typicalTimes[t.kind] = typical + time.Duration(typicalTimeWeight*float64(duration-typical))
}

// TypicalTime returns the typical time of a kind of requests, and whether one has been seen.
func (d *Directory) TypicalTime(kind string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.typicalTimes[kind]
	return t, ok
}

// RecordOverdue updates the slowdown of an endpoint where a request has been running for much
// longer than the typical time of its kind and has not ended yet.
func (d *Directory) RecordOverdue(t Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	typical, known := d.typicalTimes[t.kind]
	if e, ok := d.find(t); ok && known {
		e.slowdown.observe(float64(now.Sub(t.pickedAt))/e.speed.ratio()/float64(max(typical, time.Millisecond)), now)
	}
}
