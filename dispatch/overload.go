package dispatch

import (
	"math"
	"time"
)

// maxExpectedWait replaces longer expected waits, also those without an end.
const maxExpectedWait = time.Minute

// overload returns an error of KindOverload if a waiting request will not be served before its
// Priority.GiveUpAt, because endpoints name rate limits and there is no room for it and for the
// requests before it.
func (q *Queue) overload(w *waiter, now time.Time) error {
	if w.priority.GiveUpAt.IsZero() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.heapIndex < 0 {
		return nil
	}
	rate, limited := q.directory.LimitedThroughput(w.query.Service, w.query.Kind, now)
	if !limited {
		return nil
	}
	ahead := q.waitersByService[w.query.Service].countBefore(w)
	seconds := rate.Next.Seconds()
	if ahead > 0 {
		seconds += float64(ahead) / rate.PerSecond
	}
	wait := time.Duration(min(maxExpectedWait.Seconds(), math.Abs(seconds)) * float64(time.Second))
	if !now.Add(wait).After(w.priority.GiveUpAt) {
		return nil
	}
	err := Errorf("find endpoint", KindOverload, "endpoints of service %s limit their rate: %d requests are before this one, which would wait %s", w.query.Service, ahead, wait.Round(time.Millisecond))
	err.retryAfter = max(wait, overloadInterval)
	return err
}

// countBefore returns the number of requests that are served before w.
func (s *serviceWaiters) countBefore(w *waiter) int {
	count := 0
	for _, l := range s.lines {
		for _, other := range l.requests {
			if other.before(w) {
				count++
			}
		}
	}
	return count
}
