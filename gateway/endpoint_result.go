package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/endpoint"
)

// excludeTarget excludes the current target from further attempts of the request.
func (c *call) excludeTarget() {
	if c.excludedIDs == nil {
		c.excludedIDs = map[string]bool{}
	}
	c.excludedIDs[c.target.ID()] = true
}

// recordFailure reports a failure of the current target to the directory, the metrics and
// the log.
func (c *call) recordFailure(err error) {
	now := time.Now()
	kind := KindOf(err)
	c.Directory.RecordFailure(c.target, kind == KindUnreachable || kind == KindReset, now)
	c.Metrics.failures.WithLabelValues(kindName(kind)).Inc()
	if kind == KindReset || kind == KindBroken {
		go c.recordCrashIfDown(c.target, now)
	}
	fields := []zap.Field{
		zap.String("request", c.request.ID), zap.String("endpoint", c.target.ID()), zap.String("address", c.target.Address()), zap.String("version", c.target.Registration().Version),
		zap.Int64("started", c.target.Registration().StartedUnixMS), zap.Int("events", c.eventCount), zap.Error(err),
	}
	c.Logger.Warn("endpoint failed", append(fields, presenceFields(c.Directory.Presence(c.target, now))...)...)
}

// presenceFields returns the log fields that tell an endpoint that leaves from one that has crashed.
func presenceFields(p endpoint.Presence) []zap.Field {
	return []zap.Field{
		zap.Bool("draining", p.Draining()), zap.Bool("leaving", p.Leaving()), zap.Duration("missing", p.MissingFor()),
		zap.Duration("heartbeat_age", p.HeartbeatAge()), zap.Duration("read_age", p.ReadAge()),
	}
}

// recordLimit reports the rate limit that an endpoint named in a response to the directory,
// and logs it when it has changed.
func (c *call) recordLimit(t endpoint.Target, response Response) {
	limit, known := response.Limit()
	if !known || !c.Directory.RecordLimit(t, limit, time.Now()) {
		return
	}
	c.Logger.Info("endpoint limit changed", zap.String("endpoint", t.ID()), zap.String("request", c.request.ID),
		zap.Bool("named", limit.Named), zap.Float64("per_second", limit.PerSecond))
}

// leavingRecorder returns a function that reports to the directory that an endpoint said it leaves,
// and logs it the first time, with what was known of the endpoint before.
func (c *call) leavingRecorder(t endpoint.Target) func() {
	return func() {
		c.Metrics.leavingResponses.Inc()
		if !c.Directory.RecordLeaving(t, time.Now()) {
			return
		}
		c.Logger.Info("endpoint leaves", zap.String("endpoint", t.ID()), zap.String("address", t.Address()), zap.String("version", t.Registration().Version),
			zap.String("request", c.request.ID), zap.Bool("draining", t.Registration().State == endpoint.Draining), zap.Duration("picked_before", time.Since(t.PickedAt())))
	}
}

// recordCrashIfDown records a crash if an endpoint that broke off a request at brokenAt no longer
// accepts connections and is not known to leave, or to have crashed all the same. If it does accept
// them, only the connection was lost. Neither that nor a planned end says anything against the request.
func (c *call) recordCrashIfDown(target endpoint.Target, brokenAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	alive := c.Transport.Alive(ctx, target)
	cancel()
	if alive {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), closureTimeout)
	defer cancel()
	if closure := c.awaitClosure(ctx, target, brokenAt, lazyClosureReadInterval); closure != endpoint.ClosureCrashed {
		c.logClosure("endpoint left while it ran a request", target, closure)
		return
	}
	c.CrashTracker.RecordCrash(c.identity, target.IncarnationKey(), target.PickedAt(), brokenAt)
	fields := []zap.Field{
		zap.String("request", c.request.ID), zap.String("endpoint", target.ID()), zap.Uint64("content", c.identity.Content()), zap.Uint64("conversation", c.identity.Conversation()),
	}
	c.Logger.Warn("endpoint crashed while it ran a request", append(fields, presenceFields(c.Directory.Presence(target, time.Now()))...)...)
}
