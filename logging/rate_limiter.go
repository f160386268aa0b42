package logging

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// outcomeField is the log field with the outcome of a request.
	outcomeField = "outcome"
	// answeredOutcome is the outcome of successful requests.
	answeredOutcome = "answered"
	// maxKinds bounds the number of kinds that are counted separately, and so the
	// memory of the limiter. Once it is reached, all lines share one count until the
	// next second.
	maxKinds = 512
)

// Limits sets how many lines of each kind are written within each second. The kind of a
// line is its message together with the value of its outcome field.
type Limits struct {
	// AnsweredPerSecond applies to each kind with the outcome "answered". It is separate
	// so that successful requests don't fill the log under load.
	AnsweredPerSecond int
	// OtherPerSecond applies to each other kind.
	OtherPerSecond int
}

// Default limits, in lines per second.
const (
	DefaultAnsweredPerSecond = 20
	DefaultOtherPerSecond    = 200
)

// rateLimiter counts the lines of each kind within the current second.
type rateLimiter struct {
	limits Limits
	// mu guards second and linesByKind.
	mu sync.Mutex
	// second is the current second in Unix time.
	second int64
	// linesByKind holds the number of lines in the current second, dropped ones
	// included. The empty kind counts all lines after maxKinds has been reached.
	linesByKind map[string]int
	// dropped is the number of lines dropped so far.
	dropped atomic.Int64
}

// limitedCore drops the lines that exceed the limits.
type limitedCore struct {
	zapcore.Core
	limiter *rateLimiter
}

// NewLimitedCore returns a core that writes the lines within the limits to inner, and a
// function that returns the number of lines dropped so far.
func NewLimitedCore(inner zapcore.Core, l Limits) (zapcore.Core, func() int64) {
	limiter := &rateLimiter{limits: l, linesByKind: map[string]int{}}
	return &limitedCore{Core: inner, limiter: limiter}, limiter.dropped.Load
}

// With returns a core with additional fields that shares the limiter of c.
func (c *limitedCore) With(fields []zapcore.Field) zapcore.Core {
	return &limitedCore{Core: c.Core.With(fields), limiter: c.limiter}
}

// Check adds the core to ce if the level of the entry is enabled.
func (c *limitedCore) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write writes the line unless the limit of its kind has been reached in this second.
func (c *limitedCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	outcome := ""
	for _, f := range fields {
		if f.Key == outcomeField {
			outcome = f.String
		}
	}
	if !c.limiter.allow(e.Message+"/"+outcome, outcome == answeredOutcome, e.Time) {
		c.limiter.dropped.Add(1)
		return nil
	}
	return c.Core.Write(e, fields)
}

// allow counts a line and reports whether it is within the limit.
func (r *rateLimiter) allow(kind string, answered bool, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if unixSecond := now.Unix(); unixSecond != r.second {
		r.second = unixSecond
		clear(r.linesByKind)
	}
	if len(r.linesByKind) >= maxKinds {
		kind = ""
	}
	r.linesByKind[kind]++
	limit := r.limits.OtherPerSecond
	if answered {
		limit = r.limits.AnsweredPerSecond
	}
	return r.linesByKind[kind] <= limit
}
