package history

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	// maxReadEntries is the largest number of log entries asked for in one read.
	maxReadEntries = 256
	// minRetryDelay and maxRetryDelay bound the wait before a failed append is retried.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// pendingCommit is a record that is queued or being appended, for all callers that commit
// it at that time.
type pendingCommit struct {
	record Record
	// inFlight is set once the record is part of a batch.
	inFlight bool
	// done is closed when the result is known; result is set before.
	done   chan struct{}
	result commitResult
}

// commitResult is the outcome of committing a record.
type commitResult struct {
	// position is the position of the valid record, NoPosition when err is set.
	position Position
	err      error
}

// stream appends records to one stream of the log and reads the stream to learn which
// records are valid.
type stream struct {
	config CommitterConfig
	// name is the name of the stream in the log.
	name string
	// wake has room for one value, which tells run that records are queued.
	wake chan struct{}
	// appendLimiter limits the rate of appends to this stream.
	appendLimiter *rate.Limiter

	// mu guards the fields below.
	mu sync.Mutex
	// queued holds records that are not part of a batch yet, oldest first.
	queued []*pendingCommit
	// pending holds the records that are queued, and those of the current batch that
	// have not been read back yet.
	pending map[RecordID]*pendingCommit
	// chainEnds holds the latest valid record of each program.
	chainEnds chainEnds
	// nextOffset is the offset of the first entry that has not been read yet.
	nextOffset int64
	stats      Stats
	// caughtUp is set once the stream has been read to its end.
	caughtUp bool
}

func newStream(c CommitterConfig, name string) *stream {
	return &stream{
		config: c, name: name, wake: make(chan struct{}, 1), appendLimiter: rate.NewLimiter(rate.Limit(c.AppendRate/float64(c.StreamCount)), appendBurst), pending: map[RecordID]*pendingCommit{}, chainEnds: chainEnds{},
	}
}

// commit queues a record and waits until it is valid or superseded in the log. The error
// is of KindUnknown when ctx ends first; the record stays queued and may still be appended.
func (s *stream) commit(ctx context.Context, r Record) (Position, error) {
	pending := s.enqueue(r)
	s.signal()
	select {
	case <-pending.done:
		return pending.result.position, pending.result.err
	case <-ctx.Done():
		return NoPosition, Errorf("commit", KindUnknown, "wait for record %s to be read back from the log: %w", r.ID(), ctx.Err())
	}
}

// enqueue queues a record, unless it is pending already.
func (s *stream) enqueue(r Record) *pendingCommit {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pending, ok := s.pending[r.ID()]; ok {
		return pending
	}
	pending := &pendingCommit{record: r, done: make(chan struct{})}
	s.pending[r.ID()] = pending
	s.queued = append(s.queued, pending)
	return pending
}

// finishLocked ends a commit. s.mu must be held.
func (s *stream) finishLocked(pending *pendingCommit, result commitResult) {
	delete(s.pending, pending.record.ID())
	pending.result = result
	close(pending.done)
}

// signal wakes run.
func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run appends queued records in batches, one append at a time, until ctx ends.
func (s *stream) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.linger(ctx)
		for {
			if s.appendLimiter.Wait(ctx) != nil {
				return
			}
			batch := s.takeBatch()
			if len(batch) == 0 {
				break
			}
			s.retryUntilDone(ctx, func() (err error) {
				batch, err = s.append(ctx, batch)
				return err
			})
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// linger waits for more records to share the next append, unless the queue is empty or
// already fills an append.
func (s *stream) linger(ctx context.Context) {
	s.mu.Lock()
	n := len(s.queued)
	s.mu.Unlock()
	if n == 0 || n >= maxRecordsPerAppend {
		return
	}
	_ = timer.Sleep(ctx, s.config.Linger)
}

// takeBatch moves the records of the next append from the queue to those in flight.
func (s *stream) takeBatch() []*pendingCommit {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.queued), maxRecordsPerAppend)
	batch := append([]*pendingCommit(nil), s.queued[:n]...)
	s.queued = append(s.queued[:0], s.queued[n:]...)
	for _, c := range batch {
		c.inFlight = true
	}
	return batch
}

// retryUntilDone calls attempt with exponential backoff until it succeeds or ctx ends.
func (s *stream) retryUntilDone(ctx context.Context, attempt func() error) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	for ctx.Err() == nil && attempt() != nil {
		_ = timer.Sleep(ctx, b.NextBackOff())
	}
}

// append appends the records of a batch that have not been read back from the log yet, and
// returns the batch that it tried to append: a part of the given one when that can't be
// encoded as a whole. It is called again with the returned batch after an error. An append
// that failed may be in the log all the same, so the stream is read after it, and records
// found there are not sent again.
func (s *stream) append(ctx context.Context, batch []*pendingCommit) ([]*pendingCommit, error) {
	if err := s.catchUp(ctx); err != nil {
		return batch, err
	}
	batch, records, data := s.encode(batch)
	if len(records) == 0 {
		return batch, nil
	}
	offset, err := s.config.Log.Append(ctx, s.name, data)
	if err != nil {
		s.countRetry()
		_ = s.readToEnd(ctx)
		return batch, err
	}
	if err := s.readUpTo(ctx, offset); err != nil {
		return batch, err
	}
	s.applyAppended(offset, records, len(data))
	return batch, nil
}

// encode returns the records of a batch that are to be appended, with their encoding. When
// they can't be encoded together, it puts the second half of the batch back into the queue
// and tries the first, so that a record that can't be encoded fails alone.
func (s *stream) encode(batch []*pendingCommit) ([]*pendingCommit, []Record, []byte) {
	for {
		records := s.recordsToAppend(batch)
		if len(records) == 0 {
			return batch, nil, nil
		}
		data, err := s.config.Codec.Encode(records)
		if err == nil {
			return batch, records, data
		}
		if len(batch) == 1 {
			s.failUnencodable(batch[0], err)
			return batch, nil, nil
		}
		half := len(batch) / 2
		s.requeue(batch[half:])
		batch = batch[:half]
	}
}

// requeue puts commits that are in flight back to the head of the queue.
func (s *stream) requeue(commits []*pendingCommit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range commits {
		c.inFlight = false
	}
	s.queued = slices.Concat(commits, s.queued)
}

// recordsToAppend returns the records of a batch that have not been read back from the
// log, with the positions of their previous records filled in where known.
func (s *stream) recordsToAppend(batch []*pendingCommit) []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := make([]Record, 0, len(batch))
	indexByID := make(map[RecordID]int, len(batch))
	for _, c := range batch {
		if s.pending[c.record.ID()] != c {
			continue
		}
		indexByID[c.record.ID()] = len(records)
		records = append(records, s.linkPreviousLocked(c.record, indexByID))
	}
	return records
}

// linkPreviousLocked returns the record with the position of its previous record, which
// is in the same append (indexByID holds the records that precede it there), or the latest
// one of its program. Otherwise the record is returned as it is. s.mu must be held.
func (s *stream) linkPreviousLocked(r Record, indexByID map[RecordID]int) Record {
	if index, ok := indexByID[r.Previous()]; ok {
		return r.withPreviousPosition(withinAppend(index))
	}
	if end, ok := s.chainEnds[r.Program()]; ok && end.lastRecordID == r.Previous() {
		return r.withPreviousPosition(end.position)
	}
	return r
}

// failUnencodable ends the commit of a record that can't be encoded.
func (s *stream) failUnencodable(c *pendingCommit, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finishLocked(c, commitResult{position: NoPosition, err: Errorf("commit", KindCorrupt, "encode record %s of type %s: %w", c.record.ID(), c.record.Body().Type(), err)})
}

func (s *stream) countRetry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Retries++
}

// currentStats returns a copy of the counters with the current numbers of programs and
// waiting records.
func (s *stream) currentStats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Programs = len(s.chainEnds)
	stats.Waiting = len(s.pending)
	return stats
}
