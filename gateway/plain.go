package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/overload"
	"github.com/lavendervale/lavendervale/route"
)

const (
	// maxQueuedPlain is how many requests beyond its slots a plain endpoint may hold.
	maxQueuedPlain = 3
	// noPriority leaves the priority out of the request, so that the endpoint uses its default.
	noPriority = -1
	// copyBytes is the size of the parts of a body that is not whole in memory.
	copyBytes = 16 << 10
)

// servePlain serves a request whose response is buffered and passed on whole. It tries
// further endpoints until one succeeds, the deadline passes, or the request may not be
// repeated.
func (c *call) servePlain(ctx context.Context, w Responder) {
	var lastErr error
	// failed is the latest attempt that an endpoint answered with an error of its own.
	var failed *attemptResult
	for {
		if err := c.acquire(ctx, c.plainQuery(), c.queuePriority()); err != nil {
			if failed != nil {
				c.answer(ctx, w, *failed)
				return
			}
			c.refuseFailed(ctx, w, err, lastErr)
			return
		}
		result := c.sendHedged(ctx)
		c.target = result.target
		if result.succeeded() {
			c.recordAnswer(result)
			if !isServerError(result.response.status) || result.response.rest != nil || !c.canRetry() || !c.repeatWithinQuota(ctx) {
				c.answer(ctx, w, result)
				return
			}
			c.possiblyRan = true
			c.excludeTarget()
			failed = &result
			continue
		}
		if failed != nil {
			c.recordFailedAttempt(ctx, result)
			c.answer(ctx, w, *failed)
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

// answer passes the response of an attempt on to the caller.
func (c *call) answer(ctx context.Context, w Responder, result attemptResult) {
	c.target = result.target
	c.respond(ctx, w, result.response)
	result.end()
}

// recordAnswer reports to the directory how an endpoint answered.
func (c *call) recordAnswer(result attemptResult) {
	if c.recordResponse(result.target, result.response.status) {
		return
	}
	c.Directory.RecordSuccess(result.target, time.Now())
}

// recordResponse counts a response towards the error rate of its endpoint, and reports whether it is an
// error of the endpoint.
func (c *call) recordResponse(t endpoint.Target, status int) bool {
	now := time.Now()
	isError := isServerError(status)
	c.Directory.RecordResponse(t, isError, now)
	if isError {
		c.Metrics.failures.WithLabelValues("error-response").Inc()
		c.Logger.Warn("endpoint answered with an error", zap.String("request", c.request.ID), zap.String("endpoint", t.ID()), zap.Int("status", status),
			zap.Float64("error_rate", c.Directory.ErrorRate(t, now)))
	}
	return isError
}

// isServerError reports whether a response says that its endpoint failed. One that gives up at the deadline
// (504) may only have had too little time.
func isServerError(status int) bool {
	return status >= http.StatusInternalServerError && status != http.StatusGatewayTimeout
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

// bufferedResponse is a response of which the body has been read, as far as memory permits.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows body, or nil if body is whole.
	rest io.Reader
	// notRun is set if the endpoint states that it did not run the request; only status is
	// set with it.
	notRun bool
}

// respond passes the response of the current target on to the caller. The part of a long body
// that is not in memory is read at the pace of the caller; if it breaks off, so does the response.
func (c *call) respond(ctx context.Context, w Responder, r bufferedResponse) {
	if r.rest == nil {
		c.CrashTracker.RecordCompletion(c.identity)
		w.Respond(r.status, r.header, r.body)
		c.Metrics.observeAnswered(c, r.status)
		c.logRequest("answered", r.status, "")
		return
	}
	err := copyBody(w, r)
	switch {
	case err == nil:
		c.CrashTracker.RecordCompletion(c.identity)
		w.FinishStream()
		c.Metrics.observeAnswered(c, r.status)
		c.logRequest("answered", r.status, "")
	case errors.Is(err, errCallerGone):
		w.Abort()
		c.Metrics.observeCallerLeft(c)
		c.logRequest("caller left", 0, err.Error())
	default:
		if ctx.Err() == nil {
			c.recordFailure(err)
		}
		w.Abort()
		c.Metrics.observeBroken(c)
		c.logRequest("cut off", 0, err.Error())
	}
}

// copyBody sends a response whose body is not whole in memory.
func copyBody(w Responder, r bufferedResponse) error {
	if err := w.StartStream(r.status, r.header); err != nil {
		return errors.Join(errCallerGone, err)
	}
	part := r.body
	buffer := make([]byte, copyBytes)
	for {
		if len(part) > 0 {
			if err := w.WriteEvent(part); err != nil {
				return errors.Join(errCallerGone, err)
			}
		}
		n, err := r.rest.Read(buffer)
		part = buffer[:n]
		if err == io.EOF && n == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
}

// roundTrip sends the request to an endpoint and reads the response as far as memory permits; repeatable
// tells whether another attempt may follow. The second result closes the response; it is not nil if and
// only if the rest is to be read.
func (c *call) roundTrip(ctx context.Context, t endpoint.Target, repeatable bool) (bufferedResponse, func(), error) {
	end := &endConfirmer{call: c, target: t, repeatable: repeatable}
	response, err := c.Transport.Send(ctx, t, EndpointRequest{
		Request: c.request, Deadline: c.deadline, Priority: noPriority, Customer: c.customer.Name, FreshConnection: c.route.RetryPolicy() == route.AtMostOnce,
		OnLeaving: c.leavingRecorder(t), ConfirmEnd: end.confirm,
	})
	if err != nil {
		return bufferedResponse{}, nil, err
	}
	c.recordLimit(t, response)
	body, err := response.Body()
	if err == nil && response.Rest() != nil && !response.NotRun() {
		end.repeatable = false
		return newBufferedResponse(response, body), response.Close, nil
	}
	defer response.Close()
	if response.NotRun() {
		return bufferedResponse{notRun: true, status: response.Status()}, nil, nil
	}
	if err != nil {
		return bufferedResponse{}, nil, err
	}
	return newBufferedResponse(response, body), nil, nil
}

// newBufferedResponse returns a response whose body begins with body.
func newBufferedResponse(r Response, body []byte) bufferedResponse {
	return bufferedResponse{status: r.Status(), header: r.Header(), body: body, rest: r.Rest()}
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
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
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
	if after, ok := overload.RetryAfter(err); ok {
		wait = after
	}
	return min(wait, remaining/4)
}
