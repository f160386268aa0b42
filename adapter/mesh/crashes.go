package mesh

import (
	"sync"
	"time"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
)

const (
	// crashLimit is the number of crashes after which a request is not run again.
	crashLimit = 3
	// crashMemory is how long a crash is remembered.
	crashMemory = 5 * time.Minute
	// crashSpread is how long a crash is gossiped.
	crashSpread = 30 * time.Second
	// maxGossipCrashes bounds the crashes in one datagram.
	maxGossipCrashes = 256
)

// crashes knows which requests ended endpoints, here or as other fronts saw it.
type crashes struct {
	mu   sync.Mutex
	seen map[uint64]map[uint64]time.Time
}

func newCrashes() *crashes { return &crashes{seen: map[uint64]map[uint64]time.Time{}} }

// add notes that an attempt of a request ended an endpoint.
func (c *crashes) add(request, attempt uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.seen[request]
	if !ok {
		m = map[uint64]time.Time{}
		c.seen[request] = m
	}
	if _, ok := m[attempt]; !ok {
		m[attempt] = now
	}
}

// banned reports whether a request has ended too many endpoints.
func (c *crashes) banned(request uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seen[request]) >= crashLimit
}

// recent returns the crashes to tell other fronts, and forgets old ones.
func (c *crashes) recent(now time.Time) []*meshpb.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*meshpb.Crash
	for request, m := range c.seen {
		for attempt, at := range m {
			if now.Sub(at) > crashMemory {
				delete(m, attempt)
				continue
			}
			if now.Sub(at) < crashSpread && len(out) < maxGossipCrashes {
				out = append(out, &meshpb.Crash{Request: request, Attempt: attempt})
			}
		}
		if len(m) == 0 {
			delete(c.seen, request)
		}
	}
	return out
}
