package endpoint

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures after which an endpoint
	// is ejected. Two in a row also occur at healthy endpoints that lose a response now
	// and then.
	maxConsecutiveFailures = 3
	// minEjectionTime is the length of the first ejection of an endpoint; it doubles with
	// each failure after it, up to maxEjectionTime.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// probationTime is how long an endpoint that seemed down gets only requests that may be
	// repeated, unless one of them succeeds earlier: testing it must not lose a request that
	// must not be repeated, such as an order.
	probationTime = 6 * time.Second
	// maxEjectedShare is the share of the usable endpoints of a service that may be ejected
	// at once; with more, ejections are ignored.
	maxEjectedShare = 0.5
)

// health is the state of an endpoint according to the results of this instance's requests.
// Its zero value is a healthy endpoint.
type health struct {
	consecutiveFailures int
	// ejectionTime is the length of the latest ejection.
	ejectionTime time.Duration
	ejectedUntil time.Time
	// probationUntil is until when the endpoint gets no requests that must not be repeated.
	probationUntil time.Time
}

// recordSuccess ends an ejection and forgets all failures.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failure and ejects the endpoint if there have been too many. An
// endpoint that seems down is ejected at the first one, since otherwise each of many
// instances would lose several requests to it.
func (h *health) recordFailure(now time.Time, down bool) {
	h.consecutiveFailures++
	if down {
		h.probationUntil = now.Add(probationTime)
	}
	if h.consecutiveFailures < maxConsecutiveFailures && !down {
		return
	}
	h.ejectionTime = min(maxEjectionTime, max(minEjectionTime, 2*h.ejectionTime))
	h.ejectedUntil = now.Add(h.ejectionTime)
}

// ejected reports whether the endpoint is kept from a request. once is set for requests that
// must not be repeated, which are also kept from an endpoint on probation.
func (h *health) ejected(once bool, now time.Time) bool {
	return now.Before(h.ejectedUntil) || (once && now.Before(h.probationUntil))
}
