package turn

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

// writeOp is the write of one record to the log.
type writeOp struct {
	// appendNumber identifies the write among those of this process.
	appendNumber uint64
	record       *turnpb.Record
	// encoded is record in the form in which it is appended and replicated.
	encoded []byte
	// program is set only for a begin record.
	program string
	// reservedTokens and budgetTokens are set only for the begin record of an attempt
	// admitted by this process.
	reservedTokens int64
	budgetTokens   int64
	// replicated is set when enough other processes hold the record, so that its
	// caller may continue before the log has it.
	replicated bool
	// leased is set when a lease covers the tokens of the attempt, so that its caller may
	// continue before the log has the record.
	leased      bool
	submittedAt time.Time
	// resolved is closed when the record is in the log, replicated or refused; err is
	// set before.
	resolved chan struct{}
	// logged is closed when the record is in the log or refused.
	logged chan struct{}
	err    error
}

// complete removes a write from the pending ones, because the log has its record or,
// with an error, because its attempt is refused. It does nothing for a write that is
// not pending. s.mu must be held.
func (s *shard) complete(appendNumber uint64, err error) {
	op, ok := s.pendingByNumber[appendNumber]
	if !ok {
		return
	}
	delete(s.pendingByNumber, appendNumber)
	for i, other := range s.pending {
		if other == op {
			s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
			break
		}
	}
	close(op.logged)
	if op.record.GetRelease() != nil {
		s.releasingLeases = false
	}
	if op.replicated {
		s.releasable = append(s.releasable, op.encoded)
	}
	op.resolve(err)
}

// resolve reports the outcome of a write to its caller; later calls have no effect.
func (op *writeOp) resolve(err error) {
	select {
	case <-op.resolved:
	default:
		op.err = err
		close(op.resolved)
	}
}

// waitResolved waits until the record is in the log, replicated or refused. It returns
// the error of a refused write, or one of KindUnavailable when ctx ends first.
func (op *writeOp) waitResolved(ctx context.Context) error {
	select {
	case <-op.resolved:
		return op.err
	case <-ctx.Done():
		return Errorf("write record", KindUnavailable, "record was neither appended to the log nor replicated in time: %w", ctx.Err())
	}
}

// waitLogged waits until the log has the record of a replica, which is never refused,
// or returns an error of KindUnavailable when ctx ends first.
func (op *writeOp) waitLogged(ctx context.Context) error {
	select {
	case <-op.logged:
		return nil
	case <-ctx.Done():
		return Errorf("write record", KindUnavailable, "record was not appended to the log in time: %w", ctx.Err())
	}
}

// submit queues a write and starts the goroutines that append and replicate pending
// records unless they run. A replica, whose record is already encoded, is appended
// unchanged, with the writer and append number of the original. s.mu must be held.
func (s *shard) submit(op *writeOp) {
	op.appendNumber = s.set.lastAppendNumber.Add(1)
	op.submittedAt = time.Now()
	op.resolved, op.logged = make(chan struct{}), make(chan struct{})
	if op.encoded == nil {
		op.record.Writer, op.record.Append = s.set.writerID, op.appendNumber
		op.record.WrittenMs = time.Now().UnixMilli()
		data, err := proto.Marshal(op.record)
		if err != nil {
			op.resolve(Errorf("write record", KindUnavailable, "can't encode record: %w", err))
			return
		}
		op.encoded = data
		if limit := s.set.config.MaxRecordBytes; limit > 0 && len(data) > limit {
			// The log would refuse it for ever, and all records after it.
			close(op.logged)
			op.resolve(Errorf("write record", KindTooLong, "record of %d bytes is longer than the %d bytes that the log takes", len(data), limit))
			return
		}
	} else if op.record.GetWriter() == s.set.writerID {
		op.appendNumber = op.record.GetAppend()
	}
	s.pendingByNumber[op.appendNumber] = op
	s.pending = append(s.pending, op)
	if !s.appending {
		s.appending = true
		go s.appendPending()
	}
	if !s.replicating {
		s.replicating = true
		go s.replicatePending()
	}
}
