package history

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	// readLimit bounds the entries of one read.
	readLimit = 256
	// minRetry and maxRetry bound the wait between attempts at the log.
	minRetry = 20 * time.Millisecond
	maxRetry = 2 * time.Second
)

// commit is one record on its way into the log.
type commit struct {
	record Record
	done   chan result
}

// result is what became of a record.
type result struct {
	position Position
	err      error
}

// stream appends to and follows one stream of the log.
type stream struct {
	config CommitterConfig
	name   string
	wake   chan struct{}
	pace   *rate.Limiter

	mu      sync.Mutex
	waiting []*commit
	sent    map[RecordID]*commit
	tails   tails
	next    int64
	stats   Stats
	// caughtUp is set once the stream has been read to its end.
	caughtUp bool
}

func newStream(c CommitterConfig, name string) *stream {
	return &stream{
		config: c, name: name, wake: make(chan struct{}, 1), pace: rate.NewLimiter(rate.Limit(c.AppendRate/float64(c.Streams)), appendBurst), sent: map[RecordID]*commit{}, tails: tails{},
	}
}

// commit queues a record and waits until it is in the log.
func (s *stream) commit(ctx context.Context, r Record) (Position, error) {
	c := &commit{record: r, done: make(chan result, 1)}
	s.mu.Lock()
	s.waiting = append(s.waiting, c)
	s.mu.Unlock()
	s.signal()
	select {
	case res := <-c.done:
		return res.position, res.err
	case <-ctx.Done():
		return NoPosition, Errorf("commit", KindUnknown, "record %s: %w", r.ID(), ctx.Err())
	}
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run pools waiting records into appends, one append at a time.
func (s *stream) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.linger(ctx)
		for {
			if s.pace.Wait(ctx) != nil {
				return
			}
			batch := s.take()
			if len(batch) == 0 {
				break
			}
			s.retry(ctx, func() error { return s.append(ctx, batch) })
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// linger waits for more records, only when some are already waiting together.
func (s *stream) linger(ctx context.Context) {
	s.mu.Lock()
	n := len(s.waiting)
	s.mu.Unlock()
	if n == 0 || n >= maxBatch {
		return
	}
	_ = timer.Sleep(ctx, s.config.Linger)
}

// take moves waiting records to those being sent.
func (s *stream) take() []*commit {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.waiting), maxBatch)
	batch := append([]*commit(nil), s.waiting[:n]...)
	s.waiting = append(s.waiting[:0], s.waiting[n:]...)
	for _, c := range batch {
		s.sent[c.record.ID()] = c
	}
	return batch
}

// retry repeats f with backoff until it succeeds or ctx ends.
func (s *stream) retry(ctx context.Context, f func() error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetry
	b.MaxInterval = maxRetry
	for ctx.Err() == nil && f() != nil {
		_ = timer.Sleep(ctx, b.NextBackOff())
	}
}

// append sends the records of a batch that are not in the log yet.
func (s *stream) append(ctx context.Context, batch []*commit) error {
	if err := s.catchUp(ctx); err != nil {
		return err
	}
	records := s.unsettled(batch)
	if len(records) == 0 {
		return nil
	}
	data, err := s.config.Codec.Encode(records)
	if err != nil {
		s.reject(batch, err)
		return nil
	}
	offset, err := s.config.Log.Append(ctx, s.name, data)
	if err != nil {
		s.countRetry()
		_ = s.follow(ctx)
		return err
	}
	if err := s.followTo(ctx, offset); err != nil {
		return err
	}
	s.applyOwn(offset, records, len(data))
	return nil
}

// unsettled returns the records of a batch whose place in the log is unknown.
func (s *stream) unsettled(batch []*commit) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(batch))
	placed := make(map[RecordID]int, len(batch))
	for _, c := range batch {
		if s.sent[c.record.ID()] != c {
			continue
		}
		placed[c.record.ID()] = len(records)
		records = append(records, s.placeLocked(c.record, placed))
	}
	return records
}

// placeLocked returns the record with the place of the one before it.
func (s *stream) placeLocked(r Record, placed map[RecordID]int) Record {
	if i, ok := placed[r.Previous()]; ok {
		return r.withPreviousPosition(withinAppend(i))
	}
	if t, ok := s.tails[r.Program()]; ok && t.last == r.Previous() {
		return r.withPreviousPosition(t.position)
	}
	return r
}

func (s *stream) reject(batch []*commit, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch {
		delete(s.sent, c.record.ID())
		c.done <- result{position: NoPosition, err: Errorf("commit", KindCorrupt, "%w", err)}
	}
}

func (s *stream) countRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Retries++
}

func (s *stream) snapshotStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Programs = len(s.tails)
	stats.Waiting = len(s.waiting) + len(s.sent)
	return stats
}
