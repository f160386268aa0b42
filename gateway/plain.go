package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/route"
)

// servePlain serves a request whose response is buffered and passed on whole. It tries
// further endpoints until one succeeds, the deadline passes, or the request may not be
// repeated.
func (c *call) servePlain(ctx context.Context, w Responder) {
	var lastErr error
	for {
		if err := c.acquire(ctx, c.plainQuery(), c.queuePriority()); err != nil {
			c.refuseFailed(ctx, w, err, lastErr)
			return
		}
		result := c.sendHedged(ctx)
		c.target = result.target
		if result.succeeded() {
			c.Directory.RecordSuccess(result.target, time.Now())
			w.Respond(result.response.status, result.response.header, result.response.body)
			c.Metrics.observeAnswered(c, result.response.status)
			c.logRequest("answered", result.response.status, "")
			return
		}
		if result.mayHaveRun() {
			lastErr = result.err
		}
		c.recordFailedAttempt(ctx, result)
		if ctx.Err() != nil || (result.mayHaveRun() && (!c.canRetry() || !c.repeatWithinQuota(ctx))) {
			c.refuseFailed(ctx, w, result.err, lastErr)
			return
		}
	}
}

// recordFailedAttempt counts an attempt without a usable response and excludes its endpoint
// from further attempts. A failure after the end of ctx is not held against the endpoint.
func (c *call) recordFailedAttempt(ctx context.Context, result attemptResult) {
	switch {
	case result.response.notRun:
		c.Metrics.failures.WithLabelValues("not-run").Inc()
	case ctx.Err() == nil:
		c.recordFailure(result.err)
	}
	c.possiblyRan = c.possiblyRan || result.mayHaveRun()
	c.excludeTarget()
}

// canRetry reports whether the request may run once more, at another endpoint.
func (c *call) canRetry() bool {
	return c.route.RetryPolicy() != route.AtMostOnce && c.attempts < c.route.MaxAttempts()
}

// fullResponse is a response with its complete body.
type fullResponse struct {
	status int
	header http.Header
	body   []byte
	// notRun is set if the endpoint states that it did not run the request; only status is
	// set with it.
	notRun bool
}

// roundTrip sends the request to an endpoint and reads the whole response.
func (c *call) roundTrip(ctx context.Context, t endpoint.Target) (fullResponse, error) {
	response, err := c.Transport.Send(ctx, t, EndpointRequest{
		Request: c.request, Deadline: c.deadline, Priority: noPriority, Customer: c.customer.Name, FreshConnection: c.route.RetryPolicy() == route.AtMostOnce,
		OnLeaving: c.leavingRecorder(t),
	})
	if err != nil {
		return fullResponse{}, err
	}
	defer response.Close()
	c.recordLimit(t, response)
	body, err := response.Body()
	if response.NotRun() {
		return fullResponse{notRun: true, status: response.Status()}, nil
	}
	if err != nil {
		return fullResponse{}, err
	}
	return fullResponse{status: response.Status(), header: response.Header(), body: body}, nil
}

// plainQuery describes the request to the endpoint directory.
func (c *call) plainQuery() endpoint.Query {
	return endpoint.Query{Service: c.service, Kind: c.route.Name(), Once: c.route.RetryPolicy() == route.AtMostOnce, MaxQueued: maxQueuedPlain, LocalDomain: c.Domain, ExcludedIDs: c.excludedIDs}
}

// refuseFailed refuses a request that no endpoint served; lastErr is the error of the last
// attempt that may have run, or nil. The status tells whether an endpoint may have run the
// request: 503 if none did, otherwise 504 after the deadline and 502 before it. If the
// caller has disconnected, there is no response.
func (c *call) refuseFailed(ctx context.Context, w Responder, err, lastErr error) {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		w.Abort()
		c.Metrics.observeCallerLeft(c)
		c.logRequest("caller left", 0, err.Error())
		return
	}
	expired := ctx.Err() != nil
	switch {
	case c.possiblyRan && expired:
		c.refuse(c, w, Refusal{Status: http.StatusGatewayTimeout, Reason: "no answer in time: " + firstMessage(lastErr, err)})
	case c.possiblyRan && c.route.RetryPolicy() == route.AtMostOnce:
		c.refuse(c, w, Refusal{Status: http.StatusBadGateway, Reason: "outcome unknown, an endpoint may have run the request: " + firstMessage(lastErr, err)})
	case c.possiblyRan:
		c.refuse(c, w, Refusal{Status: http.StatusBadGateway, Reason: "all attempts at endpoints failed: " + firstMessage(lastErr, err)})
	default:
		c.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: c.retryAfter(err), Reason: err.Error()})
	}
}

// firstMessage returns the message of the first error that is not nil.
func firstMessage(errs ...error) string {
	for _, err := range errs {
		if err != nil {
			return err.Error()
		}
	}
	return "unknown"
}

// retryAfter returns when the caller may retry after err: after at most a quarter of the time
// left until its deadline, or 0 if none is left.
func (c *call) retryAfter(err error) time.Duration {
	remaining := time.Until(c.deadline)
	if remaining <= 0 {
		return 0
	}
	wait := maxRetryAfter
	if dispatch.KindOf(err) == dispatch.KindOverload {
		wait = dispatch.RetryAfter(err)
	}
	return min(wait, remaining/4)
}

// maxQueuedPlain is how many requests beyond its slots a plain endpoint may hold.
const maxQueuedPlain = 3

// noPriority leaves the priority out of the request, so that the endpoint uses its default.
const noPriority = -1
