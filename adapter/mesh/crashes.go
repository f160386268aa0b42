package mesh

import (
	"math"
	"time"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/quarantine"
)

// crashesToGossip returns crashes for a datagram.
func crashesToGossip(crashes []quarantine.Crash, now time.Time) []*meshpb.Crash {
	out := make([]*meshpb.Crash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, &meshpb.Crash{Request: c.Request, Incarnation: c.Incarnation, BeganAgoUs: microseconds(now.Sub(c.BeganAt)), EndedAgoUs: microseconds(now.Sub(c.EndedAt))})
	}
	return out
}

// crashesFromGossip returns the crashes of a datagram that was received at heardAt.
func crashesFromGossip(crashes []*meshpb.Crash, heardAt time.Time) []quarantine.Crash {
	out := make([]quarantine.Crash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, quarantine.Crash{Request: c.GetRequest(), Incarnation: c.GetIncarnation(), BeganAt: before(heardAt, c.GetBeganAgoUs()), EndedAt: before(heardAt, c.GetEndedAgoUs())})
	}
	return out
}

// microseconds returns a duration in microseconds, 0 if it is negative.
func microseconds(d time.Duration) uint64 { return uint64(max(0, d.Microseconds())) }

// before returns the time so many microseconds before t, at most the longest duration.
func before(t time.Time, us uint64) time.Time {
	return t.Add(-time.Duration(min(us, uint64(math.MaxInt64/int64(time.Microsecond)))) * time.Microsecond)
}
