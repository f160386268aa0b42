package quarantine

import (
	"fmt"
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/lavendervale/lavendervale/program"
)

// Verdict says how a request may run.
type Verdict uint8

// Verdicts on requests.
const (
	// Clear means that no crash is recorded for the request.
	Clear Verdict = iota
	// Suspect means that one engine crashed while it ran the request. The request must
	// run alone, so that a second crash can be attributed to it.
	Suspect
	// Quarantined means that a second engine crashed too; the request must not run.
	Quarantined
)

const (
	// quarantineThreshold is the number of crashes that quarantines a request.
	quarantineThreshold = 2
	// maxTrackedRequests bounds the list; the requests whose last crash is the oldest
	// are dropped first.
	maxTrackedRequests = 10_000
)

// Event records a crash of an engine that ran a request, or a run without one.
type Event struct {
	// Request is the digest of the request, its history included.
	Request program.Digest
	// Cleared is set when a suspect request ran without a crash.
	Cleared bool
}

// List holds the crash counts of requests. Every home applies the events in the order of
// the log and so reaches the same state. It is safe for concurrent use.
type List struct {
	mu sync.Mutex
	// crashCounts is read with Peek, since lookups differ between processes and must
	// not change which request is dropped first.
	crashCounts *simplelru.LRU[program.Digest, int]
}

// NewList returns an empty list.
func NewList() *List {
	crashCounts, err := simplelru.NewLRU[program.Digest, int](maxTrackedRequests, nil)
	if err != nil {
		panic(fmt.Sprintf("create LRU list of crashed requests: %v", err))
	}
	return &List{crashCounts: crashCounts}
}

// Apply updates the list with an event. A quarantined request stays quarantined.
func (l *List) Apply(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, _ := l.crashCounts.Peek(e.Request)
	switch {
	case n >= quarantineThreshold:
	case e.Cleared:
		l.crashCounts.Remove(e.Request)
	default:
		l.crashCounts.Add(e.Request, n+1)
	}
}

// Verdict returns the verdict on a request.
func (l *List) Verdict(request program.Digest) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, ok := l.crashCounts.Peek(request)
	switch {
	case !ok:
		return Clear
	case n >= quarantineThreshold:
		return Quarantined
	}
	return Suspect
}

// Len returns the number of requests on the list.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.crashCounts.Len()
}
