package turn

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	// idleShardTimeout is how long a shard without requests stays in memory.
	idleShardTimeout = 60 * time.Second
	// maintainInterval is the time between two rounds of expiry and trimming.
	maintainInterval = 5 * time.Second
)

// Run drops idle shards, expires turns and budgets, and trims the log until ctx ends.
func (set *ShardSet) Run(ctx context.Context) {
	t := time.NewTicker(maintainInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			set.expireAndTrim(ctx)
		}
	}
}

// expireAndTrim drops idle shards, then expires and trims the others.
func (set *ShardSet) expireAndTrim(ctx context.Context) {
	set.mu.Lock()
	shards := make([]*shard, 0, len(set.shards))
	now := time.Now()
	for number, s := range set.shards {
		if s.isIdle(now) {
			delete(set.shards, number)
			continue
		}
		shards = append(shards, s)
	}
	set.mu.Unlock()
	for _, s := range shards {
		s.expireAndTrim(ctx, now)
	}
}

// isIdle reports whether a shard has had no request for idleShardTimeout, has nothing to write
// and is not being read.
func (s *shard) isIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastUsedAt) > idleShardTimeout && len(s.pending) == 0 && s.load == nil && !s.reading
}

// expireAndTrim expires turns and budgets in memory and trims old records from the
// log.
func (s *shard) expireAndTrim(ctx context.Context, now time.Time) {
	s.mu.Lock()
	// A record that was not read yet may prolong what would expire now.
	if s.loaded {
		s.state.expire(s.syncedAt, now)
		s.leases.expire(s.syncedAt)
	}
	before := int64(0)
	for len(s.trimPoints) > 0 && now.Sub(s.trimPoints[0].writtenAt) > trimAge {
		before = s.trimPoints[0].offset
		s.trimPoints = s.trimPoints[1:]
	}
	if len(s.endpointBySession) > maxRememberedSessions {
		clear(s.endpointBySession)
		clear(s.firstSessionByProgram)
	}
	if len(s.firstAskedAt) > maxRememberedSessions {
		clear(s.firstAskedAt)
	}
	s.mu.Unlock()
	if before == 0 {
		return
	}
	// A log that is silent must not keep other shards from their maintenance.
	ctx, cancel := context.WithTimeout(ctx, s.set.config.LogTimeout)
	defer cancel()
	if err := s.set.config.Log.Trim(ctx, s.number, before); err != nil {
		s.set.config.Logger.Warn("trimming a shard failed", zap.Int("shard", s.number), zap.Int64("before", before), zap.Error(err))
	}
}

// maxRememberedSessions limits the sessions of a shard whose last endpoint is
// remembered, and the programs that have not begun. All of them are forgotten when there are more.
const maxRememberedSessions = 20_000

// Status summarizes the shards in the memory of a process.
type Status struct {
	// LoadedShards is the number of shards that were read from the log.
	LoadedShards int
	// Turns is the number of turns in memory.
	Turns int
	// TextBytes is the size of the text of these turns in bytes.
	TextBytes int64
	// PendingRecords is the number of submitted records that are not in the log yet.
	PendingRecords int
}

// Status returns a summary of the shards in memory.
func (set *ShardSet) Status() Status {
	set.mu.Lock()
	defer set.mu.Unlock()
	var status Status
	for _, s := range set.shards {
		s.mu.Lock()
		if s.loaded {
			status.LoadedShards++
		}
		status.Turns += len(s.state.turns)
		status.TextBytes += s.state.textBytes
		status.PendingRecords += len(s.pending)
		s.mu.Unlock()
	}
	return status
}

// Flush waits until all submitted records are in the log or refused, or until ctx
// ends.
func (set *ShardSet) Flush(ctx context.Context) {
	for set.Status().PendingRecords > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
}
