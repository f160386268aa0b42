package transcript

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

const (
	// retention is how long a transcript is kept after its last part: as long as the longest stream lasts.
	retention = time.Minute
	// MaxBytes bounds the text of one transcript, MaxEvents its events, and MaxEventIDBytes an identifier of an
	// event after which a stream can be taken up.
	MaxBytes, MaxEvents, MaxEventIDBytes = 1 << 20, 16 << 10, 256
	// maxStoredBytes bounds the memory for all transcripts of an instance; those that have not grown
	// for the longest time are dropped.
	maxStoredBytes = 8 << 20
	// overheadBytes and markBytes are about what an empty transcript and a mark take beside their texts.
	overheadBytes, markBytes = 512, 48
)

// Store holds transcripts in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	byStream map[string]*list.Element
	// byAge lists the transcripts, those that have not grown for the longest time first.
	byAge *list.List
	// bytes is the sum of the sizes of all transcripts.
	bytes int
}

// stored is a transcript in a Store.
type stored struct {
	whole Part
	// size is about the memory that it takes, in bytes.
	size    int
	grownAt time.Time
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{byStream: map[string]*list.Element{}, byAge: list.New()} }

// Keep adds a part and returns what the store holds then. A part that is invalid, of an earlier generation or
// another writer, or that does not follow what is held, changes nothing.
func (s *Store) Keep(p Part, now time.Time) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	element, known := s.byStream[p.Stream]
	switch {
	case !p.Valid() || (!known && p.Offset > 0):
		return s.state(p.Stream)
	case !known || begins(p, element.Value.(*stored).whole):
		if known {
			s.drop(element)
		}
		p.Text, p.Marks = slices.Clone(p.Text), slices.Clone(p.Marks)
		element = s.byAge.PushBack(&stored{whole: p})
		s.byStream[p.Stream] = element
	case !element.Value.(*stored).extend(p):
		return s.state(p.Stream)
	}
	t := element.Value.(*stored)
	t.grownAt = now
	s.byAge.MoveToBack(element)
	s.resize(t)
	for s.bytes > maxStoredBytes {
		s.drop(s.byAge.Front())
	}
	return s.state(p.Stream)
}

// begins reports whether a part begins a transcript in place of the one that is held: the stream was taken
// up, or another one began under the same identifier.
func begins(p, held Part) bool {
	return p.Offset == 0 && (p.Generation > held.Generation || (p.Generation == 0 && held.Generation == 0 && p.Writer != held.Writer))
}

// extend adds the new text of a part and reports whether there is any.
func (t *stored) extend(p Part) bool {
	length := len(t.whole.Text)
	if p.Generation != t.whole.Generation || p.Writer != t.whole.Writer || p.Offset > length || p.Offset+len(p.Text) <= length {
		return false
	}
	t.whole.Text = append(t.whole.Text, p.Text[length-p.Offset:]...)
	for _, m := range p.Marks {
		if m.End > length {
			t.whole.Marks = append(t.whole.Marks, m)
		}
	}
	return true
}

// Find returns the whole transcript of a stream, or false if the store has none. The result must not
// be changed.
func (s *Store) Find(stream string, now time.Time) (Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	element, ok := s.byStream[stream]
	if !ok {
		return Part{}, false
	}
	return element.Value.(*stored).whole, true
}

// state returns what the store holds of a transcript; s.mu must be held.
func (s *Store) state(stream string) State {
	element, ok := s.byStream[stream]
	if !ok {
		return State{}
	}
	held := element.Value.(*stored).whole
	return State{Generation: held.Generation, Length: len(held.Text), Writer: held.Writer}
}

// resize counts the memory of a transcript anew; s.mu must be held.
func (s *Store) resize(t *stored) {
	s.bytes -= t.size
	t.size = overheadBytes + len(t.whole.Stream) + cap(t.whole.Text)
	for _, m := range t.whole.Marks {
		t.size += markBytes + len(m.EventID)
	}
	for _, name := range t.whole.Holders {
		t.size += markBytes + len(name)
	}
	s.bytes += t.size
}

// expire drops the transcripts that have not grown for the retention; s.mu must be held.
func (s *Store) expire(now time.Time) {
	for s.byAge.Len() > 0 && now.Sub(s.byAge.Front().Value.(*stored).grownAt) > retention {
		s.drop(s.byAge.Front())
	}
}

// drop deletes a transcript; s.mu must be held.
func (s *Store) drop(element *list.Element) {
	t := s.byAge.Remove(element).(*stored)
	delete(s.byStream, t.whole.Stream)
	s.bytes -= t.size
}
