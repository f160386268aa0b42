package endpoint

import "time"

const (
	// failureLimit is the number of failures in a row that puts an endpoint aside;
	// two happen to any endpoint that loses an answer now and then.
	maxConsecutiveFailures = 3
	// firstRest and maxRest bound how long an endpoint that failed gets no
	// requests; the time doubles with each failed trial.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime   = 4 * time.Second
	// provenAfter is how long an endpoint that seemed gone gets only requests that may be
	// repeated, unless one of them has succeeded: a trial must not cost an order.
	probationTime = 6 * time.Second
	// maxRestingShare bounds the endpoints of a service put aside at once.
	maxEjectedShare = 0.5
)

// health is what this instance's own requests have shown of an endpoint.
type health struct {
	consecutiveFailures int
	ejectionTime     time.Duration
	ejectedUntil    time.Time
	// doubted is until when the endpoint must prove itself after it seemed gone.
	probationUntil time.Time
}

func (h *health) recordSuccess() { *h = health{} }

// fail counts a failure; an endpoint that seems gone is put aside at once, since each of
// many instances would else send it several requests.
func (h *health) recordFailure(now time.Time, gone bool) {
	h.consecutiveFailures++
	if gone {
		h.probationUntil = now.Add(probationTime)
	}
	if h.consecutiveFailures < maxConsecutiveFailures && !gone {
		return
	}
	h.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*h.ejectionTime))
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// aside reports whether the endpoint gets no requests, or none that must not be repeated.
func (h *health) ejected(once bool, now time.Time) bool {
	return now.Before(h.ejectedUntil) || (once && now.Before(h.probationUntil))
}
