package route

import "time"

// Repeat tells how often a request may run.
type RetryPolicy uint8

// Kinds of requests by what may be repeated.
const (
	// Idempotent requests may run more than once.
	Idempotent RetryPolicy = iota
	// Once requests run at most once for each attempt of a caller.
	AtMostOnce
	// Resumable streams may go on at another endpoint after the last event.
	Resumable
)

// Config describes a Route.
type Config struct {
	// Name is unique in a table.
	Name string
	// Host is the host that callers name, without a port.
	Host string
	// Prefix starts and ends with a slash.
	PathPrefix string
	// Repeat tells how often a request may run.
	RetryPolicy RetryPolicy
	// Streaming is set when answers are streams of events.
	Streaming bool
	// Timeout bounds the whole request, 0 for no bound.
	Timeout time.Duration
	// Target is the time within which an answer, or its first event, is on time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream on time.
	EventGapTarget time.Duration
	// Rank orders the routes of a service, 0 is first.
	Rank int
	// Splits are the services and their shares.
	Splits []Split
	// MaxAttempts bounds the endpoints that an attempt of a caller runs on.
	MaxAttempts int
	// Stateful is set when the system keeps what was said.
	Stateful bool
	// Retention is how long a turn is kept.
	TurnRetention time.Duration
}

// Split is the share of a service in the requests of a route.
type Split struct {
	// Service is the name of the service.
	Service string
	// Weight is relative to the other splits.
	Weight float64
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	config      Config
	totalWeight float64
}

// New returns a route.
func New(c Config) *Route {
	r := &Route{config: c}
	for _, s := range c.Splits {
		r.totalWeight += s.Weight
	}
	return r
}

// Name returns the name.
func (r *Route) Name() string { return r.config.Name }

// Repeat returns how often a request may run.
func (r *Route) RetryPolicy() RetryPolicy { return r.config.RetryPolicy }

// Streaming reports whether answers are streams of events.
func (r *Route) Streaming() bool { return r.config.Streaming }

// Timeout returns the bound of the whole request, 0 for none.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// Target returns the time within which an answer is on time.
func (r *Route) LatencyTarget() time.Duration { return r.config.LatencyTarget }

// GapTarget returns the longest pause between two events on time.
func (r *Route) EventGapTarget() time.Duration { return r.config.EventGapTarget }

// Rank returns the rank, 0 is first.
func (r *Route) Rank() int { return r.config.Rank }

// MaxAttempts returns the bound of endpoints for an attempt, 1 at least.
func (r *Route) MaxAttempts() int { return max(1, r.config.MaxAttempts) }

// Stateful reports whether the system keeps what was said.
func (r *Route) Stateful() bool { return r.config.Stateful }

// Retention returns how long a turn is kept.
func (r *Route) TurnRetention() time.Duration { return r.config.TurnRetention }

// Service returns the service for a request; draw is uniform in [0,1).
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
