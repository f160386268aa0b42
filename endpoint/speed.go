package endpoint

import (
	"math"
	"time"

	"github.com/lavendervale/lavendervale/speed"
)

const (
	// speedRefreshInterval is the least time between two computations of the speeds. Reports arrive at this
	// interval, and with 1,000 endpoints a computation takes up to 4 ms, for which picks wait.
	speedRefreshInterval = 500 * time.Millisecond
	// minSpeedObservations is the number of observations from which on the speed of an endpoint counts.
	minSpeedObservations = 8
	// minReportSpan is for how long other fronts must have reported a speed at a service of which this one
	// has observed nothing itself.
	minReportSpan = 2500 * time.Millisecond
	// minSpeedRatio is the ratio of the slowest to the fastest endpoint of a service from which on speeds
	// count, and minSpeedTime how long it must have lasted.
	minSpeedRatio, minSpeedTime = 1.2, 2 * time.Second
	// maxSpeedRatio bounds the ratio of an endpoint's time to the median of its service, and its inverse.
	maxSpeedRatio = 10.0
	// exploringShare is the share of requests that are placed as if all endpoints were equally fast, so
	// that the slow ones are observed too. It must be at most unbiasedShare.
	exploringShare = 0.01
	// fullyLoadedShare and lightlyLoadedShare are the shares of a service's capacity that are free where
	// speeds count nothing, and in full. Load reports are a tenth of a second old, as long as a
	// request takes at a fast endpoint. On a busy service, all instances that see the same free slot
	// of a fast endpoint send to it at once: in the simulation of TestTurnsAreFasterWhereEnginesDiffer,
	// speeds that count in full at six tenths of the capacity lengthen turns from 0.19 to 0.22 s.
	fullyLoadedShare, lightlyLoadedShare = 0.3, 0.6
	// reportedSpeedChange is the factor from which on a change of a speed in use is worth a log line.
	reportedSpeedChange = 1.2
	// maxReportWeight bounds the weight of the observations of one instance among the others'.
	maxReportWeight = 64
	// speedHalfLife is the half-life of the weight of a report.
	speedHalfLife = 10 * time.Second
)

// endpointSpeed is what this instance knows of the speed of an incarnation. Its zero value is an
// endpoint without observations.
type endpointSpeed struct {
	// extra is the time that a request takes longer than at a median endpoint of the service, as a share
	// of the time there; it is negative at fast endpoints, and 0 while speeds don't count.
	extra float64
	// window has the observations of this instance, nil before the first.
	window *speed.Window
	// reports are those of other instances, at most maxSpeedReports.
	reports []peerSpeed
	// knownSince is when the first observation or report arrived, zero before.
	knownSince time.Time
	// own is the estimate from window as of the latest refresh, and deviation its logarithmic distance
	// from the median of the service.
	own       speed.Estimate
	deviation float64
	// known is set if there are enough observations, of all instances together; merged is then the
	// logarithm of the ratio of the endpoint's time to the median, of which most observations say that it
	// is that far from it at least.
	known  bool
	merged float64
	// center is the median of the observations of all instances, without observations 0.
	center float64
	// observations counts those of all instances, and age is that of the latest.
	observations int
	age          time.Duration
	// logged is extra when it was last returned by RefreshSpeeds.
	logged float64
	// meanLoad is the moving average of the load at the events of this instance.
	meanLoad float64
}

// ratio returns the ratio of the endpoint's time to that of a median endpoint, 1 while speeds don't count.
func (s *endpointSpeed) ratio() float64 { return 1 + s.extra }

// observe adds an observation of this instance.
func (s *endpointSpeed) observe(value float64, now time.Time) {
	if s.window == nil {
		s.window = &speed.Window{}
	}
	if s.knownSince.IsZero() {
		s.knownSince = now
	}
	s.window.Observe(value, now)
}

// serviceSpeeds is what this instance knows of the speeds of the endpoints of one service.
type serviceSpeeds struct {
	// differSince is since when the endpoints have differed by more than minSpeedRatio, or zero.
	differSince time.Time
	// inUse is set while the speeds count in picks.
	inUse bool
	// spread is the ratio of the slowest to the fastest endpoint, 1 if none is known.
	spread float64
	// load relates the logarithm of the time of a token to the load of the endpoint, prompt the time to
	// the first event in milliseconds to the tokens of the prompt.
	load, prompt speed.Line
	// meanLoad is the moving average of the load at events.
	meanLoad float64
	// loadShare and promptRate are the values in use, 0 until they are known.
	loadShare, promptRate float64
}

// SpeedChange is a change of the speed of an endpoint in use.
type SpeedChange struct {
	// ID is that of the endpoint.
	ID string
	// Ratio is the ratio of the endpoint's time to that of a median endpoint of its service.
	Ratio float64
	// Observations is the number of observations of all instances, and Age the age of the latest.
	Observations int
	Age          time.Duration
}

// speedsOf returns the speeds of a service, which it creates if necessary; d.mu must be held.
func (d *Directory) speedsOf(service string) *serviceSpeeds {
	s, ok := d.speeds[service]
	if !ok {
		s = &serviceSpeeds{spread: 1}
		d.speeds[service] = s
	}
	return s
}

// RecordTokenTime notes the time per token between two events of a stream.
func (d *Directory) RecordTokenTime(t Target, perToken time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.find(t)
	if !ok || perToken <= 0 || now.Before(e.coldUntil) {
		return
	}
	s := d.speedsOf(e.registration.Service)
	others := float64(max(0, e.load()-1))
	if own := e.speed.own; own.Observations >= minSpeedObservations {
		y := math.Log(milliseconds(perToken)) - own.Mid
		s.load.Observe(others-e.speed.meanLoad, min(max(y, -maxLoadDeviation), maxLoadDeviation), now)
	}
	e.speed.meanLoad += typicalTimeWeight * (others - e.speed.meanLoad)
	s.meanLoad += typicalTimeWeight * (others - s.meanLoad)
	e.speed.observe(milliseconds(perToken)/(1+s.shareOfLoad()*others), now)
}

// RefreshSpeeds brings the speeds of all endpoints up to date, at most once in speedRefreshInterval, and
// returns those in use that have changed considerably.
func (d *Directory) RefreshSpeeds(now time.Time) []SpeedChange {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.speedsRefreshedAt) < speedRefreshInterval {
		return nil
	}
	d.speedsRefreshedAt = now
	var changes []SpeedChange
	for service, s := range d.speeds {
		endpoints := d.byService[service]
		if len(endpoints) == 0 {
			delete(d.speeds, service)
			continue
		}
		spanNeeded := minReportSpan
		if s.load.Observations() > 0 {
			spanNeeded = 0
		}
		d.estimate(endpoints, spanNeeded, now)
		s.update(d.spread(endpoints, now), now)
		for _, e := range endpoints {
			if e.speed.use(s.inUse) {
				changes = append(changes, SpeedChange{ID: e.registration.ID, Ratio: e.speed.ratio(), Observations: e.speed.observations, Age: e.speed.age})
			}
		}
	}
	return changes
}

// estimate computes the speeds of the endpoints of one service, which count once an endpoint has been
// observed for spanNeeded; d.mu must be held.
func (d *Directory) estimate(endpoints []*Endpoint, spanNeeded time.Duration, now time.Time) {
	base, ok := d.base(endpoints, now)
	centers := d.scratch[:0]
	for _, e := range endpoints {
		s := &e.speed
		s.deviation = 0
		if ok && s.own.Observations > 0 {
			s.deviation = bounded(s.own.Deviation(base))
		}
		s.merge(spanNeeded, now)
		if s.observations > 0 {
			centers = append(centers, speed.Weighted{Value: s.center, Weight: 1})
		}
	}
	// Reports are relative to the median of those endpoints that their front has observed.
	median := speed.Median(centers)
	for _, e := range endpoints {
		if e.speed.observations > 0 {
			e.speed.center = bounded(e.speed.center - median)
			e.speed.merged = bounded(e.speed.merged - median)
		}
	}
	d.scratch = centers
}

// base brings the estimates of this instance up to date and returns the logarithm of the time at a
// median endpoint, false without any observations. The observations of all instances count, so that an
// instance that has met a few fast endpoints only does not take them for median ones; d.mu must be
// held.
func (d *Directory) base(endpoints []*Endpoint, now time.Time) (float64, bool) {
	values := d.scratch[:0]
	for _, e := range endpoints {
		s := &e.speed
		if s.window == nil {
			continue
		}
		s.own = s.window.Estimate(now)
		if s.own.Observations > 0 {
			values = append(values, speed.Weighted{Value: s.own.Mid - s.center, Weight: 1})
		}
	}
	d.scratch = values
	return speed.Median(values), len(values) > 0
}

// spread returns the ratio of the slowest to the fastest usable endpoint of which the speed is known;
// d.mu must be held.
func (d *Directory) spread(endpoints []*Endpoint, now time.Time) float64 {
	lowest, highest := 0.0, 0.0
	for _, e := range endpoints {
		if e.speed.known && d.usable(e, now) {
			lowest, highest = min(lowest, e.speed.merged), max(highest, e.speed.merged)
		}
	}
	return math.Exp(highest - lowest)
}

// update notes how much the endpoints differ.
func (s *serviceSpeeds) update(spread float64, now time.Time) {
	s.spread = spread
	switch {
	case spread <= minSpeedRatio:
		s.differSince = time.Time{}
	case s.differSince.IsZero():
		s.differSince = now
	}
	s.inUse = !s.differSince.IsZero() && now.Sub(s.differSince) >= minSpeedTime
	s.learnShares()
}

// use puts the speed into use, or out of it, and reports whether it has changed considerably since it
// was last reported.
func (s *endpointSpeed) use(inUse bool) bool {
	s.extra = 0
	if inUse && s.known {
		s.extra = math.Exp(s.merged) - 1
	}
	if change := (1 + s.extra) / (1 + s.logged); change > reportedSpeedChange || change < 1/reportedSpeedChange {
		s.logged = s.extra
		return true
	}
	return false
}

// speedWeight returns how much speeds count in a pick, from 0 to 1: by the share of the service's
// capacity that is free; d.mu must be held.
func (d *Directory) speedWeight(service string, endpoints []*Endpoint, now time.Time) float64 {
	if s := d.speeds[service]; s == nil || !s.inUse {
		return 0
	}
	free, capacity := 0.0, 0.0
	for _, e := range endpoints {
		if !d.usable(e, now) {
			continue
		}
		perSlot := 1 / e.speed.ratio()
		capacity += perSlot * float64(e.registration.Slots)
		free += perSlot * float64(max(0, e.registration.Slots-e.load()))
	}
	if capacity == 0 {
		return 0
	}
	return min(1, max(0, (free/capacity-fullyLoadedShare)/(lightlyLoadedShare-fullyLoadedShare)))
}

// SpeedSpread returns the ratio of the slowest to the fastest endpoint of the service where it is
// greatest, 1 if no speeds are known.
func (d *Directory) SpeedSpread() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	greatest := 1.0
	for _, s := range d.speeds {
		greatest = max(greatest, s.spread)
	}
	return greatest
}

// bounded limits the logarithm of a ratio to that of maxSpeedRatio.
func bounded(log float64) float64 {
	return min(max(log, -math.Log(maxSpeedRatio)), math.Log(maxSpeedRatio))
}
