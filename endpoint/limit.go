package endpoint

import "time"

const (
	// endedLimitReports is how long the end of a limit is reported to other instances.
	endedLimitReports = 10 * time.Second
	// limitedShare is the share of a request's time that is added at an endpoint that names
	// a limit: the others are used first.
	limitedShare = 0.1
	// minTypicalTime bounds the rate that is expected of an endpoint without a limit.
	minTypicalTime = time.Millisecond
	// maxPermitBlock bounds how long an instance waits until it asks for a permit again.
	maxPermitBlock = 1250 * time.Millisecond
)

// Limit is the rate limit of an endpoint; its zero value is none.
type Limit struct {
	// Named is set if the endpoint names a limit.
	Named bool
	// PerSecond is the number of requests per second that the endpoint takes from all
	// instances together.
	PerSecond float64
}

// LimitReport is the limit that an instance read in the latest response of an endpoint.
type LimitReport struct {
	// Endpoint is the Key of the endpoint.
	Endpoint uint64
	// StartedUnixMS is the start time of its incarnation in Unix milliseconds.
	StartedUnixMS int64
	Limit
	// Age is the time since the response.
	Age time.Duration
}

// limitState is what this instance knows of the limit of an endpoint.
type limitState struct {
	Limit
	// observedAt is when the response that told the limit arrived, zero before the first.
	observedAt time.Time
	// namedAt is when a response last named a limit.
	namedAt time.Time
	// secondHand is set if another instance got that response. Only the instance that got
	// it reports it, so that its age can't be lost on the way.
	secondHand bool
	// permitPending is set while a picked request waits for its permit.
	permitPending bool
	// blockedUntil is when the next permit may be free.
	blockedUntil time.Time
}

// update replaces the limit by a later observation and reports whether it has changed.
func (s *limitState) update(limit Limit, observedAt time.Time, secondHand bool) bool {
	changed := s.Limit != limit
	s.Limit, s.observedAt, s.secondHand = limit, observedAt, secondHand
	if limit.Named {
		s.namedAt = observedAt
	} else {
		s.blockedUntil = time.Time{}
	}
	return changed
}

// blocked reports whether a request has to wait before it can ask for a permit.
func (s *limitState) blocked(now time.Time) bool {
	return s.Named && (s.permitPending || now.Before(s.blockedUntil))
}

// RecordLimit notes which limit an endpoint named in its response to a request, and reports
// whether that changes the limit. A response to a request that was sent before the limit was
// observed does not end the limit: both may have crossed.
func (d *Directory) RecordLimit(t Target, limit Limit, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.find(t)
	if !ok || (!limit.Named && t.pickedAt.Before(e.limit.observedAt)) {
		return false
	}
	changed := e.limit.update(limit, now, false)
	if changed {
		d.notifyChanged()
	}
	return changed
}

// Limits returns the limits that responses to this instance named, and those that have ended
// within endedLimitReports.
func (d *Directory) Limits(now time.Time) []LimitReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []LimitReport
	for _, e := range d.byID {
		s := e.limit
		if s.secondHand || s.namedAt.IsZero() || (!s.Named && now.Sub(s.namedAt) > endedLimitReports) {
			continue
		}
		out = append(out, LimitReport{Endpoint: e.key, StartedUnixMS: e.registration.StartedUnixMS, Limit: s.Limit, Age: now.Sub(s.observedAt)})
	}
	return out
}

// ApplyLimits takes over the reports of another instance that are later than what this one
// knows, and returns the IDs of endpoints whose limit has changed. If the start time of an
// endpoint is unknown, a report from before its registration may be of an earlier incarnation.
func (d *Directory) ApplyLimits(reports []LimitReport, now time.Time) []string {
	if len(reports) == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []string
	for _, r := range reports {
		e, ok := d.byKey[r.Endpoint]
		observedAt := now.Add(-r.Age)
		if !ok || r.StartedUnixMS != e.registration.StartedUnixMS || !observedAt.After(e.limit.observedAt) {
			continue
		}
		if r.StartedUnixMS == 0 && observedAt.Before(e.addedAt) {
			continue
		}
		if e.limit.update(r.Limit, observedAt, true) {
			changed = append(changed, e.registration.ID)
		}
	}
	if len(changed) > 0 {
		d.notifyChanged()
	}
	return changed
}

// PermitTaken notes that a picked request has its permit.
func (d *Directory) PermitTaken(t Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok {
		e.limit.permitPending = false
		d.notifyChanged()
	}
}

// PermitDenied notes that a picked request got no permit and is not sent, and that the next
// permit may be free after wait.
func (d *Directory) PermitDenied(t Target, wait time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok {
		e.limit.permitPending, e.limit.blockedUntil = false, now.Add(min(wait, maxPermitBlock))
		if e.localRunning > 0 {
			d.setRunning(e, e.localRunning-1, e.peerRunning, now)
		}
		d.notifyChanged()
	}
}

// Throughput is the rate at which an instance can expect to send requests to a service of which
// endpoints name limits.
type Throughput struct {
	// PerSecond is the instance's part of what all endpoints take, equal for all instances.
	PerSecond float64
	// Next is how long until the instance may ask for a permit again, 0 if an endpoint
	// needs none.
	Next time.Duration
}

// LimitedThroughput returns the rate at which this instance can expect to send requests of a
// kind to a service, or false if no usable endpoint names a limit. Those without a limit are
// expected to have all slots busy.
func (d *Directory) LimitedThroughput(service, kind string, now time.Time) (Throughput, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expirePeerLoads(now)
	sum, limited := 0.0, false
	next := maxPermitBlock
	seconds := max(minTypicalTime, d.typicalTime(kind)).Seconds()
	for _, e := range d.byService[service] {
		switch {
		case !d.usable(e, now):
		case e.limit.Named:
			limited = true
			sum += e.limit.PerSecond
			next = min(next, max(0, e.limit.blockedUntil.Sub(now)))
		default:
			sum += float64(e.registration.Slots) / seconds
			next = 0
		}
	}
	return Throughput{PerSecond: sum / float64(1+len(d.peers.reports)), Next: next}, limited
}
