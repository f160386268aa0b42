package logging

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap/zapcore"
)

const (
	// outcomeKey is the field by which lines of requests are told apart.
	outcomeKey = "outcome"
	// ordinaryOutcome is the outcome of requests that need no explanation.
	ordinaryOutcome = "answered"
	// maxKinds bounds the kinds of lines that have a budget of their own.
	maxKinds = 512
)

// Config describes the budget of lines.
type Config struct {
	// Ordinary is the number of lines a second of requests that were answered.
	Ordinary int
	// Other is the number of lines a second of each other kind.
	Other int
}

// Defaults of the budget, in lines a second.
const (
	DefaultOrdinary = 20
	DefaultOther    = 200
)

// budget limits the lines of each kind within each second.
type budget struct {
	config  Config
	mu      sync.Mutex
	second  int64
	counts  map[string]int
	dropped atomic.Int64
}

// core drops the lines that exceed the budget.
type core struct {
	zapcore.Core
	budget *budget
}

// NewCore returns a core that passes lines on within a budget, and a function that
// returns how many it has dropped.
func NewCore(inner zapcore.Core, c Config) (zapcore.Core, func() int64) {
	b := &budget{config: c, counts: map[string]int{}}
	return &core{Core: inner, budget: b}, b.dropped.Load
}

// With returns a core with more fields and the same budget.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	return &core{Core: c.Core.With(fields), budget: c.budget}
}

// Check lets the core write lines of its level.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write passes a line on unless its kind has used its budget.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	outcome := ""
	for _, f := range fields {
		if f.Key == outcomeKey {
			outcome = f.String
		}
	}
	if !c.budget.allow(e.Message+"/"+outcome, outcome == ordinaryOutcome, e.Time) {
		c.budget.dropped.Add(1)
		return nil
	}
	return c.Core.Write(e, fields)
}

func (b *budget) allow(kind string, ordinary bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := now.Unix(); s != b.second {
		b.second = s
		clear(b.counts)
	}
	if len(b.counts) >= maxKinds {
		kind = ""
	}
	b.counts[kind]++
	limit := b.config.Other
	if ordinary {
		limit = b.config.Ordinary
	}
	return b.counts[kind] <= limit
}
