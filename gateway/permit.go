package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/endpoint"
)

const (
	// minPermitWait is the least time until this instance asks again for a permit of an
	// endpoint that has none free.
	minPermitWait = 20 * time.Millisecond
	// permitFailureWait is that time when the issuer did not answer.
	permitFailureWait = 300 * time.Millisecond
	// permitJitter is the upper bound of a random addition to that time, as a share of it,
	// so that instances do not ask at once.
	permitJitter = 0.25
)

// PermitIssuer issues permits to send requests to endpoints that name a rate limit.
type PermitIssuer interface {
	// TakePermit takes a permit for one request and returns 0. If none is free, it returns
	// how long until the next one is.
	TakePermit(ctx context.Context, t endpoint.Target) (time.Duration, error)
}

// takePermit takes a permit for a picked endpoint, if that names a limit, and reports whether
// the request may be sent. If not, the endpoint is released.
func (c *call) takePermit(ctx context.Context, t endpoint.Target) bool {
	if !t.Limit().Named {
		return true
	}
	wait, err := c.Permits.TakePermit(ctx, t)
	switch {
	case err != nil:
		wait = permitFailureWait
		c.Metrics.permits.WithLabelValues("failed").Inc()
		c.Logger.Warn("no permit for an endpoint", zap.String("request", c.request.ID), zap.String("endpoint", t.ID()), zap.Error(err))
	case wait == 0:
		c.Directory.PermitTaken(t)
		c.Metrics.permits.WithLabelValues("taken").Inc()
		return true
	default:
		wait = max(minPermitWait, wait)
		c.Metrics.permits.WithLabelValues("denied").Inc()
	}
	wait += time.Duration(permitJitter * rand.Float64() * float64(wait))
	c.Directory.PermitDenied(t, wait, time.Now())
	return false
}
