package endpoint

import (
	"time"

	"github.com/lavendervale/lavendervale/speed"
)

const (
	// defaultLoadShare is the share of a request's time that is added by each other request running at
	// the endpoint, until it is learned: an engine's time per output token, 2.42 ms, grows by 0.036 ms
	// per request.
	defaultLoadShare = 0.015
	// defaultPromptRate is the number of prompt tokens that an engine reads per millisecond, until it is
	// learned.
	defaultPromptRate = 150.0
	// maxRateFactor bounds learned values around their defaults.
	maxRateFactor = 10.0
	// minRateObservations is the number of observations from which on these values are learned.
	minRateObservations = 50
	// maxRateError is the greatest standard error of a learned value, as a part of it.
	maxRateError = 0.2
	// maxLoadDeviation bounds the influence of one time between events: a factor of two.
	maxLoadDeviation = 0.7
	// maxPromptLoad is the load up to which the time to the first event is observed, as a part of the
	// slots: beyond it, the request may have waited inside the engine.
	maxPromptLoad = 0.5
)

// RecordFirstEvent notes how long after the request the first event of a turn arrived that no endpoint
// held the conversation of.
func (d *Directory) RecordFirstEvent(t Target, promptTokens int64, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.find(t)
	if !ok || promptTokens <= 0 || took <= 0 || float64(t.others) >= maxPromptLoad*float64(e.registration.Slots) || now.Before(e.coldUntil) {
		return
	}
	d.speedsOf(e.registration.Service).prompt.Observe(float64(promptTokens), milliseconds(took)/e.speed.ratio(), now)
}

// PromptRate returns the number of prompt tokens that a median engine of a service reads per
// millisecond.
func (d *Directory) PromptRate(service string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s, ok := d.speeds[service]; ok && s.promptRate > 0 {
		return s.promptRate
	}
	return defaultPromptRate
}

// shareOfLoad returns the share of a request's time that is added by each other request at the
// endpoint.
func (s *serviceSpeeds) shareOfLoad() float64 {
	if s == nil || s.loadShare == 0 {
		return defaultLoadShare
	}
	return s.loadShare
}

// learnShares learns the share of load and the prompt rate. A value that the observations no longer
// determine stays what it was.
func (s *serviceSpeeds) learnShares() {
	if fit, ok := determined(&s.load); ok {
		// The slope is relative to the time at the mean load, the share to that at an idle endpoint.
		share := fit.Slope / max(1/maxRateFactor, 1-fit.Slope*s.meanLoad)
		// The load that an instance knows is a tenth of a second old, which flattens the line. A share
		// below the default can't be told from that: at nine tenths of the capacity, the simulation learns
		// less than the engines have, and turns take 1% longer with it.
		s.loadShare = min(max(share, defaultLoadShare), defaultLoadShare*maxRateFactor)
	}
	if fit, ok := determined(&s.prompt); ok {
		s.promptRate = min(max(1/fit.Slope, defaultPromptRate/maxRateFactor), defaultPromptRate*maxRateFactor)
	}
}

// determined returns the line fitted to observations if it rises and its slope is known well enough.
func determined(l *speed.Line) (speed.Fit, bool) {
	fit, ok := l.Fit()
	return fit, ok && l.Observations() >= minRateObservations && fit.Slope > 0 && fit.SlopeError <= maxRateError*fit.Slope
}
