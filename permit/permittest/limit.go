package permittest

import "time"

const (
	// Span is the time in which the requests at an endpoint are counted.
	Span = 4 * time.Second
	// Settle is how long after an endpoint named a limit the bound begins to hold.
	Settle = 3 * time.Second
	// excess and slack are what the bound leaves above the limit.
	excess, slack = 1.5, 5
)

// Allowed returns the most requests in one Span at an endpoint that takes perSecond.
func Allowed(perSecond float64) int { return int(excess*perSecond*Span.Seconds()) + slack }

// MostInSpan returns the greatest number of times from since on that fall into one Span.
func MostInSpan(times []time.Time, since time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first].Before(since) && first < i || at.Sub(times[first]) > Span {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}
