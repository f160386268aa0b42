package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// banThreshold is the number of endpoints that a request must have crashed not to be run again.
	banThreshold = 3
	// crashRetention is how long a crash counts, and how long a run to the end clears a request.
	crashRetention = 5 * time.Minute
	// reportDuration is how long after it was learnt a crash or a clearance is told to other
	// instances; repeating it makes up for lost messages.
	reportDuration = 30 * time.Second
	// maxReports bounds the crashes, and the clearances, that are told at once.
	maxReports = 256
	// maxCrashes bounds the crashes that are held against one request.
	maxCrashes = 16
	// maxCompleted bounds the requests that are remembered because they ran to their end; those
	// that did so longest ago are dropped first.
	maxCompleted = 4096
)

// Crash says that an endpoint crashed while it ran a request.
type Crash struct {
	// Request is one of the hashes of an Identity.
	Request uint64
	// Incarnation identifies one incarnation of an endpoint.
	Incarnation uint64
	// BeganAt is when the request was sent to the endpoint, EndedAt when the endpoint crashed.
	BeganAt, EndedAt time.Time
}

// Suspects tells requests that crash each endpoint that runs them from those that were only
// running there. A request is banned once it has crashed banThreshold endpoints one after the other
// and is not known to have run to its end anywhere: one that crashes each endpoint never does.
// Endpoints that crash while they run equal requests at the same time have some other cause in
// common. It is safe for concurrent use.
type Suspects struct {
	mu sync.Mutex
	// records holds the crashes of each request.
	records map[uint64]*crashRecord
	// completedAt holds when requests last ran to their end.
	completedAt *simplelru.LRU[uint64, time.Time]
	// clearedAt holds when others were last to be told that a request has run to its end.
	clearedAt map[uint64]time.Time
}

// crashRecord holds the crashes of one request.
type crashRecord struct {
	// crashes holds the latest run of the request at each incarnation that crashed.
	crashes map[uint64]learntCrash
	// successive is the number of crashes whose runs did not overlap.
	successive int
}

// learntCrash is a crash with the time at which this instance learnt of it.
type learntCrash struct {
	Crash
	learntAt time.Time
}

// NewSuspects returns an empty record.
func NewSuspects() *Suspects {
	completedAt, err := simplelru.NewLRU[uint64, time.Time](maxCompleted, nil)
	if err != nil {
		panic(fmt.Sprintf("create LRU list of completed requests: %v", err))
	}
	return &Suspects{records: map[uint64]*crashRecord{}, completedAt: completedAt, clearedAt: map[uint64]time.Time{}}
}

// RecordCrash records that an incarnation of an endpoint crashed at endedAt while it ran a request,
// which was sent to it at beganAt.
func (s *Suspects) RecordCrash(id Identity, incarnation uint64, beganAt, endedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range []uint64{id.content, id.conversation} {
		s.addCrash(Crash{Request: request, Incarnation: incarnation, BeganAt: beganAt, EndedAt: endedAt}, endedAt)
	}
}

// RecordCompletion records that a request has run to its end, which clears it.
func (s *Suspects) RecordCompletion(id Identity, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completedAt.Add(id.content, now)
	for _, request := range []uint64{id.content, id.conversation} {
		if _, suspect := s.records[request]; suspect {
			s.clear(request, now)
		}
	}
}

// Banned reports whether a request must not be run again.
func (s *Suspects) Banned(id Identity) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isBanned(id.content) || s.isBanned(id.conversation)
}

// Apply records what another instance tells: crashes, and requests that have run to their end.
func (s *Suspects) Apply(crashes []Crash, cleared []uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, request := range cleared[:min(len(cleared), maxReports)] {
		if !s.hasCompleted(request, now) {
			s.clear(request, now)
		}
	}
	for _, crash := range crashes[:min(len(crashes), maxReports)] {
		s.addCrash(crash, now)
	}
}

// Recent returns what other instances are to be told, and forgets what no longer counts.
func (s *Suspects) Recent(now time.Time) (crashes []Crash, cleared []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for request, record := range s.records {
		record.expire(now)
		if len(record.crashes) == 0 {
			delete(s.records, request)
		}
		for _, crash := range record.crashes {
			if now.Sub(crash.learntAt) < reportDuration && len(crashes) < maxReports {
				crashes = append(crashes, crash.Crash)
			}
		}
	}
	for request, at := range s.clearedAt {
		if now.Sub(at) >= reportDuration {
			delete(s.clearedAt, request)
			continue
		}
		if len(cleared) < maxReports {
			cleared = append(cleared, request)
		}
	}
	return crashes, cleared
}

// isBanned reports whether a request is banned by one of its hashes.
func (s *Suspects) isBanned(request uint64) bool {
	record, ok := s.records[request]
	return ok && record.successive >= banThreshold
}

// hasCompleted reports whether a request is known to have run to its end lately.
func (s *Suspects) hasCompleted(request uint64, now time.Time) bool {
	at, ok := s.completedAt.Peek(request)
	return ok && now.Sub(at) <= crashRetention
}

// clear takes all crashes off a request and has the others told.
func (s *Suspects) clear(request uint64, now time.Time) {
	delete(s.records, request)
	s.completedAt.Add(request, now)
	s.clearedAt[request] = now
}

// addCrash counts a crash towards the ban of a request. Whoever holds it against a request that has
// run to its end is told so.
func (s *Suspects) addCrash(crash Crash, now time.Time) {
	if s.hasCompleted(crash.Request, now) {
		s.clearedAt[crash.Request] = now
		return
	}
	record, ok := s.records[crash.Request]
	if !ok {
		record = &crashRecord{crashes: map[uint64]learntCrash{}}
		s.records[crash.Request] = record
	}
	known, ok := record.crashes[crash.Incarnation]
	switch {
	case !ok && len(record.crashes) >= maxCrashes:
		return
	case !ok:
		known = learntCrash{Crash: crash, learntAt: now}
	case crash.BeganAt.After(known.BeganAt):
		known.BeganAt = crash.BeganAt
	default:
		return
	}
	record.crashes[crash.Incarnation] = known
	record.countSuccessive()
}

// expire drops the crashes that no longer count.
func (r *crashRecord) expire(now time.Time) {
	before := len(r.crashes)
	maps.DeleteFunc(r.crashes, func(_ uint64, c learntCrash) bool { return now.Sub(c.learntAt) > crashRetention })
	if len(r.crashes) != before {
		r.countSuccessive()
	}
}

// countSuccessive counts the crashes whose runs did not overlap with that of the one before.
func (r *crashRecord) countSuccessive() {
	crashes := slices.SortedFunc(maps.Values(r.crashes), func(a, b learntCrash) int { return a.EndedAt.Compare(b.EndedAt) })
	r.successive = 0
	var lastEnd time.Time
	for _, c := range crashes {
		if c.BeganAt.After(lastEnd) {
			r.successive++
			lastEnd = c.EndedAt
		}
	}
}
