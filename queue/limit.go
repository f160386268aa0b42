package queue

import "time"

const (
	// increaseStep is how much the limit grows over as many observations as the limit;
	// each observation adds an equal part.
	increaseStep = 0.5
	// decreaseFactor multiplies the limit when tokens come slower than the target.
	decreaseFactor = 0.92
	// latencyWeight is the weight of a new observation in the mean inter-token latency.
	latencyWeight = 0.2
	// minDecreaseInterval is the least time between two decreases. The effect of one
	// must show in the latency before the next.
	minDecreaseInterval = 500 * time.Millisecond
)

// Limit is an adaptive limit on the calls that run at an engine at once. It grows
// while the time between generated tokens stays below a target and shrinks when it
// does not (additive increase, multiplicative decrease, after Chiu and Jain). It is
// not safe for concurrent use.
type Limit struct {
	config LimitConfig
	value  float64
	// interTokenLatency is the moving average of the observations, 0 before the first.
	interTokenLatency time.Duration
	lastDecreaseAt    time.Time
}

// LimitConfig holds the settings of a Limit.
type LimitConfig struct {
	// Initial is the limit at the start.
	Initial int
	// Min and Max bound the limit. Min is raised to 1, and Max to Initial and Min.
	Min int
	Max int
	// InterTokenTarget is the mean time between tokens to keep below; 0 keeps the
	// limit fixed.
	InterTokenTarget time.Duration
}

// NewLimit returns a limit that starts at c.Initial.
func NewLimit(c LimitConfig) *Limit {
	c.Min = max(1, c.Min)
	c.Max = max(c.Max, c.Initial, c.Min)
	return &Limit{config: c, value: float64(c.Initial)}
}

// Value returns the number of calls that may run at once.
func (l *Limit) Value() int { return int(l.value) }

// InterTokenLatency returns the mean time between generated tokens; 0 means unknown.
func (l *Limit) InterTokenLatency() time.Duration { return l.interTokenLatency }

// Observe adapts the limit to the mean time between tokens of a call that ended; 0
// means that it is unknown and changes nothing. The limit grows only when full is
// set, that is when the engine ran as many calls as allowed.
func (l *Limit) Observe(latency time.Duration, full bool, now time.Time) {
	if latency <= 0 {
		return
	}
	if l.interTokenLatency == 0 {
		l.interTokenLatency = latency
	}
	l.interTokenLatency += time.Duration(latencyWeight * float64(latency-l.interTokenLatency))
	if l.config.InterTokenTarget == 0 {
		return
	}
	if l.interTokenLatency > l.config.InterTokenTarget && now.Sub(l.lastDecreaseAt) >= minDecreaseInterval {
		l.value = max(float64(l.config.Min), l.value*decreaseFactor)
		l.lastDecreaseAt = now
		return
	}
	if full && l.interTokenLatency <= l.config.InterTokenTarget {
		l.value = min(float64(l.config.Max), l.value+increaseStep/l.value)
	}
}
