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
}

// Loads returns the load of this instance at all endpoints where it has requests running.
func (d *Directory) Loads() []Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Load
	for _, e := range d.byID {
		if e.localRunning > 0 {
			out = append(out, Load{Endpoint: e.key, Running: e.localRunning})
		}
	}
	return out
}

// UpdatePeerLoads replaces the load report of another instance, named by peer.
func (d *Directory) UpdatePeerLoads(peer string, loads []Load, now time.Time) {
	running := make(map[uint64]int, len(loads))
	for _, l := range loads {
		running[l.Endpoint] = l.Running
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerReports[peer] = loadReport{receivedAt: now, loads: running}
	d.sumPeerLoads(now)
	d.notifyChanged()
}

// expirePeerLoads removes load reports that have expired from the sums; d.mu must be held.
func (d *Directory) expirePeerLoads(now time.Time) {
	if !d.oldestReportAt.IsZero() && now.Sub(d.oldestReportAt) > loadReportTTL {
		d.sumPeerLoads(now)
	}
}

// sumPeerLoads deletes expired load reports and adds up the others; d.mu must be held.
func (d *Directory) sumPeerLoads(now time.Time) {
	runningByKey := map[uint64]int{}
	d.oldestReportAt = time.Time{}
	for peer, r := range d.peerReports {
		if now.Sub(r.receivedAt) > loadReportTTL {
			delete(d.peerReports, peer)
			continue
		}
		if d.oldestReportAt.IsZero() || r.receivedAt.Before(d.oldestReportAt) {
			d.oldestReportAt = r.receivedAt
		}
		for key, n := range r.loads {
			runningByKey[key] += n
		}
	}
	for _, e := range d.byID {
		e.peerRunning = runningByKey[e.key]
	}
}

// Release notes that a request counted by Pick is no longer at its endpoint. Like the methods
// below it does nothing if another incarnation has replaced that endpoint.
func (d *Directory) Release(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok && e.localRunning > 0 {
		e.localRunning--
		e.idle.add(time.Now())
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
