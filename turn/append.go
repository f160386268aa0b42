package turn

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	// maxBatchBytes limits the encoded records of one append to 1 MiB. The platform
	// accepts up to 2 MiB.
	maxBatchBytes = 1 << 20
	// minRetryDelay is the delay after the first failed append; it doubles with each
	// further failure.
	minRetryDelay = 20 * time.Millisecond
	// maxRetryDelay limits the delay between failed appends.
	maxRetryDelay = 150 * time.Millisecond
	// beginLinger is how long a begin record waits to be batched with others. The
	// record is needed only when the first token arrives, which takes an engine longer.
	beginLinger = 10 * time.Millisecond
	// settleLinger is how long an end record without a turn, or a begin record whose tokens are
	// leased, waits to be batched with others. No caller waits for it.
	settleLinger = 150 * time.Millisecond
)

// appendPending appends the pending records in batches until none is left. At most
// one appendPending runs for a shard.
func (s *shard) appendPending() {
	retryDelay := time.Duration(0)
	var lastAppendAt time.Time
	for {
		s.waitForBatch(max(retryDelay, s.set.config.MinAppendInterval-time.Since(lastAppendAt)))
		s.mu.Lock()
		pending := len(s.pending)
		if pending == 0 {
			s.appending = false
			s.mu.Unlock()
			s.releaseReplicas()
			return
		}
		s.mu.Unlock()
		lastAppendAt = time.Now()
		err := s.tryAppend()
		s.releaseReplicas()
		if err == nil {
			retryDelay = 0
			continue
		}
		s.set.config.Logger.Warn("append failed", zap.Int("shard", s.number), zap.Int("records", pending), zap.Error(err))
		retryDelay = min(maxRetryDelay, max(minRetryDelay, 2*retryDelay))
	}
}

// waitForBatch waits for delay, then until the most urgent pending write is due.
func (s *shard) waitForBatch(delay time.Duration) {
	timer.Sleep(context.Background(), delay)
	for {
		s.mu.Lock()
		remaining := s.remainingLinger(time.Now())
		s.mu.Unlock()
		if remaining <= 0 {
			return
		}
		timer.Sleep(context.Background(), min(remaining, s.set.config.Linger))
	}
}

// remainingLinger returns how long the next append may still be delayed to batch
// more records: zero or less when a pending write is due or none is pending. s.mu
// must be held.
func (s *shard) remainingLinger(now time.Time) time.Duration {
	if len(s.pending) == 0 {
		return 0
	}
	least := settleLinger
	for _, op := range s.pending {
		linger := s.set.config.Linger
		switch {
		case op.replicated:
			linger = 0
		case op.leased:
			linger = settleLinger
		case op.record.GetBegin() != nil:
			linger = beginLinger
		case op.record.GetEnd() != nil && op.record.GetEnd().GetTurn() == nil:
			linger = settleLinger
		}
		least = min(least, linger-now.Sub(op.submittedAt))
	}
	return least
}

// tryAppend appends the oldest pending writes at the end of the shard, or has its home
// append them. If another process has written to the shard meanwhile, tryAppend reads its
// records and leaves the writes pending for the next call.
func (s *shard) tryAppend() error {
	ctx, cancel := context.WithTimeout(context.Background(), s.set.config.LogTimeout)
	defer cancel()
	if s.isForeign() {
		err := s.appendAtHome(ctx)
		s.setAppendFailing(err != nil)
		return err
	}
	if err := s.ensureLoaded(ctx, loadForAppend); err != nil {
		s.setAppendFailing(true)
		return err
	}
	// The writes pending now fit their budgets after all records before this offset.
	s.mu.Lock()
	offset, batch := s.nextOffset, s.nextBatch()
	s.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	err := s.appendAt(offset, batch)
	if err != nil && KindOf(err) == KindConflict {
		err = s.readToEnd(ctx)
	}
	s.setAppendFailing(err != nil)
	return err
}

// isForeign reports whether the shard is not loaded and another process is its home. Only
// records that need no state of the shard are pending then: settlements of attempts.
func (s *shard) isForeign() bool {
	if s.set.config.IsHome(s.number) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.loaded && s.load == nil
}

// appendAtHome has the home of the shard append the oldest pending writes, which saves
// loading the shard here for them.
func (s *shard) appendAtHome(ctx context.Context) error {
	s.mu.Lock()
	batch := s.nextBatch()
	s.mu.Unlock()
	if len(batch) == 0 {
		return nil
	}
	records := make([][]byte, len(batch))
	for i, op := range batch {
		records[i] = op.encoded
	}
	if err := s.set.config.Replicator.AppendAtHome(ctx, s.number, records); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range batch {
		s.complete(op.appendNumber, nil)
	}
	return nil
}

// setAppendFailing records when appends began to fail, or that they work again.
func (s *shard) setAppendFailing(failing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failing && s.failingSince.IsZero() {
		s.failingSince = time.Now()
	} else if !failing {
		s.failingSince = time.Time{}
	}
}

// nextBatch returns the oldest pending writes that fit in one append, at least one
// if any is pending. s.mu must be held.
func (s *shard) nextBatch() []*writeOp {
	size := 0
	for i, op := range s.pending {
		size += len(op.encoded)
		if size > maxBatchBytes && i > 0 {
			return append([]*writeOp(nil), s.pending[:i]...)
		}
	}
	return append([]*writeOp(nil), s.pending...)
}

// appendAt appends a batch if the shard ends at offset, and applies its records.
func (s *shard) appendAt(offset int64, batch []*writeOp) error {
	records := make([][]byte, len(batch))
	for i, op := range batch {
		records[i] = op.encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.set.config.LogTimeout)
	defer cancel()
	started := time.Now()
	if err := s.set.config.Log.AppendAt(ctx, s.number, offset, records); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncedTo(started)
	s.applyRecords(offset, records)
	for _, op := range batch {
		s.complete(op.appendNumber, nil)
	}
	return nil
}

// usedTokensWithPending returns the tokens that a program has spent or reserved,
// including those of pending records but not those reserved for exceptAttempt. An attempt
// whose end is pending counts with its delivered tokens. s.mu must be held.
func (s *shard) usedTokensWithPending(program, exceptAttempt string) int64 {
	sum := s.state.usedTokens(program, exceptAttempt)
	reserved := s.state.reservedByAttempt(program)
	ended := map[string]bool{}
	for _, op := range s.pending {
		e := op.record.GetEnd()
		if e.GetProgram() != program || ended[e.GetAttempt()] || s.state.hasEnded(program, e.GetAttempt()) {
			continue
		}
		ended[e.GetAttempt()] = true
		sum += e.GetTokens()
		if e.GetAttempt() != exceptAttempt {
			sum -= reserved[e.GetAttempt()]
		}
	}
	for _, op := range s.pending {
		b := op.record.GetBegin()
		if b.GetProgram() != program || b.GetAttempt() == exceptAttempt || ended[b.GetAttempt()] || s.state.hasEnded(program, b.GetAttempt()) {
			continue
		}
		if _, ok := reserved[b.GetAttempt()]; !ok {
			sum += b.GetTokens()
		}
	}
	return sum
}

// spentTokensWithPending returns the tokens that a program has spent by the records so far, pending
// ones included. s.mu must be held.
func (s *shard) spentTokensWithPending(program string) int64 {
	sum := s.state.spentTokens(program)
	counted := map[string]bool{}
	for _, op := range s.pending {
		e := op.record.GetEnd()
		if e.GetProgram() != program || counted[e.GetAttempt()] || s.state.hasEnded(program, e.GetAttempt()) {
			continue
		}
		counted[e.GetAttempt()] = true
		sum += e.GetTokens()
	}
	return sum
}

// refuseOverBudget refuses the pending attempts of the given programs that no longer fit
// their budgets because another process has written to the shard. Attempts with replicated or
// leased begin records stay: their callers may already have continued. s.mu must be held.
func (s *shard) refuseOverBudget(programs map[string]bool) {
	if len(programs) == 0 {
		return
	}
	for _, op := range append([]*writeOp(nil), s.pending...) {
		if op.budgetTokens == 0 || op.replicated || op.leased || !programs[op.program] {
			continue
		}
		used := s.usedTokensWithPending(op.program, op.record.GetBegin().GetAttempt()) + s.leases.leasedByOthers(op.program, s.set.writerID)
		if used+op.reservedTokens > op.budgetTokens {
			s.complete(op.appendNumber, Errorf("begin turn", KindBudget, "budget of %d tokens no longer admits the attempt", op.budgetTokens))
		}
	}
}
