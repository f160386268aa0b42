package turn

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// replicateInterval is the time between two checks for pending records that
	// should be replicated because the log does not accept them.
	replicateInterval = 15 * time.Millisecond
)

// submitReplica applies a replica, a record that another process held for its writer,
// queues it for the log and returns its write. It returns nil if the record has been
// applied already or can't be decoded. s.mu must be held.
func (s *shard) submitReplica(data []byte) *writeOp {
	record := &turnpb.Record{}
	if err := proto.Unmarshal(data, record); err != nil {
		s.set.config.Logger.Error("decoding a replica of a record failed", zap.Int("shard", s.number), zap.Error(err))
		return nil
	}
	if s.state.contains(record) {
		return nil
	}
	s.state.apply(record)
	op := &writeOp{record: record, encoded: data, program: record.GetBegin().GetProgram(), replicated: true}
	s.submit(op)
	return op
}

// replicatePending replicates pending records that the log does not accept, until
// nothing is pending. At most one replicatePending runs for a shard.
func (s *shard) replicatePending() {
	for {
		timer.Sleep(context.Background(), replicateInterval)
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.replicating = false
			s.mu.Unlock()
			return
		}
		ops := s.dueForReplication(time.Now())
		s.mu.Unlock()
		if len(ops) > 0 {
			s.replicate(ops)
		}
	}
}

// dueForReplication returns the pending writes to replicate now, at most one begin
// record of each program. s.mu must be held.
func (s *shard) dueForReplication(now time.Time) []*writeOp {
	var ops []*writeOp
	selectedPrograms := map[string]bool{}
	for _, op := range s.pending {
		if op.replicated || op.leased || op.record.GetRelease() != nil || selectedPrograms[op.program] || !s.mayReplicate(op, now) {
			continue
		}
		selectedPrograms[op.program] = op.program != ""
		ops = append(ops, op)
	}
	return ops
}

// mayReplicate reports whether a write's caller may continue when the record is
// replicated but not in the log yet. Replicas are lost when all instances are lost:
//   - A record with a completed turn always waits for the log, because the turn must
//     be found again.
//   - One begin record of a program at a time may be replicated. If it is lost, the
//     program exceeds its budget by one turn at most, which is allowed. Only the home
//     of the shard may do so, and only if it has read or appended to the end of the
//     shard within Config.MaxStaleness, and since any other process may have been the home:
//     that one may have written, or have a begin record of the program replicated as well.
//   - An end record without a turn may be replicated when an outage has lasted for
//     Config.ReplicateEndsAfter.
//
// s.mu must be held.
func (s *shard) mayReplicate(op *writeOp, now time.Time) bool {
	c := s.set.config
	if end := op.record.GetEnd(); end != nil {
		return end.GetTurn() == nil && !s.failingSince.IsZero() && now.Sub(s.failingSince) > c.ReplicateEndsAfter
	}
	if s.failingSince.IsZero() && now.Sub(op.submittedAt) < c.ReplicateBeginsAfter {
		return false
	}
	return now.Sub(s.syncedAt) < c.MaxStaleness && s.syncedAt.After(s.foreignUntil) && c.IsHome(s.number) && !s.hasReplicatedBegin(op.program)
}

// hasReplicatedBegin reports whether a begin record that this process wrote for the
// program is replicated but not in the log yet. s.mu must be held.
func (s *shard) hasReplicatedBegin(program string) bool {
	for _, op := range s.pending {
		if op.replicated && op.program == program {
			return true
		}
	}
	return false
}

// replicate copies records to other processes and then lets their callers continue.
// Records that reach the log meanwhile have their replicas released.
func (s *shard) replicate(ops []*writeOp) {
	records := make([][]byte, len(ops))
	for i, op := range ops {
		records[i] = op.encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.set.config.LogTimeout)
	defer cancel()
	if err := s.set.config.Replicator.Replicate(ctx, s.number, records); err != nil {
		s.set.config.Logger.Warn("replicating records failed", zap.Int("shard", s.number), zap.Int("records", len(records)), zap.Error(err))
		return
	}
	s.mu.Lock()
	for _, op := range ops {
		if _, ok := s.pendingByNumber[op.appendNumber]; !ok {
			s.releasable = append(s.releasable, op.encoded)
			continue
		}
		op.replicated = true
		s.state.apply(op.record)
		op.resolve(nil)
	}
	s.mu.Unlock()
	s.releaseReplicas()
}

// releaseReplicas tells the processes that hold replicas which of them the log has
// now. All are sent in one message, because an outage leaves thousands.
func (s *shard) releaseReplicas() {
	s.mu.Lock()
	records := s.releasable
	s.releasable = nil
	s.mu.Unlock()
	if len(records) > 0 {
		s.set.config.Replicator.ReleaseReplicas(s.number, records)
	}
}

// appendReplicas implements ShardSet.AppendReplicas for one shard.
func (s *shard) appendReplicas(ctx context.Context, records [][]byte) error {
	if err := s.ensureLoaded(ctx, loadForReplicas); err != nil {
		return err
	}
	if err := s.readToEnd(ctx); err != nil {
		return err
	}
	var ops []*writeOp
	s.mu.Lock()
	for _, data := range records {
		if op := s.submitReplica(data); op != nil {
			ops = append(ops, op)
		}
	}
	s.mu.Unlock()
	for _, op := range ops {
		if err := op.waitLogged(ctx); err != nil {
			return err
		}
	}
	return nil
}
