package endpoint

import (
	"math"
	"time"
)

const (
	// errorHalfLife is the half-life of counted responses, so that an endpoint which served only errors
	// is tried again after some seconds.
	errorHalfLife = 2 * time.Second
	// errorPrior is the number of good responses that each endpoint is taken to have given, so that one
	// error of a sound endpoint does not keep requests from it.
	errorPrior = 3
	// errorCost is the cost of an error, in typical times of a request: its caller sends it again, or has
	// waited in vain for all that came before it in its program.
	errorCost = 6
	// maxReportedResponses bounds the responses that another instance may report for an endpoint.
	maxReportedResponses = 1 << 16
)

// responseCounts are decayed counts of responses of an endpoint to this instance. Without them, an
// endpoint that answers each request with an error at once seems to be the least loaded one.
type responseCounts struct {
	good, errors float64
	updatedAt    time.Time
}

// add counts a response.
func (c *responseCounts) add(isError bool, now time.Time) {
	c.good, c.errors = c.decayed(now)
	c.updatedAt = now
	if isError {
		c.errors++
		return
	}
	c.good++
}

// decayed returns the counts after their exponential decay.
func (c *responseCounts) decayed(now time.Time) (good, errors float64) {
	if c.updatedAt.IsZero() {
		return 0, 0
	}
	factor := math.Exp2(-max(0, now.Sub(c.updatedAt).Seconds()) / errorHalfLife.Seconds())
	return factor * c.good, factor * c.errors
}

// reported returns the counts as they are told to other instances, zero without a recent error.
func (c *responseCounts) reported(now time.Time) (good, errors int) {
	g, e := c.decayed(now)
	if e < 0.5 {
		return 0, 0
	}
	return int(min(maxReportedResponses, math.Round(g))), int(min(maxReportedResponses, math.Round(e)))
}

// errorRate returns the part of the responses to all instances that are errors, from 0 to 1.
func (e *Endpoint) errorRate(now time.Time) float64 {
	good, errors := e.responses.decayed(now)
	good, errors = good+float64(e.peerGood), errors+float64(e.peerErrors)
	return errors / (good + errors + errorPrior)
}

// RecordResponse notes that an endpoint answered a request, and whether with an error of its own.
func (d *Directory) RecordResponse(t Target, isError bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok {
		e.responses.add(isError, now)
	}
}

// ErrorRate returns the part of the recent responses of an endpoint to all instances that are errors.
func (d *Directory) ErrorRate(t Target, now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.find(t); ok {
		return e.errorRate(now)
	}
	return 0
}
