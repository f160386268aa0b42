package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/turn"
)

// settleTimeout bounds the record of a turn whose caller has its answer.
const endTurnTimeout = 8 * time.Second

// begin admits the turn.
func (c *call) beginTurn(ctx context.Context) (turn.Ticket, error) {
	r := c.request
	if !c.needsTurn() {
		return untrackedTicket{}, nil
	}
	t, err := c.TurnTracker.Begin(ctx, turn.BeginRequest{
		Program: c.turnProgram(), Session: r.Session, Attempt: r.ID, Previous: c.previousTurn(), Budget: r.Budget, Tokens: r.MaxTokens,
	})
	c.turnBegun = err == nil
	if err != nil && turn.KindOf(err) != turn.KindBudget && turn.KindOf(err) != turn.KindNotFound {
		go c.releaseAttempt()
	}
	return t, err
}

// release gives back what an attempt without a known outcome may have set aside.
func (c *call) releaseAttempt() {
	ctx, cancel := context.WithTimeout(context.Background(), endTurnTimeout)
	defer cancel()
	if err := c.TurnTracker.End(ctx, turn.EndRequest{Program: c.turnProgram(), Attempt: c.request.ID}); err != nil {
		c.Logger.Warn("attempt not released", zap.String("request", c.request.ID), zap.Error(err))
	}
}

// tracked reports whether the turn has a state that outlives it.
func (c *call) needsTurn() bool {
	return c.route.Stateful() || c.request.Budget > 0
}

// previous returns the turn to continue on routes where the system keeps turns.
func (c *call) previousTurn() string {
	if c.route.Stateful() {
		return c.request.PreviousTurn
	}
	return ""
}

// program returns what the state of the turn is found by.
func (c *call) turnProgram() string {
	if c.request.Program != "" {
		return c.request.Program
	}
	return c.request.ID
}

// refuseTurn answers a turn that was not admitted.
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
		c.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: c.retryAfter(), Reason: err.Error()})
	}
}

// settle records how the turn ended; a whole turn is durable before its answer ends.
func (c *call) endTurn(s *streaming, whole bool) {
	if !c.turnBegun {
		if whole {
			s.responder.FinishStream()
			c.recordStreamed()
		}
		return
	}
	r := turn.EndRequest{
		Program: c.turnProgram(), Session: c.request.Session, Attempt: c.request.ID, Tokens: s.outputTokens, Endpoint: c.target.ID(),
	}
	if whole && c.route.Stateful() {
		r.Keep = &turn.Keep{Previous: c.previousTurn(), Text: s.turnText(), RetentionMS: c.route.Retention().Milliseconds()}
	}
	limit := time.Now().Add(endTurnTimeout)
	if r.Keep != nil && c.deadline.Before(limit) {
		limit = c.deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := c.TurnTracker.End(ctx, r)
	if err != nil {
		c.Logger.Error("turn can't be recorded", zap.String("request", c.request.ID), zap.String("program", r.Program), zap.Error(err))
	}
	if !whole {
		return
	}
	if err != nil && r.Keep != nil {
		s.responder.Abort()
		c.Metrics.observeBroken(c)
		c.logRequest("cut off", 0, "turn can't be recorded: "+err.Error())
		return
	}
	s.responder.FinishStream()
	c.recordStreamed()
}

func (c *call) recordStreamed() {
	c.Metrics.observeAnswered(c, http.StatusOK)
	c.logRequest("answered", http.StatusOK, "")
}

// freeTicket admits a turn without a state.
type untrackedTicket struct{}

// Text returns nothing: the request holds its whole prompt.
func (untrackedTicket) Text() []byte { return nil }

// Endpoint returns no endpoint.
func (untrackedTicket) Endpoint() string { return "" }

// Wait returns at once.
func (untrackedTicket) Wait(context.Context) error { return nil }
