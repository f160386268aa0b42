package turn

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	// maxBatchBytes bounds the records of one append; the platform takes 2 MiB.
	maxBatchBytes = 1 << 20
	// retryPause is the wait after an append that failed.
	retryPause = 20 * time.Millisecond
	// maxRetryPause bounds the wait as failures go on.
	maxRetryPause = 150 * time.Millisecond
	// beginLinger is how long the record of a beginning waits for others: it is needed
	// with the first token, which takes an engine longer.
	beginLinger = 10 * time.Millisecond
	// settleLinger is how long a settlement that nobody waits for does.
	settleLinger = 150 * time.Millisecond
)

// commit appends what is pending until nothing is.
func (s *shard) commit() {
	pause := time.Duration(0)
	var last time.Time
	for {
		s.linger(max(pause, s.homes.config.Gap-time.Since(last)))
		s.mu.Lock()
		batch := s.batch()
		if len(batch) == 0 {
			s.running = false
			s.mu.Unlock()
			s.tellSettled()
			return
		}
		s.mu.Unlock()
		last = time.Now()
		err := s.write(batch)
		s.tellSettled()
		if err == nil {
			pause = 0
			continue
		}
		s.homes.config.Logger.Warn("append failed", zap.Int("shard", s.number), zap.Int("records", len(batch)), zap.Error(err))
		pause = min(maxRetryPause, max(retryPause, 2*pause))
	}
}

// linger waits for a pause and then for the most urgent of the pending operations.
func (s *shard) linger(pause time.Duration) {
	timer.Sleep(context.Background(), pause)
	for {
		s.mu.Lock()
		due := s.due(time.Now())
		s.mu.Unlock()
		if due <= 0 {
			return
		}
		timer.Sleep(context.Background(), min(due, s.homes.config.Linger))
	}
}

// due returns how long the pending operations may still wait for others; mu is held.
func (s *shard) due(now time.Time) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	least := settleLinger
	for _, op := range s.pending {
		linger := s.homes.config.Linger
		switch {
		case op.kept:
			linger = 0
		case op.record.GetBegin() != nil:
			linger = beginLinger
		case op.record.GetEnd().GetTurn() == nil:
			linger = settleLinger
		}
		least = min(least, linger-now.Sub(op.submitted))
	}
	return least
}

// write appends a batch; when another instance has written meanwhile, it takes
// over what that wrote and lets the caller try again.
func (s *shard) write(batch []*operation) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.homes.config.Timeout)
	defer cancel()
	if err := s.load(ctx); err != nil {
		s.setFailing(true)
		return err
	}
	s.mu.Lock()
	at := s.next
	s.mu.Unlock()
	err := s.append(at, batch)
	if err != nil && KindOf(err) == KindConflict {
		if err = s.refresh(ctx); err == nil {
			s.recheck()
		}
	}
	s.setFailing(err != nil)
	return err
}

func (s *shard) setFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failing && s.failing.IsZero() {
		s.failing = time.Now()
	} else if !failing {
		s.failing = time.Time{}
	}
}

// batch returns the pending operations that fit in one append; mu is held.
func (s *shard) batch() []*operation {
	size := 0
	for i, op := range s.pending {
		size += len(op.encoded)
		if size > maxBatchBytes && i > 0 {
			return append([]*operation(nil), s.pending[:i]...)
		}
	}
	return append([]*operation(nil), s.pending...)
}

// append writes a batch at an offset and folds it.
func (s *shard) append(at int64, batch []*operation) error {
	records := make([][]byte, len(batch))
	for i, op := range batch {
		records[i] = op.encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.homes.config.Timeout)
	defer cancel()
	if err := s.homes.config.Log.AppendAt(ctx, s.number, at, records); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.confirmed = time.Now()
	s.take(at, records)
	for _, op := range batch {
		s.complete(op.number, nil)
	}
	return nil
}

// taken returns what a program has spent and set aside besides one attempt, with
// the records that are on their way to the log; mu is held.
func (s *shard) taken(program, besides string) int64 {
	sum := s.state.committed(program, besides)
	open := s.state.open(program)
	for _, op := range s.pending {
		if b := op.record.GetBegin(); b.GetProgram() == program && b.GetAttempt() != besides && open[b.GetAttempt()] == 0 {
			sum += b.GetTokens()
		}
		if e := op.record.GetEnd(); e.GetProgram() == program && open[e.GetAttempt()] > 0 {
			sum += e.GetTokens() - open[e.GetAttempt()]
		}
	}
	return sum
}

// recheck refuses pending attempts that no longer fit after another instance has
// written to the shard.
func (s *shard) recheck() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range append([]*operation(nil), s.pending...) {
		if op.budget == 0 || op.kept {
			continue
		}
		if s.taken(op.program, op.record.GetBegin().GetAttempt())+op.tokens > op.budget {
			s.complete(op.number, Errorf("begin turn", KindBudget, "budget of %d tokens is spent", op.budget))
		}
	}
}
