package history

import (
	"context"

	"github.com/lavendervale/lavendervale/fleet"
)

// catchUp reads the stream to its end before the first append, so that the
// place of each record's predecessor is known.
func (s *stream) catchUp(ctx context.Context) error {
	s.mu.Lock()
	done := s.caughtUp
	s.mu.Unlock()
	if done {
		return nil
	}
	if err := s.follow(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caughtUp = true
	return nil
}

// applyOwn folds an append of this stream that nobody has read back.
func (s *stream) applyOwn(offset int64, records []Record, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Appends++
	s.stats.Records += int64(len(records))
	s.stats.Bytes += int64(size)
	if offset < s.next {
		return
	}
	s.applyLocked(offset, records)
	s.next = offset + 1
}

// follow reads the stream to its end.
func (s *stream) follow(ctx context.Context) error {
	return s.followTo(ctx, -1)
}

// followTo reads the stream up to an offset, or to its end when it is negative.
func (s *stream) followTo(ctx context.Context, to int64) error {
	for {
		s.mu.Lock()
		from := s.next
		s.mu.Unlock()
		if to >= 0 && from >= to {
			return nil
		}
		page, err := s.config.Log.Read(ctx, s.name, from, readLimit)
		if err != nil {
			if fleet.KindOf(err) != fleet.KindExpired {
				return err
			}
			s.skipTo(page.FirstOffset())
			continue
		}
		if len(page.Entries()) == 0 {
			return nil
		}
		s.applyPage(page)
	}
}

func (s *stream) skipTo(first int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = max(s.next+1, first)
}

func (s *stream) applyPage(page fleet.LogPage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range page.Entries() {
		if e.Offset() < s.next {
			continue
		}
		records, err := s.config.Codec.Decode(e.Data())
		if err != nil {
			s.stats.Corrupt++
		}
		s.applyLocked(e.Offset(), records)
		s.next = e.Offset() + 1
	}
}

// applyLocked folds the records of one append and answers those who wait.
func (s *stream) applyLocked(offset int64, records []Record) {
	for i, r := range records {
		if r.Body().Step() == StepUnknown {
			continue
		}
		at := NewPosition(offset, i)
		valid := s.tails.apply(r, at)
		c, ok := s.sent[r.ID()]
		if !ok {
			continue
		}
		delete(s.sent, r.ID())
		if valid {
			c.done <- result{position: at}
			continue
		}
		s.stats.Superseded++
		c.done <- result{position: NoPosition, err: Errorf("commit", KindSuperseded, "record %s (%s) at %s follows another history", r.ID(), r.Body().Step(), at)}
	}
}
