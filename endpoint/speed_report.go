package endpoint

import (
	"math"
	"time"

	"github.com/lavendervale/lavendervale/speed"
)

// maxSpeedReports is the number of reports that are kept for an endpoint, those with the greatest weight.
const maxSpeedReports = 16

// SpeedReport is how fast an incarnation of an endpoint is by the observations of one instance.
type SpeedReport struct {
	// Endpoint is the Key of the endpoint.
	Endpoint uint64
	// StartedUnixMS is the start time of its incarnation in Unix milliseconds.
	StartedUnixMS int64
	// Ratio is the time that a request takes there over that at a median endpoint of the service.
	Ratio float64
	// Observations is the number of observations.
	Observations int
	// Age is the time since the latest observation.
	Age time.Duration
}

// Valid reports whether a report of another instance can be true and is young enough to count.
func (r SpeedReport) Valid() bool {
	return r.Ratio >= 1/maxSpeedRatio && r.Ratio <= maxSpeedRatio && r.Observations > 0 && r.Age >= 0 && r.Age <= speed.MaxAge
}

// peerSpeed is the report of another instance.
type peerSpeed struct {
	// peer is the Key of the instance's name.
	peer uint64
	// deviation is the logarithm of the ratio.
	deviation    float64
	observations int
	observedAt   time.Time
}

// weight returns the weight of a report: its observations, up to maxReportWeight, which fade with time.
func (p peerSpeed) weight(now time.Time) float64 {
	return reportWeight(p.observations, now.Sub(p.observedAt))
}

func reportWeight(observations int, age time.Duration) float64 {
	if age > speed.MaxAge {
		return 0
	}
	return float64(min(observations, maxReportWeight)) * math.Exp2(-max(0, age.Seconds())/speedHalfLife.Seconds())
}

// Speeds returns the speeds that this instance has observed itself, as of the latest refresh.
func (d *Directory) Speeds(now time.Time) []SpeedReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []SpeedReport
	for _, e := range d.byID {
		s := &e.speed
		age := s.own.Age + max(0, now.Sub(d.speedsRefreshedAt))
		if s.own.Observations == 0 || age > speed.MaxAge || !e.missingSince.IsZero() {
			continue
		}
		out = append(out, SpeedReport{
			Endpoint: e.key, StartedUnixMS: e.registration.StartedUnixMS, Ratio: min(maxSpeedRatio, max(1/maxSpeedRatio, math.Exp(s.deviation))), Observations: s.own.Observations, Age: age,
		})
	}
	return out
}

// ApplySpeeds takes over the reports of another instance, named by peer, and returns the number of those
// that are invalid, which change nothing. If the start time of an endpoint is unknown, a report from
// before its registration may be of an earlier incarnation.
func (d *Directory) ApplySpeeds(peer string, reports []SpeedReport, now time.Time) (invalid int) {
	if len(reports) == 0 {
		return 0
	}
	key := Key(peer)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reports {
		if !r.Valid() {
			invalid++
			continue
		}
		e, ok := d.byKey[r.Endpoint]
		observedAt := now.Add(-r.Age)
		if !ok || r.StartedUnixMS != e.registration.StartedUnixMS || (r.StartedUnixMS == 0 && observedAt.Before(e.addedAt)) {
			continue
		}
		d.speedsOf(e.registration.Service)
		e.speed.put(peerSpeed{peer: key, deviation: math.Log(r.Ratio), observations: r.Observations, observedAt: observedAt}, now)
	}
	return invalid
}

// put replaces the report of an instance, or that with the least weight if there are too many.
func (s *endpointSpeed) put(p peerSpeed, now time.Time) {
	if s.knownSince.IsZero() {
		s.knownSince = now
	}
	least, leastWeight := -1, math.Inf(1)
	for i := range s.reports {
		if s.reports[i].peer == p.peer {
			if p.observedAt.Before(s.reports[i].observedAt.Add(-speed.IntervalLength)) {
				return
			}
			s.reports[i] = p
			return
		}
		if w := s.reports[i].weight(now); w < leastWeight {
			least, leastWeight = i, w
		}
	}
	switch {
	case len(s.reports) < maxSpeedReports:
		s.reports = append(s.reports, p)
	case p.weight(now) > leastWeight:
		s.reports[least] = p
	}
}

// merge computes the estimate from the observations of this instance and the reports of others: what
// most of them agree on by weight, which a few wrong reports don't change.
func (s *endpointSpeed) merge(spanNeeded time.Duration, now time.Time) {
	var buffer [maxSpeedReports + 1]speed.Weighted
	values := buffer[:0]
	s.observations, s.age = s.own.Observations, speed.MaxAge
	if s.own.Observations > 0 {
		values = append(values, speed.Weighted{Value: s.deviation, Weight: reportWeight(s.own.Observations, s.own.Age)})
		s.age = s.own.Age
	}
	kept := s.reports[:0]
	for _, p := range s.reports {
		if w := p.weight(now); w > 0 {
			kept = append(kept, p)
			values = append(values, speed.Weighted{Value: p.deviation, Weight: w})
			s.observations += p.observations
			s.age = min(s.age, now.Sub(p.observedAt))
		}
	}
	s.reports = kept
	if len(values) == 0 {
		s.knownSince = time.Time{}
	}
	s.known = s.observations >= minSpeedObservations && now.Sub(s.knownSince) >= spanNeeded
	s.merged, s.center = speed.Agreed(values), speed.Median(values)
}
