package placement

import (
	"time"

	"github.com/lavendervale/lavendervale/class"
)

// Load is the load that an endpoint reports.
type Load struct {
	config LoadConfig
}

// LoadConfig holds the values of a Load.
type LoadConfig struct {
	// Incarnation identifies one run of the endpoint's process; a restart changes it.
	Incarnation uint64
	// Leaving is set when the endpoint takes no new programs.
	Leaving bool
	// Programs counts the programs whose home is at the endpoint.
	Programs int64
	// Running counts the calls that run at the engine.
	Running int64
	// Limit is the number of calls that the engine may run at once.
	Limit int64
	// Waiting counts the waiting calls, by rank.
	Waiting [class.Ranks]int64
	// WaitingTokens is the total cost of the waiting calls, by rank, in prompt tokens.
	WaitingTokens [class.Ranks]int64
	// RemainingService is the slot time that the admitted programs are expected to need
	// still, by rank.
	RemainingService [class.Ranks]time.Duration
	// PrefillRate is the speed of prompt processing, in tokens per second; 0 means
	// unknown.
	PrefillRate float64
	// DecodeRate is the speed of generation for one call, in tokens per second; 0 means
	// unknown.
	DecodeRate float64
}

// NewLoad returns a Load with the given values.
func NewLoad(c LoadConfig) Load { return Load{config: c} }

// Incarnation returns the number that identifies one run of the endpoint's process.
func (l Load) Incarnation() uint64 { return l.config.Incarnation }

// Leaving reports whether the endpoint takes no new programs.
func (l Load) Leaving() bool { return l.config.Leaving }

// Programs returns the number of programs whose home is at the endpoint.
func (l Load) Programs() int64 { return l.config.Programs }

// Running returns the number of calls that run at the engine.
func (l Load) Running() int64 { return l.config.Running }

// Limit returns the number of calls that the engine may run at once.
func (l Load) Limit() int64 { return l.config.Limit }

// Waiting returns the number of waiting calls of a rank.
func (l Load) Waiting(rank class.Rank) int64 { return l.config.Waiting[rank] }

// WaitingTokens returns the total cost of the waiting calls of a rank, in prompt tokens.
func (l Load) WaitingTokens(rank class.Rank) int64 { return l.config.WaitingTokens[rank] }

// RemainingService returns the slot time that the admitted programs of a rank are
// expected to need still.
func (l Load) RemainingService(rank class.Rank) time.Duration { return l.config.RemainingService[rank] }

// PrefillRate returns the speed of prompt processing, in tokens per second; 0 means
// unknown.
func (l Load) PrefillRate() float64 { return l.config.PrefillRate }

// DecodeRate returns the speed of generation for one call, in tokens per second; 0 means
// unknown.
func (l Load) DecodeRate() float64 { return l.config.DecodeRate }
