package endpoint

import "time"

// loadReportTTL is how long the load report of another instance counts; it spans several
// reports, as some may be lost.
const loadReportTTL = 1500 * time.Millisecond

// Load is the number of requests that one instance has running at an endpoint.
type Load struct {
	// Endpoint is the Key of the endpoint.
	Endpoint uint64
	// Running is the number of requests.
	Running int
	// Good and Errors are decayed counts of responses, zero without a recent error.
	Good, Errors int
}

// Loads returns the load of this instance at all endpoints where it has requests running, or which
// answered it with errors lately.
func (d *Directory) Loads() []Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Load
	now := time.Now()
	for _, e := range d.byID {
		good, errors := e.responses.reported(now)
		if e.localRunning > 0 || errors > 0 {
			out = append(out, Load{Endpoint: e.key, Running: e.localRunning, Good: good, Errors: errors})
		}
	}
	return out
}

// peerLoads adds up the load reports of other instances.
type peerLoads struct {
	// reports is the latest report of each other instance, by its name.
	reports map[string]loadReport
	// sums holds the sums of all reports, by the Key of the endpoint.
	sums map[uint64]Load
	// oldestAt is not after the time at which the oldest report was received, and zero without any.
	oldestAt time.Time
}

// loadReport is what another instance has running at the endpoints.
type loadReport struct {
	receivedAt time.Time
	loads      []Load
}

func newPeerLoads() peerLoads {
	return peerLoads{reports: map[string]loadReport{}, sums: map[uint64]Load{}}
}

// replace replaces the report of an instance.
func (p *peerLoads) replace(peer string, loads []Load, now time.Time) {
	p.add(p.reports[peer].loads, -1)
	p.add(loads, 1)
	p.reports[peer] = loadReport{receivedAt: now, loads: loads}
	if p.oldestAt.IsZero() {
		p.oldestAt = now
	}
}

// add adds loads to the sums, or takes them out with a sign of -1.
func (p *peerLoads) add(loads []Load, sign int) {
	for _, l := range loads {
		sum := p.sums[l.Endpoint]
		sum.Running += sign * l.Running
		sum.Good += sign * l.Good
		sum.Errors += sign * l.Errors
		if sum == (Load{}) {
			delete(p.sums, l.Endpoint)
			continue
		}
		p.sums[l.Endpoint] = sum
	}
}

// expire takes reports that have expired out of the sums and returns their loads.
func (p *peerLoads) expire(now time.Time) []Load {
	if p.oldestAt.IsZero() || now.Sub(p.oldestAt) <= loadReportTTL {
		return nil
	}
	p.oldestAt = time.Time{}
	var expired []Load
	for peer, r := range p.reports {
		if now.Sub(r.receivedAt) > loadReportTTL {
			p.add(r.loads, -1)
			expired = append(expired, r.loads...)
			delete(p.reports, peer)
			continue
		}
		if p.oldestAt.IsZero() || r.receivedAt.Before(p.oldestAt) {
			p.oldestAt = r.receivedAt
		}
	}
	return expired
}

// UpdatePeerLoads replaces the load report of another instance, named by peer. The directory keeps
// loads, which must not be changed any more.
func (d *Directory) UpdatePeerLoads(peer string, loads []Load, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.peers.reports[peer].loads
	d.peers.replace(peer, loads, now)
	d.applyPeerLoads(previous, now)
	d.applyPeerLoads(loads, now)
	d.expirePeerLoads(now)
	d.notifyChanged()
}

// expirePeerLoads removes load reports that have expired; d.mu must be held.
func (d *Directory) expirePeerLoads(now time.Time) { d.applyPeerLoads(d.peers.expire(now), now) }

// applyPeerLoads brings the endpoints of changed loads up to date; d.mu must be held.
func (d *Directory) applyPeerLoads(changed []Load, now time.Time) {
	for _, l := range changed {
		if e, ok := d.byKey[l.Endpoint]; ok {
			sum := d.peers.sums[l.Endpoint]
			d.setRunning(e, e.localRunning, sum.Running, now)
			e.peerGood, e.peerErrors = sum.Good, sum.Errors
		}
	}
}

// Release notes that a request counted by Pick is no longer at its endpoint. Like the methods
// below it does nothing if another incarnation has replaced that endpoint.
func (d *Directory) Release(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok && e.localRunning > 0 {
		now := time.Now()
		d.setRunning(e, e.localRunning-1, e.peerRunning, now)
		e.idle.add(now)
		d.notifyChanged()
	}
}

// RecordSuccess notes that an endpoint served a request, which took from its Pick until now.
func (d *Directory) RecordSuccess(t Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok {
		e.health.recordSuccess()
		d.recordDuration(e, t, now)
	}
}

// RecordFailure notes that an endpoint failed to serve a request. down is set if it refused
// the connection or closed it before a response, as an endpoint does that is down.
func (d *Directory) RecordFailure(t Target, down bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok {
		e.health.recordFailure(now, down)
	}
}
