package schedule

import (
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/placement"
)

// Load returns the current load of the endpoint. The fields that the schedule does
// not know, such as the incarnation and the prefill rate, stay zero.
func (s *Schedule) Load(now time.Time) placement.LoadConfig {
	c := placement.LoadConfig{
		Programs: int64(len(s.programs)), Running: int64(s.slots.Running()), Limit: int64(s.limit.Value()),
		DecodeRate: s.decodeRate(now),
	}
	for r := range class.Ranks {
		c.Waiting[r] = int64(s.slots.Queue().Waiting(r))
		c.WaitingTokens[r] = s.slots.Queue().WaitingTokens(r)
		c.RemainingService[r] = s.admission.RemainingService(r)
	}
	return c
}

// decodeRate returns the speed of one stream in tokens per second, or 0 when no call
// has been observed for maxLatencyAge.
func (s *Schedule) decodeRate(now time.Time) float64 {
	if s.limit.InterTokenLatency() == 0 || now.Sub(s.latencyObservedAt) > maxLatencyAge {
		return 0
	}
	return 1 / s.limit.InterTokenLatency().Seconds()
}

// RemainingService returns the service that the registered programs of a rank are
// expected to need still.
func (s *Schedule) RemainingService(rank class.Rank) time.Duration {
	return s.admission.RemainingService(rank)
}

// Running returns the number of running calls.
func (s *Schedule) Running() int { return s.slots.Running() }

// Limit returns the number of calls that may run at once.
func (s *Schedule) Limit() int { return s.limit.Value() }

// FloorShare returns the floor of a rank: the share of service, from 0 to 1, that
// it keeps however much work the other rank has.
func (s *Schedule) FloorShare(rank class.Rank) float64 { return s.floors.Share(rank) }
