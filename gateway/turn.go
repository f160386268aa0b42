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
const settleTimeout = 8 * time.Second

// begin admits the turn.
func (c *call) begin(ctx context.Context) (turn.Admission, error) {
	r := c.request
	if !c.tracked() {
		return freeTicket{}, nil
	}
	t, err := c.Ledger.Begin(ctx, turn.BeginRequest{
		Program: c.program(), Session: r.Session, Attempt: r.ID, Previous: c.previous(), BudgetTokens: r.Budget, MaxTokens: r.MaxTokens,
	})
	c.begun = err == nil
	if err != nil && turn.KindOf(err) != turn.KindBudget && turn.KindOf(err) != turn.KindNotFound {
		go c.release()
	}
	return t, err
}

// release gives back what an attempt without a known outcome may have set aside.
func (c *call) release() {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	if err := c.Ledger.End(ctx, turn.EndRequest{Program: c.program(), Attempt: c.request.ID}); err != nil {
		c.Logger.Warn("attempt not released", zap.String("request", c.request.ID), zap.Error(err))
	}
}

// tracked reports whether the turn has a state that outlives it.
func (c *call) tracked() bool {
	return c.route.Stateful() || c.request.Budget > 0
}

// previous returns the turn to continue on routes where the system keeps turns.
func (c *call) previous() string {
	if c.route.Stateful() {
		return c.request.Previous
	}
	return ""
}

// program returns what the state of the turn is found by.
func (c *call) program() string {
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
		c.Metrics.left(c)
		c.log("caller left", 0, err.Error())
	case turn.KindOf(err) == turn.KindBudget:
		c.refuse(c, w, Refusal{Status: http.StatusPaymentRequired, Reason: err.Error()})
	case turn.KindOf(err) == turn.KindNotFound:
		c.refuse(c, w, Refusal{Status: http.StatusNotFound, Reason: err.Error()})
	default:
		c.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: c.retryAfter(), Reason: err.Error()})
	}
}

// settle records how the turn ended; a whole turn is durable before its answer ends.
func (c *call) settle(s *streaming, whole bool) {
	if !c.begun {
		if whole {
			s.out.Finish()
			c.finished()
		}
		return
	}
	r := turn.EndRequest{
		Program: c.program(), Session: c.request.Session, Attempt: c.request.ID, DeliveredTokens: s.tokens, Endpoint: c.target.ID(),
	}
	if whole && c.route.Stateful() {
		r.Completed = &turn.CompletedTurn{Previous: c.previous(), Text: s.text(), RetentionMS: c.route.TurnRetention().Milliseconds()}
	}
	limit := time.Now().Add(settleTimeout)
	if r.Completed != nil && c.deadline.Before(limit) {
		limit = c.deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	err := c.Ledger.End(ctx, r)
	if err != nil {
		c.Logger.Error("turn can't be recorded", zap.String("request", c.request.ID), zap.String("program", r.Program), zap.Error(err))
	}
	if !whole {
		return
	}
	if err != nil && r.Completed != nil {
		s.out.Abort()
		c.Metrics.broken(c)
		c.log("cut off", 0, "turn can't be recorded: "+err.Error())
		return
	}
	s.out.Finish()
	c.finished()
}

func (c *call) finished() {
	c.Metrics.served(c, http.StatusOK)
	c.log("answered", http.StatusOK, "")
}

// freeTicket admits a turn without a state.
type freeTicket struct{}

// Text returns nothing: the request holds its whole prompt.
func (freeTicket) Text() []byte { return nil }

// Endpoint returns no endpoint.
func (freeTicket) Endpoint() string { return "" }

// Wait returns at once.
func (freeTicket) Wait(context.Context) error { return nil }
