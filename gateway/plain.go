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
func (c *call) servePlain(ctx context.Context, w Responder) {
	var last error
	for {
		if err := c.acquire(ctx, c.plainQuery(), c.queueOrder()); err != nil {
			c.refuseFailed(ctx, w, err, last)
			return
		}
		o := c.sendHedged(ctx)
		c.target = o.target
		if o.succeeded() {
			c.Directory.RecordSuccess(o.target, time.Now())
			w.Respond(o.response.status, o.response.header, o.response.body)
			c.Metrics.observeAnswered(c, o.response.status)
			c.logRequest("answered", o.response.status, "")
			return
		}
		if o.mayHaveRun() {
			last = o.err
		}
		c.recordFailedAttempt(ctx, o)
		if ctx.Err() != nil || (o.mayHaveRun() && !c.canRetry()) {
			c.refuseFailed(ctx, w, o.err, last)
			return
		}
	}
}

// miss books a send that brought no good answer and keeps the request from its endpoint.
func (c *call) recordFailedAttempt(ctx context.Context, o attemptResult) {
	switch {
	case o.response.notRun:
		c.Metrics.failures.WithLabelValues("not-run").Inc()
	case ctx.Err() == nil:
		c.recordFailure(o.err)
	}
	c.possiblyRan = c.possiblyRan || o.mayHaveRun()
	c.excludeTarget()
}

// mayRepeat reports whether the request may be sent to one more endpoint that runs it.
func (c *call) canRetry() bool {
	return c.route.Repeat() != route.Once && c.attempts < c.route.MaxAttempts()
}

// wholeAnswer is an answer that was read to its end.
type fullResponse struct {
	status int
	header http.Header
	body   []byte
	notRun bool
}

// exchange sends the request to an endpoint and reads the whole answer.
func (c *call) roundTrip(ctx context.Context, t endpoint.Target) (fullResponse, error) {
	a, err := c.Transport.Send(ctx, t, EndpointRequest{
		Request: c.request, Deadline: c.deadline, Priority: noPriority, FreshConnection: c.route.Repeat() == route.Once,
	})
	if err != nil {
		return fullResponse{}, err
	}
	defer a.Close()
	body, err := a.Body()
	if a.NotRun() {
		return fullResponse{notRun: true, status: a.Status()}, nil
	}
	if err != nil {
		return fullResponse{}, err
	}
	return fullResponse{status: a.Status(), header: a.Header(), body: body}, nil
}

func (c *call) plainQuery() endpoint.Query {
	return endpoint.Query{Service: c.service, Kind: c.route.Name(), Once: c.route.Repeat() == route.Once, MaxQueued: maxQueuedPlain, LocalDomain: c.Domain, ExcludedIDs: c.excludedIDs}
}

// giveUp answers a request that no endpoint has served: as not run only when none
// can have run it.
func (c *call) refuseFailed(ctx context.Context, w Responder, err, last error) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		w.Abort()
		c.Metrics.observeCallerLeft(c)
		c.logRequest("caller left", 0, err.Error())
		return
	}
	late := ctx.Err() != nil
	switch {
	case c.possiblyRan && late:
		c.refuse(c, w, Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time: " + firstMessage(last, err)})
	case c.possiblyRan && c.route.Repeat() == route.Once:
		c.refuse(c, w, Refusal{Status: http.StatusBadGateway, Reason: "the outcome at the endpoint is unknown: " + firstMessage(last, err)})
	case c.possiblyRan:
		c.refuse(c, w, Refusal{Status: http.StatusBadGateway, Reason: "endpoints failed: " + firstMessage(last, err)})
	default:
		c.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: c.retryAfter(), Reason: err.Error()})
	}
}

// text returns the first error there is.
func firstMessage(errs ...error) string {
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
	return min(maxRetryAfter, left/4)
}

// depthPlain is how many requests beyond its slots a plain endpoint may hold.
const maxQueuedPlain = 3

// noPriority asks for the endpoint's default order.
const noPriority = -1
