package endpoint

import "time"

// capacityTTL is how long a sum over the endpoints of a service is used. Changes of load are added to it
// at once; only endpoints that stop being usable as time passes are seen after up to capacityTTL. It
// bounds the cost at 1,000 endpoints to 200 sums a second.
const capacityTTL = 5 * time.Millisecond

// Capacity is what an instance knows of the load of a service. It counts the usable endpoints only.
type Capacity struct {
	// Slots is the number of slots, Free that of free ones.
	Slots, Free int
	// Running is the number of requests of all instances, with those that wait inside endpoints.
	Running int
	// Reports is the number of other instances whose load is known.
	Reports int
	// ReportAge is the age of the oldest of their reports, 0 without any.
	ReportAge time.Duration
}

// Load returns the ratio of running requests to slots, 0 if there are no slots.
func (c Capacity) Load() float64 {
	if c.Slots <= 0 {
		return 0
	}
	return float64(c.Running) / float64(c.Slots)
}

// sampledCapacity is the capacity of a service: a sum over its endpoints with the changes of load since.
type sampledCapacity struct {
	Capacity
	sampledAt time.Time
	// oldestReportAt is when the oldest load report arrived, zero without any.
	oldestReportAt time.Time
}

// Capacity returns the capacity of a service. Which endpoints are usable may be as of up to capacityTTL
// before now.
func (d *Directory) Capacity(service string, now time.Time) Capacity {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.capacity(service, now).Capacity
}

// capacity returns the capacity of a service, summed up anew if the last sum is too old; d.mu must be
// held.
func (d *Directory) capacity(service string, now time.Time) *sampledCapacity {
	s, ok := d.capacities[service]
	if !ok {
		s = &sampledCapacity{}
		if len(d.byService[service]) > 0 {
			d.capacities[service] = s
		}
	}
	d.expirePeerLoads(now)
	if age := now.Sub(s.sampledAt); age < 0 || age >= capacityTTL {
		*s = d.sumCapacity(service, now)
	}
	s.Reports = len(d.peers.reports)
	if !s.oldestReportAt.IsZero() {
		s.ReportAge = now.Sub(s.oldestReportAt)
	}
	return s
}

// sumCapacity adds up the usable endpoints of a service; d.mu must be held.
func (d *Directory) sumCapacity(service string, now time.Time) sampledCapacity {
	s := sampledCapacity{sampledAt: now}
	for _, e := range d.byService[service] {
		if !d.usable(e, now) {
			continue
		}
		s.Slots += e.registration.Slots
		s.Running += e.load()
		s.Free += e.freeSlots()
	}
	for _, r := range d.peers.reports {
		if s.oldestReportAt.IsZero() || r.receivedAt.Before(s.oldestReportAt) {
			s.oldestReportAt = r.receivedAt
		}
	}
	return s
}

// setRunning sets the number of requests at an endpoint, and brings the known capacity of its service up
// to date; d.mu must be held.
func (d *Directory) setRunning(e *Endpoint, local, peers int, now time.Time) {
	load, free := e.load(), e.freeSlots()
	e.localRunning, e.peerRunning = local, peers
	if s, ok := d.capacities[e.registration.Service]; ok && d.usable(e, now) {
		s.Running = max(0, s.Running+e.load()-load)
		s.Free = max(0, s.Free+e.freeSlots()-free)
	}
}

// freeSlots returns the number of slots that no request holds.
func (e *Endpoint) freeSlots() int { return max(0, e.registration.Slots-e.load()) }
