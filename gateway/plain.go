package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/route"
)

// plain serves a request whose answer is passed on whole.
func (c *call) plain(ctx context.Context, w Responder) {
	var last error
	for {
		if err := c.acquire(ctx, c.plainQuery(), c.order()); err != nil {
			c.giveUp(ctx, w, err, last)
			return
		}
		o := c.send(ctx)
		c.target = o.target
		if o.good() {
			c.Directory.Succeeded(o.target, time.Now())
			w.Whole(o.answer.status, o.answer.header, o.answer.body)
			c.Metrics.served(c, o.answer.status)
			c.log("answered", o.answer.status, "")
			return
		}
		if o.ran() {
			last = o.err
		}
		c.miss(ctx, o)
		if ctx.Err() != nil || (o.ran() && !c.mayRepeat()) {
			c.giveUp(ctx, w, o.err, last)
			return
		}
	}
}

// miss books a send that brought no good answer and keeps the request from its endpoint.
func (c *call) miss(ctx context.Context, o outcome) {
	switch {
	case o.answer.notRun:
		c.Metrics.failures.WithLabelValues("not-run").Inc()
	case ctx.Err() == nil:
		c.failed(o.err)
	}
	c.sent = c.sent || o.ran()
	c.exclude()
}

// mayRepeat reports whether the request may be sent to one more endpoint that runs it.
func (c *call) mayRepeat() bool {
	return c.route.RetryPolicy() != route.AtMostOnce && c.attempts < c.route.MaxAttempts()
}

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	notRun bool
}

// exchange sends the request to an endpoint and reads the whole answer.
func (c *call) exchange(ctx context.Context, t endpoint.Target) (wholeAnswer, error) {
	a, err := c.Endpoints.Send(ctx, t, Dispatch{
		Request: c.request, Deadline: c.deadline, Priority: noPriority, Fresh: c.route.RetryPolicy() == route.AtMostOnce,
	})
	if err != nil {
		return wholeAnswer{}, err
	}
	defer a.Close()
	body, err := a.Body()
	if a.NotRun() {
		return wholeAnswer{notRun: true, status: a.Status()}, nil
	}
	if err != nil {
		return wholeAnswer{}, err
	}
	return wholeAnswer{status: a.Status(), header: a.Header(), body: body}, nil
}

func (c *call) plainQuery() endpoint.Query {
	return endpoint.Query{Service: c.service, Kind: c.route.Name(), Once: c.route.RetryPolicy() == route.AtMostOnce, Depth: depthPlain, Near: c.Domain, Avoid: c.avoid}
}

// giveUp answers a request that no endpoint has served: as not run only when none
// can have run it.
func (c *call) giveUp(ctx context.Context, w Responder, err, last error) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		w.Abort()
		c.Metrics.left(c)
		c.log("caller left", 0, err.Error())
		return
	}
	late := ctx.Err() != nil
	switch {
	case c.sent && late:
		c.refuse(c, w, Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time: " + text(last, err)})
	case c.sent && c.route.RetryPolicy() == route.AtMostOnce:
		c.refuse(c, w, Refusal{Status: http.StatusBadGateway, Reason: "the outcome at the endpoint is unknown: " + text(last, err)})
	case c.sent:
		c.refuse(c, w, Refusal{Status: http.StatusBadGateway, Reason: "endpoints failed: " + text(last, err)})
	default:
		c.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: c.retryAfter(), Reason: err.Error()})
	}
}

// text returns the first error there is.
func text(errs ...error) string {
	for _, err := range errs {
		if err != nil {
			return err.Error()
		}
	}
	return "unknown"
}

// retryAfter returns when a refused caller may come back, within what it honours.
func (c *call) retryAfter() time.Duration {
	left := time.Until(c.deadline)
	if left <= 0 {
		return 0
	}
	return min(callsPause, left/4)
}

// depthPlain is how many requests beyond its slots a plain endpoint may hold.
const depthPlain = 3

// noPriority asks for the endpoint's default order.
const noPriority = -1
