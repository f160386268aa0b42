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
	// guardInterval is the time between two looks for records that the log does not
	// take.
	guardInterval = 15 * time.Millisecond
)

// submitCopy queues a record that another instance held for a process that may be
// gone, unless the log has it; mu is held.
func (s *shard) submitCopy(data []byte) *operation {
	r := &turnpb.Record{}
	if err := proto.Unmarshal(data, r); err != nil {
		s.homes.config.Logger.Error("copy of a record can't be read", zap.Int("shard", s.number), zap.Error(err))
		return nil
	}
	if s.state.has(r) {
		return nil
	}
	s.state.apply(r)
	op := &operation{record: r, encoded: data, kept: true}
	s.submit(op)
	return op
}

// guard copies records to other instances as long as the log does not take them.
func (s *shard) guard() {
	for {
		timer.Sleep(context.Background(), guardInterval)
		s.mu.Lock()
		if len(s.pending) == 0 {
			s.guarded = false
			s.mu.Unlock()
			return
		}
		ops := s.unguarded(time.Now())
		s.mu.Unlock()
		if len(ops) > 0 {
			s.keep(ops)
		}
	}
}

// unguarded returns the pending operations to copy now; mu is held.
func (s *shard) unguarded(now time.Time) []*operation {
	var ops []*operation
	begun := map[string]bool{}
	for _, op := range s.pending {
		if op.kept || begun[op.program] || !s.mayKeep(op, now) {
			continue
		}
		begun[op.program] = op.program != ""
		ops = append(ops, op)
	}
	return ops
}

// mayKeep reports whether copies may stand in for the log, although they are lost
// when all instances are. A whole turn never rests on them, since it must be found
// again. The beginning of a turn may, once a program: forgotten, it costs the
// budget no more than one turn, which is allowed. Only the home of the shard may go
// on, if it knew the shard to its end before the log failed; mu is held.
func (s *shard) mayKeep(op *operation, now time.Time) bool {
	c := s.homes.config
	if end := op.record.GetEnd(); end != nil {
		return end.GetTurn() == nil && !s.failing.IsZero() && now.Sub(s.failing) > c.OutageAfter
	}
	if s.failing.IsZero() && now.Sub(op.submitted) < c.KeepAfter {
		return false
	}
	return now.Sub(s.confirmed) < c.Incumbency && c.Home(s.number) && !s.keptBefore(op.program)
}

// keptBefore reports whether another beginning of a program rests on copies; mu is
// held.
func (s *shard) keptBefore(program string) bool {
	for _, op := range s.pending {
		if op.kept && op.program == program {
			return true
		}
	}
	return false
}

// keep copies records to other instances, after which their callers may go on.
func (s *shard) keep(ops []*operation) {
	records := make([][]byte, len(ops))
	for i, op := range ops {
		records[i] = op.encoded
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.homes.config.Timeout)
	defer cancel()
	if err := s.homes.config.Keeper.Keep(ctx, s.number, records); err != nil {
		s.homes.config.Logger.Warn("records can't be copied", zap.Int("shard", s.number), zap.Int("records", len(records)), zap.Error(err))
		return
	}
	s.mu.Lock()
	for _, op := range ops {
		if _, ok := s.byNumber[op.number]; !ok {
			s.settled = append(s.settled, op.encoded)
			continue
		}
		op.kept = true
		s.state.apply(op.record)
		op.finish(nil)
	}
	s.mu.Unlock()
	s.tellSettled()
}

// tellSettled tells the other instances which copies the log has taken, all in one
// message: an outage leaves thousands.
func (s *shard) tellSettled() {
	s.mu.Lock()
	records := s.settled
	s.settled = nil
	s.mu.Unlock()
	if len(records) > 0 {
		s.homes.config.Keeper.Settled(s.number, records)
	}
}

// adopt appends records that another instance held for a process that is gone,
// besides those that the log has.
func (s *shard) adopt(ctx context.Context, records [][]byte) error {
	if err := s.load(ctx); err != nil {
		return err
	}
	if err := s.refresh(ctx); err != nil {
		return err
	}
	var ops []*operation
	s.mu.Lock()
	for _, data := range records {
		if op := s.submitCopy(data); op != nil {
			ops = append(ops, op)
		}
	}
	s.mu.Unlock()
	for _, op := range ops {
		if err := op.waitDurable(ctx); err != nil {
			return err
		}
	}
	return nil
}
