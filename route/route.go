package route

import (
	"slices"
	"time"
)

// RetryPolicy determines whether a request may run again after a failure.
type RetryPolicy uint8

// Retry policies.
const (
	// Idempotent requests may run more than once.
	Idempotent RetryPolicy = iota
	// AtMostOnce requests run at most once for each attempt of a caller.
	AtMostOnce
	// Resumable streams may continue on another endpoint after their last event.
	Resumable
)

// Config configures a Route.
type Config struct {
	// Name identifies the route. It is unique in a table.
	Name string
	// Host is the host of the request, without a port.
	Host string
	// PathPrefix is the prefix of the request's path. It starts and ends with a slash.
	PathPrefix string
	// RetryPolicy determines whether a request may run again.
	RetryPolicy RetryPolicy
	// Streaming is set when responses are streams of events.
	Streaming bool
	// Timeout limits the time of a whole request, 0 for no limit.
	Timeout time.Duration
	// LatencyTarget is the time within which a response should be complete or, on
	// streaming routes, its first event should arrive.
	LatencyTarget time.Duration
	// EventGapTarget is the time within which the next event of a stream should follow.
	EventGapTarget time.Duration
	// Rank orders the waiting requests of a service; 0 is served first.
	Rank int
	// Anonymous is set if callers need no key.
	Anonymous bool
	// Splits lists the services that serve the route and their shares of its requests.
	Splits []Split
	// MaxAttempts limits the endpoints that run one attempt of a caller. Values below 1
	// mean 1.
	MaxAttempts int
	// Stateful is set when turns are kept, so that later requests can continue them.
	Stateful bool
	// TurnRetention is how long a turn of a stateful route is kept.
	TurnRetention time.Duration
}

// Split is the share of one service in the requests of a route.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is the share relative to the total of all splits of the route.
	Weight float64
}

// Route determines how requests with a host and path prefix are served. It is
// immutable.
type Route struct {
	config Config
	// totalWeight is the sum of the weights of all splits.
	totalWeight float64
}

// New returns a route with the given configuration. NewTable validates it.
func New(c Config) *Route {
	r := &Route{config: c}
	for _, s := range c.Splits {
		r.totalWeight += s.Weight
	}
	return r
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.config.Name }

// RetryPolicy returns whether a request may run again.
func (r *Route) RetryPolicy() RetryPolicy { return r.config.RetryPolicy }

// Streaming reports whether responses are streams of events.
func (r *Route) Streaming() bool { return r.config.Streaming }

// Timeout returns the time limit of a whole request, 0 for no limit.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// LatencyTarget returns the time within which a response should be complete or, on
// streaming routes, its first event should arrive.
func (r *Route) LatencyTarget() time.Duration { return r.config.LatencyTarget }

// EventGapTarget returns the time within which the next event of a stream should
// follow.
func (r *Route) EventGapTarget() time.Duration { return r.config.EventGapTarget }

// Rank returns the rank of the route; 0 is served first.
func (r *Route) Rank() int { return r.config.Rank }

// MaxAttempts returns the maximum number of endpoints that run one attempt of a caller,
// at least 1.
func (r *Route) MaxAttempts() int { return max(1, r.config.MaxAttempts) }

// Stateful reports whether turns are kept, so that later requests can continue them.
func (r *Route) Stateful() bool { return r.config.Stateful }

// TurnRetention returns how long a turn is kept.
func (r *Route) TurnRetention() time.Duration { return r.config.TurnRetention }

// Uses reports whether some requests of the route go to a service.
func (r *Route) Uses(service string) bool {
	return slices.ContainsFunc(r.config.Splits, func(s Split) bool { return s.Service == service && s.Weight > 0 })
}

// PickService returns the service for a request according to the weights of the splits.
// draw is a random number, uniform in [0,1).
func (r *Route) PickService(draw float64) string {
	rest := draw * r.totalWeight
	for _, s := range r.config.Splits {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	if n := len(r.config.Splits); n > 0 {
		return r.config.Splits[n-1].Service
	}
	return ""
}
