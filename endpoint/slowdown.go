package endpoint

import (
	"math"
	"time"
)

const (
	// firstTypical is the time of a request of a kind that has not been seen yet.
	defaultTypicalTime = 100 * time.Millisecond
	// typicalWeight is the weight of one request in the usual time of its kind.
	typicalTimeWeight = 0.05
	// paceWeight is the weight of one request in the pace of its endpoint.
	slowdownWeight = 0.2
	// slowLimit is the pace from which an endpoint counts as slow: sizes of requests
	// differ, and the average over some of them stays below it at a sound endpoint.
	slowRatio = 1.8
	// paceHalfLife is the time in which a pace is half forgotten without new requests,
	// so that a slow endpoint is tried again.
	slowdownHalfLife = 2 * time.Second
	// maxRatio bounds what one request says about its endpoint.
	maxObservedRatio = 12
)

// pace is how long requests take at an endpoint against the usual time of their
// kinds; its zero value is an endpoint that nothing is known of.
type slowdown struct {
	// deviation is the average of the ratio less one.
	excessRatio float64
	updatedAt        time.Time
}

// observe takes the ratio of a request's time to the usual one.
func (p *slowdown) observe(ratio float64, now time.Time) {
	p.excessRatio = p.decayed(now)
	p.excessRatio += slowdownWeight * (min(ratio, maxObservedRatio) - 1 - p.excessRatio)
	p.updatedAt = now
}

func (p *slowdown) decayed(now time.Time) float64 {
	if p.updatedAt.IsZero() {
		return 0
	}
	return p.excessRatio * math.Exp2(-now.Sub(p.updatedAt).Seconds()/slowdownHalfLife.Seconds())
}

// excess is how much longer than usual a request takes, as a share, 0 at an endpoint
// that is not slow.
func (p *slowdown) excessIfSlow(now time.Time) float64 {
	if d := p.decayed(now); d > slowRatio-1 {
		return d
	}
	return 0
}

// typical returns the usual time of requests of a kind; mu is held.
func (d *Directory) typicalTime(kind string) time.Duration {
	if t, ok := d.typicalTimes[kind]; ok {
		return t
	}
	return defaultTypicalTime
}

// learn takes over how long a request took at an endpoint; mu is held.
func (d *Directory) recordDuration(e *Endpoint, t Target, now time.Time) {
	took := now.Sub(t.pickedAt)
	usual, ok := d.typicalTimes[t.kind]
	if !ok {
		d.typicalTimes[t.kind] = took
		return
	}
	e.slowdown.observe(float64(took)/float64(max(usual, time.Millisecond)), now)
	d.typicalTimes[t.kind] = usual + time.Duration(typicalTimeWeight*float64(took-usual))
}

// Usual returns the usual time of requests of a kind, and whether one has been seen.
func (d *Directory) TypicalTime(kind string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.typicalTimes[kind]
	return t, ok
}

// Overdue notes that an endpoint takes much longer than usual for a request that still
// runs there.
func (d *Directory) RecordOverdue(t Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual, known := d.typicalTimes[t.kind]
	if e, ok := d.byID[t.ID()]; ok && known {
		e.slowdown.observe(float64(now.Sub(t.pickedAt))/float64(max(usual, time.Millisecond)), now)
	}
}
