package endpoint

import "time"

const (
	// failureLimit is the number of failures in a row that puts an endpoint aside;
	// two happen to any endpoint that loses an answer now and then.
	failureLimit = 3
	// firstRest and maxRest bound how long an endpoint that failed gets no
	// requests; the time doubles with each failed trial.
	firstRest = 500 * time.Millisecond
	maxRest   = 4 * time.Second
	// provenAfter is how long an endpoint that seemed gone gets only requests that may be
	// repeated, unless one of them has succeeded: a trial must not cost an order.
	provenAfter = 6 * time.Second
	// maxRestingShare bounds the endpoints of a service put aside at once.
	maxRestingShare = 0.5
)

// health is what this instance's own requests have shown of an endpoint.
type health struct {
	failures int
	rest     time.Duration
	until    time.Time
	// doubted is until when the endpoint must prove itself after it seemed gone.
	doubted time.Time
}

func (h *health) succeed() { *h = health{} }

// fail counts a failure; an endpoint that seems gone is put aside at once, since each of
// many instances would else send it several requests.
func (h *health) fail(now time.Time, gone bool) {
	h.failures++
	if gone {
		h.doubted = now.Add(provenAfter)
	}
	if h.failures < failureLimit && !gone {
		return
	}
	h.rest = min(maxRest, max(firstRest, 2*h.rest))
	h.until = now.Add(h.rest)
}

// aside reports whether the endpoint gets no requests, or none that must not be repeated.
func (h *health) aside(once bool, now time.Time) bool {
	return now.Before(h.until) || (once && now.Before(h.doubted))
}
