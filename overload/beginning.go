package overload

import (
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Beginning is a turn that begins its program and may wait for a free slot. Exactly one of Admitted,
// Expired and Abandoned must be called.
type Beginning struct {
	controller *Controller
	request    Request
	// askedAt is when the wait began, which ends at giveUpAt, or with the request if that is zero.
	askedAt, giveUpAt time.Time
	// maxLoad is the load from which on the turn gets no slot, 0 for none.
	maxLoad float64
	inputs  Inputs
}

// Inputs are what a decision was made from.
type Inputs struct {
	// Capacity is the load of the service.
	Capacity endpoint.Capacity
	// MeanLoad is the mean of its ratio of running requests to slots over about loadSpan.
	MeanLoad float64
	// Waiting is the number of beginnings at this front that wait, Admitted and Refused what came of
	// others in the last second.
	Waiting, Admitted, Refused int
}

// maxWait returns how long the turn may wait.
func (b *Beginning) maxWait() time.Duration {
	wait := defaultMaxWait
	if b.request.LatencyTarget > 0 {
		wait = time.Duration(waitRatio * float64(b.request.LatencyTarget))
	}
	return max(0, min(wait, time.Duration(retryRatio*float64(b.request.Deadline.Sub(b.askedAt)))))
}

// GiveUpAt returns until when the turn may wait for a free slot, zero if it may until its deadline.
func (b *Beginning) GiveUpAt() time.Time { return b.giveUpAt }

// Restrict returns a query that finds an endpoint only while the load leaves room. Unless the limit of
// the load counts on requests that wait inside engines, it finds only free slots.
func (b *Beginning) Restrict(q endpoint.Query) endpoint.Query {
	if b.maxLoad == 0 {
		return q
	}
	q.MaxLoad = b.maxLoad
	if b.maxLoad <= 1 {
		q.MaxQueued = 0
	}
	return q
}

// Waited returns the time since the program was first to begin.
func (b *Beginning) Waited() time.Duration { return b.request.Waited }

// Inputs returns what the latest decision on the turn was made from.
func (b *Beginning) Inputs() Inputs { return b.inputs }

// Admitted notes that the turn got a slot, and reports whether it had to wait for it.
func (b *Beginning) Admitted(now time.Time) (waited bool) {
	b.leave(now, counts{admitted: 1})
	b.controller.mu.Lock()
	b.controller.service(b.request.Service, now).countTurn(true)
	b.controller.mu.Unlock()
	return now.Sub(b.askedAt) >= waitedFrom
}

// Expired notes that the turn got no slot until GiveUpAt, and returns the error that refuses it.
func (b *Beginning) Expired(now time.Time) error {
	capacity := b.controller.config.Directory.Capacity(b.request.Service, now)
	b.controller.mu.Lock()
	defer b.controller.mu.Unlock()
	s := b.controller.service(b.request.Service, now)
	s.waiting[rankIndex(b.request.Rank)]--
	s.add(counts{expired: 1})
	b.inputs = s.inputs(capacity)
	return b.refuse(s, KindFull, now, "it waited "+now.Sub(b.askedAt).Round(time.Millisecond).String())
}

// Abandoned notes that the turn stopped waiting for another reason: its caller left, or no endpoint is
// usable.
func (b *Beginning) Abandoned(now time.Time) { b.leave(now, counts{}) }

// leave ends the wait of the turn.
func (b *Beginning) leave(now time.Time, result counts) {
	b.controller.mu.Lock()
	defer b.controller.mu.Unlock()
	s := b.controller.service(b.request.Service, now)
	s.waiting[rankIndex(b.request.Rank)]--
	s.add(result)
}

// refuse counts the turn as refused and returns the error; the controller's mutex must be held.
func (b *Beginning) refuse(s *service, kind Kind, now time.Time, reason string) error {
	s.add(counts{refused: 1})
	in := b.inputs
	err := Errorf("engines are full", kind, "%s; load %.2f of %d slots, %d wait to begin, %d began and %d were refused in the last second", reason, in.Capacity.Load(), in.Capacity.Slots, in.Waiting, in.Admitted, in.Refused)
	expected := s.expectedWait(s.allWaiting() + s.total.refused)
	err.retryAfter = retryAfter(expected, b.request.Deadline.Sub(now), b.request.ProgramDeadline.Sub(now), b.controller.config.Draw())
	return err
}

// retryAfter returns when a refused caller should retry: at a draw, uniform in [0,1), spread over the
// expected wait, so that those who were refused together don't come back together. It is at most
// retryRatio of the time left to the request and slackRatio of that left to the program.
func retryAfter(expected, left, slack time.Duration, draw float64) time.Duration {
	limit := time.Duration(retryRatio * float64(max(0, left)))
	span := min(expected, limit)
	if slack > 0 {
		span = min(span, time.Duration(slackRatio*float64(slack)))
	}
	return min(max(time.Duration(draw*float64(span)), minRetryAfter), limit)
}
