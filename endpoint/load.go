package endpoint

import "time"

// reportLifetime is how long the load report of another instance counts; a few
// reports may be lost.
const loadReportTTL = 1500 * time.Millisecond

// Load is what an instance has running at an endpoint.
type Load struct {
	// Endpoint is the Key of the endpoint.
	Endpoint uint64
	// Running is the number of requests.
	Running int
}

// Loads returns what this instance has running.
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

// Report takes over what another instance has running.
func (d *Directory) UpdatePeerLoads(from string, loads []Load, now time.Time) {
	m := make(map[uint64]int, len(loads))
	for _, l := range loads {
		m[l.Endpoint] = l.Running
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerReports[from] = loadReport{receivedAt: now, loads: m}
	d.sumPeerLoads(now)
	d.notifyChanged()
}

// countOthers adds up the reports; mu is held.
func (d *Directory) sumPeerLoads(now time.Time) {
	sums := map[uint64]int{}
	for from, r := range d.peerReports {
		if now.Sub(r.receivedAt) > loadReportTTL {
			delete(d.peerReports, from)
			continue
		}
		for key, n := range r.loads {
			sums[key] += n
		}
	}
	for _, e := range d.byID {
		e.peerRunning = sums[e.key]
	}
}

// Done notes that a request has left an endpoint.
func (d *Directory) Release(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.byID[t.ID()]; ok && e.localRunning > 0 {
		e.localRunning--
		d.notifyChanged()
	}
}

// Succeeded notes a good answer of an endpoint and how long it took.
func (d *Directory) RecordSuccess(t Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.byID[t.ID()]; ok {
		e.health.recordSuccess()
		d.recordDuration(e, t, now)
	}
}

// Failed notes that an endpoint failed; gone is set when it took no connection or ended
// one before an answer, as an endpoint does that is down.
func (d *Directory) RecordFailure(t Target, gone bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.byID[t.ID()]; ok {
		e.health.recordFailure(now, gone)
	}
}
