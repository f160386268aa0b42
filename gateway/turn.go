package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/turn"
)

const (
	// endTurnTimeout bounds the recording of a turn after all its events have been sent.
	endTurnTimeout = 8 * time.Second
	// refusalReserve is the time before its deadline at which a turn that is not admitted
	// yet is refused, so that the refusal reaches the caller.
	refusalReserve = 50 * time.Millisecond
)

// beginTurn admits the turn. If the result of the admission is unknown, it releases the
// tokens that may have been reserved, in the background.
func (c *call) beginTurn(ctx context.Context) (turn.Admission, error) {
	r := c.request
	if !c.needsTurn() {
		return untrackedAdmission{}, nil
	}
	// The admission goes on with this context, so it is not cancelled on return.
	ctx, cancel := context.WithCancel(ctx)
	limit := time.AfterFunc(time.Until(c.deadline)-refusalReserve, cancel)
	defer limit.Stop()
	admission, err := c.TurnTracker.Begin(ctx, turn.BeginRequest{
		Program: c.turnProgram(), Session: r.Session, Attempt: c.scoped(r.ID), Previous: c.previousTurn(), BudgetTokens: r.BudgetTokens, MaxTokens: r.MaxTokens,
		Lease: !c.route.Stateful(),
	})
	c.turnBegun = err == nil
	if err != nil && turn.KindOf(err) != turn.KindBudget && turn.KindOf(err) != turn.KindNotFound {
		go c.releaseAttempt()
	}
	return admission, err
}

// releaseAttempt releases the tokens that may have been reserved by an admission whose
// result is unknown.
func (c *call) releaseAttempt() {
	ctx, cancel := context.WithTimeout(context.Background(), endTurnTimeout)
	defer cancel()
	if err := c.TurnTracker.End(ctx, turn.EndRequest{Program: c.turnProgram(), Attempt: c.scoped(c.request.ID)}); err != nil {
		c.Logger.Warn("releasing an attempt failed", zap.String("request", c.request.ID), zap.Error(err))
	}
}

// needsTurn reports whether the turn has to be recorded: its route keeps conversations, or
// its program has a budget.
func (c *call) needsTurn() bool {
	return c.route.Stateful() || c.request.BudgetTokens > 0
}

// previousTurn returns the turn to continue, on routes that keep conversations.
func (c *call) previousTurn() string {
	if c.route.Stateful() {
		return c.scoped(c.request.PreviousTurn)
	}
	return ""
}

// scoped returns an identifier that a caller chose, apart from those of other customers.
func (c *call) scoped(id string) string {
	if id == "" || c.customer.Name == "" {
		return id
	}
	return c.customer.Name + "/" + id
}

// turnProgram returns the program that the turn is recorded under; a request without one
// is a program of its own.
func (c *call) turnProgram() string {
	if c.request.Program != "" {
		return c.scoped(c.request.Program)
	}
	return c.scoped(c.request.ID)
}

// refuseTurn refuses a turn that was not admitted because of err.
func (c *call) refuseTurn(ctx context.Context, w Responder, err error) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		w.Abort()
		c.Metrics.observeCallerLeft(c)
		c.logRequest("caller left", 0, err.Error())
	case turn.KindOf(err) == turn.KindBudget:
		c.refuse(c, w, Refusal{Status: http.StatusPaymentRequired, Reason: err.Error()})
	case turn.KindOf(err) == turn.KindNotFound:
		c.refuse(c, w, Refusal{Status: http.StatusNotFound, Reason: err.Error()})
	default:
		c.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: c.retryAfter(err), Reason: err.Error()})
	}
}

// endTurn records the result of the turn and ends the response of a complete one. A turn
// that is kept is recorded before its response ends as complete: the caller's next turn must
// be able to continue it.
func (c *call) endTurn(s *streaming, complete bool) {
	if !c.turnBegun {
		if complete {
			s.responder.FinishStream()
			c.recordStreamed()
		}
		return
	}
	r := turn.EndRequest{
		Program: c.turnProgram(), Session: c.request.Session, Attempt: c.scoped(c.request.ID), DeliveredTokens: s.outputTokens, Endpoint: c.target.ID(),
	}
	if complete && c.route.Stateful() {
		r.Completed = &turn.CompletedTurn{Previous: c.previousTurn(), Text: s.text, RetentionMS: c.route.TurnRetention().Milliseconds()}
	}
	limit := time.Now().Add(endTurnTimeout)
	if r.Completed != nil && c.deadline.Before(limit) {
		limit = c.deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := c.TurnTracker.End(ctx, r)
	if err != nil {
		c.Logger.Error("turn can't be recorded", zap.String("request", c.request.ID), zap.String("program", r.Program), zap.Error(err))
	}
	if !complete {
		return
	}
	if err != nil && r.Completed != nil {
		s.responder.Abort()
		c.Metrics.observeBroken(c)
		c.logRequest("cut off", 0, "turn can't be recorded: "+err.Error())
		return
	}
	if r.Completed != nil {
		c.keptBytes = len(r.Completed.Text)
	}
	s.responder.FinishStream()
	c.recordStreamed()
}

// recordStreamed counts and logs a complete stream.
func (c *call) recordStreamed() {
	c.Metrics.observeAnswered(c, http.StatusOK)
	c.logRequest("answered", http.StatusOK, "")
}

// untrackedAdmission is the admission of a turn that is not recorded.
type untrackedAdmission struct{}

// Text returns nil, as the request holds the whole prompt.
func (untrackedAdmission) Text() []byte { return nil }

// Endpoint returns an empty string: no endpoint is preferred.
func (untrackedAdmission) Endpoint() string { return "" }

// Begun returns true: without the home of its program, a turn is not known to begin it.
func (untrackedAdmission) Begun() bool { return true }

// Waited returns 0.
func (untrackedAdmission) Waited() time.Duration { return 0 }

// Wait returns nil at once, as there is nothing to record.
func (untrackedAdmission) Wait(context.Context) error { return nil }
