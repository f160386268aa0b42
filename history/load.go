package history

import (
	"context"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// maxChainRecords is the largest number of records read to load one program.
	maxChainRecords = 4096
)

// LoadedProgram is the state of a program as rebuilt from its records, with the latest
// of these records.
type LoadedProgram struct {
	program *program.Program
	// lastRecordID and position locate the latest record; home is the instance that
	// wrote it.
	lastRecordID RecordID
	position     Position
	home         string
}

// Program returns the state of the program.
func (l *LoadedProgram) Program() *program.Program { return l.program }

// LastRecordID returns the id of the latest record.
func (l *LoadedProgram) LastRecordID() RecordID { return l.lastRecordID }

// Position returns the position of the latest record.
func (l *LoadedProgram) Position() Position { return l.position }

// Home returns the name of the instance that wrote the latest record.
func (l *LoadedProgram) Home() string { return l.home }

// LatestRecord locates the latest valid record of a program.
type LatestRecord struct {
	id       RecordID
	position Position
}

// NewLatestRecord returns a LatestRecord for the record with an id at a position.
func NewLatestRecord(id RecordID, position Position) LatestRecord {
	return LatestRecord{id: id, position: position}
}

// ID returns the id of the record.
func (r LatestRecord) ID() RecordID { return r.id }

// Position returns the position of the record.
func (r LatestRecord) Position() Position { return r.position }

// load reads the stream to its end and rebuilds the state of one program.
func (s *stream) load(ctx context.Context, id program.ID) (*LoadedProgram, error) {
	latest, err := s.locate(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.loadFrom(ctx, latest)
}

// locate reads the stream to its end and returns the latest record of a program. The
// error is of KindNotFound when the stream holds no record of it, of KindUnavailable when
// the log can't be read.
func (s *stream) locate(ctx context.Context, id program.ID) (LatestRecord, error) {
	const op = "locate program"
	if err := s.readToEnd(ctx); err != nil {
		return LatestRecord{}, Errorf(op, KindUnavailable, "read stream to its end: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end, ok := s.chainEnds[id]
	if !ok {
		return LatestRecord{}, Errorf(op, KindNotFound, "the log holds no record of program %s", id)
	}
	return NewLatestRecord(end.lastRecordID, end.position), nil
}

// loadFrom rebuilds the state of the program whose latest record is given.
func (s *stream) loadFrom(ctx context.Context, latest LatestRecord) (*LoadedProgram, error) {
	chain, err := s.readChain(ctx, latest.position)
	if err != nil {
		return nil, err
	}
	return applyChain(chain, latest)
}

// readChain reads the records of a program from a position back to its started record or
// its latest snapshot and returns them newest first. The error is of KindCorrupt when
// neither is found within maxChainRecords records.
func (s *stream) readChain(ctx context.Context, from Position) ([]Record, error) {
	const op = "read records of program"
	var chain []Record
	for at := from; at != NoPosition && len(chain) < maxChainRecords; {
		r, err := s.readAt(ctx, at)
		if err != nil {
			return nil, err
		}
		chain = append(chain, r)
		switch r.Body().Type() {
		case TypeStarted, TypeSnapshot:
			return chain, nil
		}
		at = r.PreviousPosition().resolve(at)
	}
	return nil, Errorf(op, KindCorrupt, "no started or snapshot record found from position %s backwards", from)
}

// readAt reads the record at an absolute position.
func (s *stream) readAt(ctx context.Context, at Position) (Record, error) {
	const op = "read record"
	page, err := s.config.Log.Read(ctx, s.name, at.Offset(), 1)
	if err != nil {
		return Record{}, Errorf(op, KindUnavailable, "read log at position %s: %w", at, err)
	}
	entries := page.Entries()
	if len(entries) == 0 || entries[0].Offset() != at.Offset() {
		return Record{}, Errorf(op, KindCorrupt, "the log has no entry at position %s", at)
	}
	records, err := s.config.Codec.Decode(entries[0].Data())
	if at.Index() >= len(records) || records[at.Index()].Body().Type() == TypeUnknown {
		return Record{}, Errorf(op, KindCorrupt, "record at position %s can't be decoded: %v", at, err)
	}
	return records[at.Index()], nil
}

// applyChain applies the records of a program, given newest first, to rebuild its state.
func applyChain(chain []Record, latest LatestRecord) (*LoadedProgram, error) {
	var p *program.Program
	for i := len(chain) - 1; i >= 0; i-- {
		next, err := Apply(p, chain[i])
		if err != nil {
			return nil, Errorf("apply records of program", KindCorrupt, "%w", err)
		}
		p = next
	}
	return &LoadedProgram{program: p, lastRecordID: latest.id, position: latest.position, home: chain[0].Home()}, nil
}
