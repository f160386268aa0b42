package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// closureReadInterval is the time between two reads of the registrations while a caller waits for
	// what tells a crash from a planned end, and closureReadTimeout bounds the wait for one of them.
	closureReadInterval, closureReadTimeout = 100 * time.Millisecond, 500 * time.Millisecond
	// lazyClosureReadInterval is the time between two reads where no caller waits, and closureTimeout
	// bounds that wait.
	lazyClosureReadInterval, closureTimeout = 500 * time.Millisecond, 5 * time.Second
	// endReserve is the part of a request's time that is left to record and send the end of its response.
	endReserve = 150 * time.Millisecond
)

// endConfirmer decides whether a response of an endpoint is whole that ended with the last connection
// that the endpoint accepts.
type endConfirmer struct {
	call   *call
	target endpoint.Target
	// repeatable is set while another attempt may follow. Such a response also has to be known to be
	// whole, as another attempt takes less time than to find that out.
	repeatable bool
}

// confirm is an EndpointRequest.ConfirmEnd. Unless another attempt may follow, it takes the response for
// whole if the endpoint is not known to have crashed.
func (e *endConfirmer) confirm(ctx context.Context, connected func() bool) error {
	const op = "confirm end of response"
	c, endedAt := e.call, time.Now()
	closure, hasConnection := c.Directory.Closure(e.target, endedAt, endedAt), false
	if closure != endpoint.ClosureCrashed {
		hasConnection = connected()
	}
	switch {
	case hasConnection:
		closure = endpoint.ClosureOrderly
	case closure == endpoint.ClosureUndecided && !e.repeatable:
		waitCtx, cancel := context.WithDeadline(ctx, c.deadline.Add(-endReserve))
		closure = c.awaitClosure(waitCtx, e.target, endedAt, closureReadInterval)
		cancel()
	}
	if ctx.Err() != nil {
		return Errorf(op, KindBroken, "canceled: %w", context.Cause(ctx))
	}
	whole := closure == endpoint.ClosureOrderly || (closure != endpoint.ClosureCrashed && !e.repeatable)
	c.Metrics.observeConnectionEnd(closure, whole)
	c.logClosure("response ended with the last connection that its endpoint accepts", e.target, closure,
		zap.Bool("whole", whole), zap.Bool("connected", hasConnection), zap.Bool("repeatable", e.repeatable), zap.Duration("waited", time.Since(endedAt)))
	if !whole {
		return Errorf(op, KindBroken, "closure of endpoint %s: %s", e.target.ID(), closure)
	}
	return nil
}

// logClosure writes a log line on an endpoint that accepts no connection.
func (c *call) logClosure(message string, t endpoint.Target, closure endpoint.Closure, fields ...zap.Field) {
	fields = append(fields, zap.String("request", c.request.ID), zap.String("endpoint", t.ID()), zap.Stringer("closure", closure))
	c.Logger.Info(message, append(fields, presenceFields(c.Directory.Presence(t, time.Now()))...)...)
}

// awaitClosure returns why an endpoint closed a connection at closedAt and accepts no other one, once
// that is known or ctx ends. It reads the registrations once in each interval.
func (c *call) awaitClosure(ctx context.Context, t endpoint.Target, closedAt time.Time, interval time.Duration) endpoint.Closure {
	for {
		closure := c.Directory.Closure(t, closedAt, time.Now())
		if closure != endpoint.ClosureUndecided || ctx.Err() != nil {
			return closure
		}
		readCtx, cancel := context.WithTimeout(ctx, closureReadTimeout)
		c.Registrations.ReadRegistrations(readCtx)
		cancel()
		_ = timer.Sleep(ctx, interval)
	}
}
