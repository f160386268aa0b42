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
	// rewriteAge is the age of a conversation's oldest record from which the next turn
	// is written with the whole conversation. It must be below trimAge, so that a
	// conversation in use is rewritten before its oldest record is trimmed.
	rewriteAge = 90 * time.Second
	// trimAge is the age from which records are trimmed from the log.
	trimAge = 240 * time.Second
)

// shard is one shard of the log with the state that its records yield.
type shard struct {
	number int
	set    *ShardSet

	// mu guards the fields below, except readMu and loadSlot.
	mu    sync.Mutex
	state *state
	// nextOffset is the offset after the last record applied to state.
	nextOffset int64
	// loaded is set once the shard was read to its end.
	loaded bool
	// pending holds the writes that are not in the log yet, in the order of submission.
	pending []*writeOp
	// pendingByNumber holds the same writes by their append numbers.
	pendingByNumber map[uint64]*writeOp
	// endpointBySession holds the endpoint that last served each session. It is not
	// in the log, so another process that serves the shard does not know it.
	endpointBySession map[string]string
	// firstSessionByProgram holds the first session that each program ended a turn in.
	firstSessionByProgram map[string]string
	// fetchedTextByAttempt holds the conversations found in other shards for attempts
	// under way, which are written into this shard with their turns.
	fetchedTextByAttempt map[string][]byte
	// appending is set while appendPending runs.
	appending bool
	// lastUsedAt is when load was last called, as each request and append does first.
	lastUsedAt time.Time
	// syncedAt is when this process last read or appended to the end of the shard.
	syncedAt time.Time
	// failingSince is when appends began to fail, zero while they succeed.
	failingSince time.Time
	// replicating is set while replicatePending runs.
	replicating bool
	// releasable holds replicated records that the log has now and whose holders have
	// not been told yet.
	releasable [][]byte
	// bytesRead counts the bytes of the records read from the log.
	bytesRead int64
	// trimPoints holds offsets to trim the log at, in ascending order.
	trimPoints []trimPoint
	// readMu serializes readers of the log.
	readMu sync.Mutex
	// loadSlot holds one element while a goroutine loads the shard. It is a channel
	// instead of a mutex so that waiting for it can be canceled.
	loadSlot chan struct{}
}

// loadReason says in the log what a shard is loaded for.
type loadReason string

// Reasons to load a shard.
const (
	loadForStart    loadReason = "start"
	loadForBegin    loadReason = "begin"
	loadForFind     loadReason = "find"
	loadForAppend   loadReason = "append"
	loadForReplicas loadReason = "replicas"
)

// trimPoint is an offset with the time at which its record was written.
type trimPoint struct {
	offset    int64
	writtenAt time.Time
}

func newShard(set *ShardSet, number int) *shard {
	return &shard{
		set: set, number: number, state: newState(), pendingByNumber: map[uint64]*writeOp{},
		endpointBySession: map[string]string{}, firstSessionByProgram: map[string]string{}, fetchedTextByAttempt: map[string][]byte{}, loadSlot: make(chan struct{}, 1),
	}
}

// readToEnd reads the log from nextOffset to its end and applies the records. Trimmed
// records are skipped.
func (s *shard) readToEnd(ctx context.Context) error {
	s.readMu.Lock()
	defer s.readMu.Unlock()
	for {
		s.mu.Lock()
		offset := s.nextOffset
		s.mu.Unlock()
		page, err := s.set.config.Log.Read(ctx, s.number, offset)
		if KindOf(err) == KindExpired && err != nil {
			s.mu.Lock()
			s.nextOffset = max(s.nextOffset, page.FirstOffset)
			s.mu.Unlock()
			continue
		}
		if err != nil {
			return err
		}
		s.mu.Lock()
		for _, record := range page.Records {
			s.bytesRead += int64(len(record))
		}
		s.applyRecords(offset, page.Records)
		atEnd := s.nextOffset >= page.NextOffset
		if atEnd {
			s.syncedAt = time.Now()
		}
		s.mu.Unlock()
		if atEnd {
			return nil
		}
	}
}

// load reads the shard to its end unless it is loaded already, and queues the replicas
// of its records that other processes hold. Concurrent callers wait for the first one
// instead of reading the shard themselves. The reason is logged.
func (s *shard) load(ctx context.Context, reason loadReason) error {
	if s.markUsed() {
		return nil
	}
	select {
	case s.loadSlot <- struct{}{}:
		defer func() { <-s.loadSlot }()
	case <-ctx.Done():
		return Errorf("load shard", KindUnavailable, "shard %d was not loaded in time: %w", s.number, ctx.Err())
	}
	if s.markUsed() {
		return nil
	}
	started := time.Now()
	if err := s.readToEnd(ctx); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.set.config.Logger.Warn("shard not loaded", zap.Int("shard", s.number), zap.String("for", string(reason)), zap.Bool("home", s.set.config.IsHome(s.number)),
			zap.Int64("offset", s.nextOffset), zap.Int64("bytes", s.bytesRead), zap.Duration("took", time.Since(started)), zap.Error(err))
		return err
	}
	replicas := s.set.config.Replicator.Replicas(ctx, s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded, s.syncedAt = true, time.Now()
	for _, data := range replicas {
		s.submitReplica(data)
	}
	s.set.config.Logger.Info("shard loaded", zap.Int("shard", s.number), zap.String("for", string(reason)), zap.Bool("home", s.set.config.IsHome(s.number)),
		zap.Int64("end", s.nextOffset), zap.Int64("bytes", s.bytesRead),
		zap.Int("turns", len(s.state.turns)), zap.Int("copies", len(replicas)), zap.Duration("took", time.Since(started)))
	return nil
}

// markUsed records that the shard is in use and reports whether it is loaded.
func (s *shard) markUsed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsedAt = time.Now()
	return s.loaded
}

// applyRecords applies records that start at firstOffset in the log, except those that
// were applied before, and completes the pending writes of this process among them.
// s.mu must be held.
func (s *shard) applyRecords(firstOffset int64, records [][]byte) {
	now := time.Now()
	for i, data := range records {
		offset := firstOffset + int64(i)
		if offset < s.nextOffset {
			continue
		}
		s.nextOffset = offset + 1
		r := &turnpb.Record{}
		if err := proto.Unmarshal(data, r); err != nil {
			s.set.config.Logger.Error("decoding a record failed", zap.Int("shard", s.number), zap.Int64("offset", offset), zap.Error(err))
			continue
		}
		s.state.apply(r)
		if n := len(s.trimPoints); n == 0 || now.Sub(s.trimPoints[n-1].writtenAt) > time.Second {
			s.trimPoints = append(s.trimPoints, trimPoint{offset: offset, writtenAt: time.UnixMilli(r.GetWrittenMs())})
		}
		if r.GetWriter() == s.set.writerID {
			s.complete(r.GetAppend(), nil)
		}
	}
}
