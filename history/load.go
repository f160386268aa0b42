package history

import (
	"context"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// maxChain bounds the records that one program's state is read from.
	maxChain = 4096
)

// Loaded is the state of a program as the journal holds it.
type Loaded struct {
	program  *program.Program
	last     RecordID
	position Position
	home     string
}

// Program returns the state.
func (l *Loaded) Program() *program.Program { return l.program }

// Last returns the id of the latest record.
func (l *Loaded) Last() RecordID { return l.last }

// Position returns the place of the latest record.
func (l *Loaded) Position() Position { return l.position }

// Home returns the instance that wrote the latest record.
func (l *Loaded) Home() string { return l.home }

// Tail names the latest record of a program.
type Tail struct {
	last     RecordID
	position Position
}

// NewTail returns a Tail.
func NewTail(last RecordID, position Position) Tail { return Tail{last: last, position: position} }

// Last returns the id of the record.
func (t Tail) Last() RecordID { return t.last }

// Position returns the place of the record.
func (t Tail) Position() Position { return t.position }

// load brings the stream up to date and folds the records of one program.
func (s *stream) load(ctx context.Context, id program.ID) (*Loaded, error) {
	t, err := s.locate(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.loadFrom(ctx, t)
}

// locate brings the stream up to date and finds the latest record of a program.
func (s *stream) locate(ctx context.Context, id program.ID) (Tail, error) {
	const op = "load program"
	if err := s.follow(ctx); err != nil {
		return Tail{}, Errorf(op, KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tails[id]
	if !ok {
		return Tail{}, Errorf(op, KindNotFound, "no record of program %s", id)
	}
	return NewTail(t.last, t.position), nil
}

func (s *stream) loadFrom(ctx context.Context, t Tail) (*Loaded, error) {
	chain, err := s.chain(ctx, t.position)
	if err != nil {
		return nil, err
	}
	return foldChain(chain, t)
}

// chain reads the records of a program from a position back to its start or
// its last snapshot, newest first.
func (s *stream) chain(ctx context.Context, from Position) ([]Record, error) {
	const op = "read chain"
	var chain []Record
	for at := from; at != NoPosition && len(chain) < maxChain; {
		r, err := s.readAt(ctx, at)
		if err != nil {
			return nil, err
		}
		chain = append(chain, r)
		switch r.Body().Step() {
		case StepStarted, StepSnapshot:
			return chain, nil
		}
		at = r.PreviousPosition().resolve(at)
	}
	return nil, Errorf(op, KindCorrupt, "records before %s lead to no start", from)
}

func (s *stream) readAt(ctx context.Context, at Position) (Record, error) {
	const op = "read record"
	page, err := s.config.Log.Read(ctx, s.name, at.Offset(), 1)
	if err != nil {
		return Record{}, Errorf(op, KindUnavailable, "%s: %w", at, err)
	}
	entries := page.Entries()
	if len(entries) == 0 || entries[0].Offset() != at.Offset() {
		return Record{}, Errorf(op, KindCorrupt, "log holds nothing at %s", at)
	}
	records, err := s.config.Codec.Decode(entries[0].Data())
	if at.Index() >= len(records) || records[at.Index()].Body().Step() == StepUnknown {
		return Record{}, Errorf(op, KindCorrupt, "record at %s can't be read: %v", at, err)
	}
	return records[at.Index()], nil
}

func foldChain(chain []Record, t Tail) (*Loaded, error) {
	var p *program.Program
	for i := len(chain) - 1; i >= 0; i-- {
		next, err := Fold(p, chain[i])
		if err != nil {
			return nil, Errorf("fold chain", KindCorrupt, "%w", err)
		}
		p = next
	}
	return &Loaded{program: p, last: t.last, position: t.position, home: chain[0].Home()}, nil
}
