package route

import "time"

// Repeat tells how often a request may run.
type Repeat uint8

// Kinds of requests by what may be repeated.
const (
	// Idempotent requests may run more than once.
	Idempotent Repeat = iota
	// Once requests run at most once for each attempt of a caller.
	Once
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
	Prefix string
	// Repeat tells how often a request may run.
	Repeat Repeat
	// Streaming is set when answers are streams of events.
	Streaming bool
	// Timeout bounds the whole request, 0 for no bound.
	Timeout time.Duration
	// Target is the time within which an answer, or its first event, is on time.
	Target time.Duration
	// GapTarget is the longest pause between two events of a stream on time.
	GapTarget time.Duration
	// Rank orders the routes of a service, 0 is first.
	Rank int
	// Splits are the services and their shares.
	Splits []Split
	// MaxAttempts bounds the endpoints that an attempt of a caller runs on.
	MaxAttempts int
	// Stateful is set when the system keeps what was said.
	Stateful bool
	// Retention is how long a turn is kept.
	Retention time.Duration
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
	config Config
	total  float64
}

// New returns a route.
func New(c Config) *Route {
	r := &Route{config: c}
	for _, s := range c.Splits {
		r.total += s.Weight
	}
	return r
}

// Name returns the name.
func (r *Route) Name() string { return r.config.Name }

// Repeat returns how often a request may run.
func (r *Route) Repeat() Repeat { return r.config.Repeat }

// Streaming reports whether answers are streams of events.
func (r *Route) Streaming() bool { return r.config.Streaming }

// Timeout returns the bound of the whole request, 0 for none.
func (r *Route) Timeout() time.Duration { return r.config.Timeout }

// Target returns the time within which an answer is on time.
func (r *Route) Target() time.Duration { return r.config.Target }

// GapTarget returns the longest pause between two events on time.
func (r *Route) GapTarget() time.Duration { return r.config.GapTarget }

// Rank returns the rank, 0 is first.
func (r *Route) Rank() int { return r.config.Rank }

// MaxAttempts returns the bound of endpoints for an attempt, 1 at least.
func (r *Route) MaxAttempts() int { return max(1, r.config.MaxAttempts) }

// Stateful reports whether the system keeps what was said.
func (r *Route) Stateful() bool { return r.config.Stateful }

// Retention returns how long a turn is kept.
func (r *Route) Retention() time.Duration { return r.config.Retention }

// Service returns the service for a request; draw is uniform in [0,1).
func (r *Route) Service(draw float64) string {
	at := draw * r.total
	for _, s := range r.config.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	if n := len(r.config.Splits); n > 0 {
		return r.config.Splits[n-1].Service
	}
	return ""
}
