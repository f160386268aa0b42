package gateway

import "time"

const (
	// minEventWait is the least time that a read of an event must have waited for the event to count as
	// read when it arrived; one that was there already is read within a few microseconds.
	minEventWait = 100 * time.Microsecond
	// maxEventsInGap bounds the events between two that were read when they arrived. A front that has
	// been held up for longer than that may have held up the engine too.
	maxEventsInGap = 32
)

// eventTimer measures the times between the events of one attempt as they arrive from the endpoint.
// While the front is held up, by a slow caller above all, events wait in the connection; the time
// of such an event is unknown, and the time between those around it is divided by their distance.
type eventTimer struct {
	sentAt time.Time
	// readFrom is when the read under way began.
	readFrom time.Time
	// arrivedAt is when the latest event arrived of which that is known, zero before the first, and
	// since the number of events after it.
	arrivedAt time.Time
	since     int
}

// beginRead notes that the next event is about to be read.
func (t *eventTimer) beginRead(now time.Time) { t.readFrom = now }

// first notes that the first event has been read, and returns the time that it took.
func (t *eventTimer) first(now time.Time) time.Duration {
	t.arrivedAt = now
	return now.Sub(t.sentAt)
}

// next notes that another event has been read, and returns the mean time between events since the last
// one of which the time of arrival is known, or false if the event may have arrived before now.
func (t *eventTimer) next(now time.Time) (time.Duration, bool) {
	t.since++
	if now.Sub(t.readFrom) < minEventWait {
		return 0, false
	}
	gap, events := now.Sub(t.arrivedAt), t.since
	t.arrivedAt, t.since = now, 0
	return gap / time.Duration(events), events <= maxEventsInGap
}

// observeEvent reports the time of an event that was just read to the directory.
func (s *streaming) observeEvent(t *eventTimer, event Event) {
	if event.Empty {
		return
	}
	now := time.Now()
	if t.arrivedAt.IsZero() {
		took := t.first(now)
		if s.holder == "" && s.lastEventID == "" && s.request.PreviousTurn == "" {
			s.Directory.RecordFirstEvent(s.target, s.request.PromptTokens, took, now)
		}
		return
	}
	gap, ok := t.next(now)
	tokens := s.eventTokens()
	// The last event may have fewer tokens.
	if limit := s.request.MaxTokens; !ok || (limit > 0 && s.outputTokens+tokens > limit) {
		return
	}
	s.Directory.RecordTokenTime(s.target, gap/time.Duration(tokens), now)
}

// promptRate returns the number of prompt tokens that the engines of the service read per millisecond.
func (s *streaming) promptRate() float64 { return s.Directory.PromptRate(s.service) }
