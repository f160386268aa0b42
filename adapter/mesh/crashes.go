package mesh

import (
	"sync"
	"time"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
)

const (
	// banThreshold is the number of attempts of a request that must have crashed an
	// endpoint for the request not to be run again.
	banThreshold = 3
	// crashRetention is how long a crash counts towards banThreshold.
	crashRetention = 5 * time.Minute
	// crashGossipDuration is how long after a crash it is part of the gossip; repeating
	// it makes up for lost datagrams.
	crashGossipDuration = 30 * time.Second
	// maxGossipCrashes bounds the crashes in one datagram.
	maxGossipCrashes = 256
)

// crashRegistry records which attempts of requests crashed an endpoint, as seen by this
// front or reported by others. A request is identified by a digest of its content, which
// is equal for all attempts, and an attempt by a hash of its request ID.
type crashRegistry struct {
	mu sync.Mutex
	// crashedAt holds the time of each crash, by request and then by attempt.
	crashedAt map[uint64]map[uint64]time.Time
}

func newCrashRegistry() *crashRegistry {
	return &crashRegistry{crashedAt: map[uint64]map[uint64]time.Time{}}
}

// add records that an attempt of a request crashed an endpoint. An attempt counts once,
// with the time of its first report.
func (c *crashRegistry) add(request, attempt uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempts, ok := c.crashedAt[request]
	if !ok {
		attempts = map[uint64]time.Time{}
		c.crashedAt[request] = attempts
	}
	if _, ok := attempts[attempt]; !ok {
		attempts[attempt] = now
	}
}

// banned reports whether a request has reached banThreshold.
func (c *crashRegistry) banned(request uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashedAt[request]) >= banThreshold
}

// recent returns the crashes to gossip and deletes those older than crashRetention.
func (c *crashRegistry) recent(now time.Time) []*meshpb.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var gossiped []*meshpb.Crash
	for request, attempts := range c.crashedAt {
		for attempt, at := range attempts {
			if now.Sub(at) > crashRetention {
				delete(attempts, attempt)
				continue
			}
			if now.Sub(at) < crashGossipDuration && len(gossiped) < maxGossipCrashes {
				gossiped = append(gossiped, &meshpb.Crash{Request: request, Attempt: attempt})
			}
		}
		if len(attempts) == 0 {
			delete(c.crashedAt, request)
		}
	}
	return gossiped
}
