package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/overload"
)

// admissionResult says what became of a turn that begins its program.
type admissionResult string

// Results of the admission of a turn that begins its program, the values of the metric's label.
const (
	admissionAdmitted admissionResult = "admitted"
	admissionWaited   admissionResult = "waited"
	admissionRefused  admissionResult = "refused"
)

// begins reports whether the turn begins its program and is subject to admission control. A stream that
// is resumed has delivered tokens.
func (s *streaming) begins() bool {
	return s.Overload != nil && !s.request.ProgramDeadline.IsZero() && !s.admission.Begun() && s.request.LastEventID == "" && s.request.Resumes == ""
}

// acquireTurn waits for an endpoint for the turn. If the turn begins its program, it gets only a free slot,
// and is refused by an error of package overload while engines are full. Once it has been sent to an
// endpoint, it is served like any other.
func (s *streaming) acquireTurn(ctx context.Context) error {
	if s.admissionDecided || !s.begins() {
		if s.Overload != nil {
			s.Overload.Observe(s.service, time.Now())
		}
		return s.acquire(ctx, s.streamQuery(), s.queuePriority())
	}
	s.admissionDecided = true
	beginning, err := s.Overload.Begin(overload.Request{
		Service: s.service, Kind: s.route.Name(), Customer: s.customer.Name, Rank: s.rank(), LatencyTarget: s.route.LatencyTarget(),
		Deadline: s.deadline, ProgramDeadline: s.request.ProgramDeadline, Waited: s.admission.Waited(),
	}, time.Now())
	if err != nil {
		s.noteAdmission(beginning, admissionRefused)
		if overload.KindOf(err) == overload.KindShare {
			s.Metrics.shareRefusals.Inc()
			s.overShare = true
		}
		return err
	}
	if beginning == nil {
		return s.acquire(ctx, s.streamQuery(), s.queuePriority())
	}
	queueCtx := ctx
	if giveUpAt := beginning.GiveUpAt(); !giveUpAt.IsZero() {
		var cancel context.CancelFunc
		queueCtx, cancel = context.WithDeadline(ctx, giveUpAt)
		defer cancel()
	}
	priority := s.queuePriority()
	priority.Begins = true
	err = s.acquireWithin(ctx, queueCtx, beginning.Restrict(s.streamQuery()), priority)
	switch {
	case err == nil && beginning.Admitted(time.Now()):
		s.noteAdmission(beginning, admissionWaited)
	case err == nil:
		s.noteAdmission(beginning, admissionAdmitted)
	case ctx.Err() == nil && dispatch.KindOf(err) == dispatch.KindTimeout:
		err = beginning.Expired(time.Now())
		s.noteAdmission(beginning, admissionRefused)
	default:
		beginning.Abandoned(time.Now())
	}
	return err
}

// noteAdmission counts the result of the admission and keeps it for the log line of the request.
func (s *streaming) noteAdmission(beginning *overload.Beginning, result admissionResult) {
	s.beginning, s.admissionResult = beginning, result
	s.Metrics.admissions.WithLabelValues(string(result)).Inc()
}

// admissionFields returns the inputs of the decision on a turn that was refused or had to wait because
// engines are full.
func (c *call) admissionFields() []zap.Field {
	if c.admissionResult != admissionWaited && c.admissionResult != admissionRefused {
		return nil
	}
	in := c.beginning.Inputs()
	fields := []zap.Field{
		zap.Bool("begins", true), zap.Float64("load", in.Capacity.Load()), zap.Float64("load_mean", in.MeanLoad), zap.Int("slots", in.Capacity.Slots), zap.Int("load_reports", in.Capacity.Reports),
		zap.Duration("load_age", in.Capacity.ReportAge), zap.Duration("waited", c.beginning.Waited()),
	}
	if c.overShare && c.Shares != nil {
		use, fairShare := c.Shares.Level(c.customer.Name, float64(in.Capacity.Slots), time.Now())
		fields = append(fields, zap.Float64("use", use), zap.Float64("fair_share", fairShare))
	}
	return fields
}
