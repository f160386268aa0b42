package endpoint

import "time"

// Limit is the rate limit of an endpoint; its zero value is none.
type Limit struct {
	// Named is set if the endpoint names a limit.
	Named bool
	// PerSecond is the number of requests per second that the endpoint takes from all
	// instances together.
	PerSecond float64
}

// observedLimit is a limit with the time of the response that named it, or that named none.
type observedLimit struct {
	Limit
	// observedAt is zero before the first response.
	observedAt time.Time
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
	changed := e.limit.Limit != limit
	e.limit = observedLimit{Limit: limit, observedAt: now}
	return changed
}
