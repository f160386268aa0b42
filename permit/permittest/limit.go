package permittest

import "time"

const (
	// Span is the time in which the requests at an endpoint are counted.
	Span = 4 * time.Second
	// Settle is how long after an endpoint named a limit the bound begins to hold.
	Settle = 3 * time.Second
	// excess and slack are what the bound leaves above the limit.
	excess, slack = 1.5, 5
	// stallTick is the time between two looks at the clock.
	stallTick = 10 * time.Millisecond
)

// Allowed returns the most requests in one Span at an endpoint that takes perSecond.
func Allowed(perSecond float64) int { return AllowedAfter(perSecond, 0) }

// AllowedAfter returns the most requests in one Span at an endpoint that takes perSecond, if requests
// may arrive together that were sent up to stall apart.
func AllowedAfter(perSecond float64, stall time.Duration) int {
	return int(excess*perSecond*(Span+stall).Seconds()) + slack
}

// LongestStall measures until done is closed, and then returns the longest time by which the machine
// delayed a goroutine that was to run every stallTick.
func LongestStall(done <-chan struct{}) time.Duration {
	longest := time.Duration(0)
	for last := time.Now(); ; {
		select {
		case <-done:
			return longest
		case <-time.After(stallTick):
		}
		now := time.Now()
		longest, last = max(longest, now.Sub(last)-stallTick), now
	}
}

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
