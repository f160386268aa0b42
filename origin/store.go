package origin

import (
	"sync"
	"time"
)

const (
	// retention is how long an origin is kept: as long as the longest stream lasts.
	retention = time.Minute
	// maxOrigins bounds the origins that are kept; the oldest are dropped. One takes about
	// 250 bytes.
	maxOrigins = 50_000
	// maxUncopied bounds the origins of a service that wait for TakeUncopied.
	maxUncopied = 1024
)

// Origin tells which version of an endpoint's software began a stream.
type Origin struct {
	// Attempt is the ID of the caller's attempt that brought the first event.
	Attempt string
	// Service is the name of the endpoint's service.
	Service string
	// Version is the version of the endpoint's software, or empty if it was not confirmed.
	Version string
	// Sequence numbers the origins of an attempt that was sent to several endpoints; the
	// highest one holds.
	Sequence uint32
	// Served is set at the instance that served the attempt, which knows its latest origin.
	Served bool
}

// Store holds origins in memory. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	byAttempt map[string]Origin
	// added lists the attempts in the order in which they were added.
	added []addition
	// uncopied holds the attempts without copies elsewhere, by service, the oldest first.
	uncopied map[string][]string
}

// addition is an attempt with the time when it was added.
type addition struct {
	attempt string
	at      time.Time
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{byAttempt: map[string]Origin{}, uncopied: map[string][]string{}}
}

// Put adds an origin, unless one with a higher sequence is known.
func (s *Store) Put(o Origin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(o, now)
}

// PutUncopied adds an origin that TakeUncopied returns.
func (s *Store) PutUncopied(o Origin, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(o, now)
	attempts := append(s.uncopied[o.Service], o.Attempt)
	s.uncopied[o.Service] = attempts[max(0, len(attempts)-maxUncopied):]
}

// put adds an origin; s.mu must be held.
func (s *Store) put(o Origin, now time.Time) {
	known, ok := s.byAttempt[o.Attempt]
	if ok && known.Sequence > o.Sequence {
		return
	}
	s.byAttempt[o.Attempt] = o
	if !ok {
		s.added = append(s.added, addition{attempt: o.Attempt, at: now})
	}
	for len(s.added) > maxOrigins || len(s.added) > 0 && now.Sub(s.added[0].at) > retention {
		delete(s.byAttempt, s.added[0].attempt)
		s.added = s.added[1:]
	}
}

// Find returns the origin of the stream that an attempt began, or false if it is not known.
func (s *Store) Find(attempt string) (Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.byAttempt[attempt]
	return o, ok
}

// TakeUncopied returns the origins of a service that were added without copies, each once.
func (s *Store) TakeUncopied(service string) []Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Origin
	for _, attempt := range s.uncopied[service] {
		if o, ok := s.byAttempt[attempt]; ok {
			out = append(out, o)
		}
	}
	delete(s.uncopied, service)
	return out
}
