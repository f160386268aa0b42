package turn

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

const (
	// wholeAge is the age from which a conversation is written whole again, so that
	// its records may be trimmed.
	wholeAge = 90 * time.Second
	// trimAge is the age from which records are dropped.
	trimAge = 240 * time.Second
)

// shard is one part of the log with its fold.
type shard struct {
	number int
	homes  *Homes

	mu       sync.Mutex
	state    *state
	next     int64
	loaded   bool
	pending  []*operation
	byNumber map[uint64]*operation
	// sessions names the endpoint that served each session last, mains the session
	// that each program began with.
	sessions  map[string]string
	mains     map[string]string
	foreign   map[string][]byte
	running   bool
	used      time.Time
	confirmed time.Time
	failing   time.Time
	guarded   bool
	// settled are records that other instances need not hold any more.
	settled [][]byte
	marks   []mark
	reading sync.Mutex
	// loading holds a token while the shard is read for the first time.
	loading chan struct{}
}

// mark remembers when an offset was written, for trimming.
type mark struct {
	offset int64
	at     time.Time
}

func newShard(h *Homes, number int) *shard {
	return &shard{
		homes: h, number: number, state: newState(), byNumber: map[uint64]*operation{},
		sessions: map[string]string{}, mains: map[string]string{}, foreign: map[string][]byte{}, loading: make(chan struct{}, 1),
	}
}

// refresh reads the log to its end.
func (s *shard) refresh(ctx context.Context) error {
	s.reading.Lock()
	defer s.reading.Unlock()
	for {
		s.mu.Lock()
		from := s.next
		s.mu.Unlock()
		page, err := s.homes.config.Log.Read(ctx, s.number, from)
		if KindOf(err) == KindExpired && err != nil {
			s.mu.Lock()
			s.next = max(s.next, page.First)
			s.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.take(from, page.Records)
		end := s.next >= page.End
		if end {
			s.confirmed = time.Now()
		}
		s.mu.Unlock()
		if end {
			return nil
		}
	}
}

// load reads the shard for the first time, with what other instances hold of it;
// requests that come meanwhile wait for the one that reads.
func (s *shard) load(ctx context.Context) error {
	if s.touch() {
		return nil
	}
	select {
	case s.loading <- struct{}{}:
		defer func() { <-s.loading }()
	case <-ctx.Done():
		return Errorf("load shard", KindUnavailable, "shard %d is not read in time: %w", s.number, ctx.Err())
	}
	if s.touch() {
		return nil
	}
	started := time.Now()
	if err := s.refresh(ctx); err != nil {
		return err
	}
	kept := s.homes.config.Keeper.Kept(ctx, s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded, s.confirmed = true, time.Now()
	for _, data := range kept {
		s.submitCopy(data)
	}
	s.homes.config.Logger.Info("shard loaded", zap.Int("shard", s.number), zap.Int64("end", s.next),
		zap.Int("turns", len(s.state.turns)), zap.Int("copies", len(kept)), zap.Duration("took", time.Since(started)))
	return nil
}

// touch notes that the shard is in use and reports whether it is loaded.
func (s *shard) touch() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
	return s.loaded
}

// take folds records that stand at an offset; mu is held.
func (s *shard) take(from int64, records [][]byte) {
	now := time.Now()
	for i, data := range records {
		offset := from + int64(i)
		if offset < s.next {
			continue
		}
		s.next = offset + 1
		r := &turnpb.Record{}
		if err := proto.Unmarshal(data, r); err != nil {
			s.homes.config.Logger.Error("record can't be read", zap.Int("shard", s.number), zap.Int64("offset", offset), zap.Error(err))
			continue
		}
		s.state.apply(r)
		if n := len(s.marks); n == 0 || now.Sub(s.marks[n-1].at) > time.Second {
			s.marks = append(s.marks, mark{offset: offset, at: time.UnixMilli(r.GetWrittenMs())})
		}
		if r.GetWriter() == s.homes.writer {
			s.complete(r.GetAppend(), nil)
		}
	}
}
