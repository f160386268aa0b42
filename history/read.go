package history

import (
	"context"

	"github.com/lavendervale/lavendervale/fleet"
)

// catchUp reads the stream to its end before the first append, so that the positions of
// the previous records are known.
func (s *stream) catchUp(ctx context.Context) error {
	s.mu.Lock()
	done := s.caughtUp
	s.mu.Unlock()
	if done {
		return nil
	}
	if err := s.readToEnd(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caughtUp = true
	return nil
}

// applyAppended processes an append of this process, unless it has already been read
// back from the log. size is the length of the append in bytes.
func (s *stream) applyAppended(offset int64, records []Record, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Appends++
	s.stats.Records += int64(len(records))
	s.stats.Bytes += int64(size)
	if offset < s.nextOffset {
		return
	}
	s.applyLocked(offset, records)
	s.nextOffset = offset + 1
}

// readToEnd reads the stream to its end and processes what it reads.
func (s *stream) readToEnd(ctx context.Context) error {
	return s.readUpTo(ctx, -1)
}

// readUpTo reads the stream up to the offset end, without the entry at end itself, and
// processes what it reads; a negative end means the end of the stream. The errors are
// those of Log.Read, without fleet.KindExpired: expired entries are skipped.
func (s *stream) readUpTo(ctx context.Context, end int64) error {
	for {
		s.mu.Lock()
		from := s.nextOffset
		s.mu.Unlock()
		if end >= 0 && from >= end {
			return nil
		}
		page, err := s.config.Log.Read(ctx, s.name, from, maxReadEntries)
		if err != nil {
			if fleet.KindOf(err) != fleet.KindExpired {
				return err
			}
			s.skipExpired(page.FirstOffset())
			continue
		}
		if len(page.Entries()) == 0 {
			return nil
		}
		s.applyPage(page)
	}
}

// skipExpired moves nextOffset to first, the oldest offset that the log retains, but by one
// at least, so that readUpTo always advances.
func (s *stream) skipExpired(first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextOffset = max(s.nextOffset+1, first)
}

// applyPage decodes and processes the entries of a page that have not been read before.
func (s *stream) applyPage(page fleet.LogPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range page.Entries() {
		if e.Offset() < s.nextOffset {
			continue
		}
		records, err := s.config.Codec.Decode(e.Data())
		if err != nil {
			s.stats.Corrupt++
		}
		s.applyLocked(e.Offset(), records)
		s.nextOffset = e.Offset() + 1
	}
}

// applyLocked decides for each record of the append at an offset whether it is valid, and
// ends the commits that wait for these records. s.mu must be held.
func (s *stream) applyLocked(offset int64, records []Record) {
	for i, r := range records {
		if r.Body().Type() == TypeUnknown {
			continue
		}
		at := NewPosition(offset, i)
		valid := s.chainEnds.accept(r, at)
		pending, ok := s.pending[r.ID()]
		if !ok || !pending.inFlight {
			continue
		}
		if valid {
			s.finishLocked(pending, commitResult{position: at})
			continue
		}
		s.stats.Superseded++
		s.finishLocked(pending, commitResult{position: NoPosition, err: Errorf("commit", KindSuperseded, "record %s of type %s at position %s does not follow the latest record of its program", r.ID(), r.Body().Type(), at)})
	}
}
