package endpoint

import (
	"math"
	"time"
)

const (
	// firstTypical is the time of a request of a kind that has not been seen yet.
	firstTypical = 100 * time.Millisecond
	// typicalWeight is the weight of one request in the usual time of its kind.
	typicalWeight = 0.05
	// paceWeight is the weight of one request in the pace of its endpoint.
	paceWeight = 0.2
	// slowLimit is the pace from which an endpoint counts as slow: sizes of requests
	// differ, and the average over some of them stays below it at a sound endpoint.
	slowLimit = 1.8
	// paceHalfLife is the time in which a pace is half forgotten without new requests,
	// so that a slow endpoint is tried again.
	paceHalfLife = 2 * time.Second
	// maxRatio bounds what one request says about its endpoint.
	maxRatio = 12
)

// pace is how long requests take at an endpoint against the usual time of their
// kinds; its zero value is an endpoint that nothing is known of.
type pace struct {
	// deviation is the average of the ratio less one.
	deviation float64
	at        time.Time
}

// observe takes the ratio of a request's time to the usual one.
func (p *pace) observe(ratio float64, now time.Time) {
	p.deviation = p.faded(now)
	p.deviation += paceWeight * (min(ratio, maxRatio) - 1 - p.deviation)
	p.at = now
}

func (p *pace) faded(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return p.deviation * math.Exp2(-now.Sub(p.at).Seconds()/paceHalfLife.Seconds())
}

// excess is how much longer than usual a request takes, as a share, 0 at an endpoint
// that is not slow.
func (p *pace) excess(now time.Time) float64 {
	if d := p.faded(now); d > slowLimit-1 {
		return d
	}
	return 0
}

// typical returns the usual time of requests of a kind; mu is held.
func (d *Directory) typical(kind string) time.Duration {
	if t, ok := d.typicals[kind]; ok {
		return t
	}
	return firstTypical
}

// learn takes over how long a request took at an endpoint; mu is held.
func (d *Directory) learn(e *Endpoint, t Target, now time.Time) {
	took := now.Sub(t.picked)
	usual, ok := d.typicals[t.kind]
	if !ok {
		d.typicals[t.kind] = took
		return
	}
	e.pace.observe(float64(took)/float64(max(usual, time.Millisecond)), now)
	d.typicals[t.kind] = usual + time.Duration(typicalWeight*float64(took-usual))
}

// Usual returns the usual time of requests of a kind, and whether one has been seen.
func (d *Directory) Usual(kind string) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t, ok := d.typicals[kind]
	return t, ok
}

// Overdue notes that an endpoint takes much longer than usual for a request that still
// runs there.
func (d *Directory) Overdue(t Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual, known := d.typicals[t.kind]
	if e, ok := d.byID[t.ID()]; ok && known {
		e.pace.observe(float64(now.Sub(t.picked))/float64(max(usual, time.Millisecond)), now)
	}
}
