package turn

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
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
	// guardInterval is the time between two looks for records that the log does not
	// take.
	guardInterval = 15 * time.Millisecond
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

	mu        sync.Mutex
	state     *state
	next      int64
	loaded    bool
	pending   []*operation
	byNumber  map[uint64]*operation
	sessions  map[string]string
	foreign   map[string][]byte
	running   bool
	used      time.Time
	confirmed time.Time
	failing   time.Time
	guarded   bool
	marks     []mark
	reading   sync.Mutex
}

// mark remembers when an offset was written, for trimming.
type mark struct {
	offset int64
	at     time.Time
}

// operation is a record on its way to the log.
type operation struct {
	number  uint64
	record  *turnpb.Record
	encoded []byte
	program string
	tokens  int64
	budget  int64
	// kept is set when other instances hold the record, so that its caller may go on.
	kept      bool
	submitted time.Time
	// done is closed when the caller may go on, durable when the log has the record.
	done    chan struct{}
	durable chan struct{}
	err     error
}

func newShard(h *Homes, number int) *shard {
	return &shard{
		homes: h, number: number, state: newState(), byNumber: map[uint64]*operation{},
		sessions: map[string]string{}, foreign: map[string][]byte{},
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

// load reads the shard for the first time, with what other instances hold of it.
func (s *shard) load(ctx context.Context) error {
	s.mu.Lock()
	loaded := s.loaded
	s.used = time.Now()
	s.mu.Unlock()
	if loaded {
		return nil
	}
	started := time.Now()
	if err := s.refresh(ctx); err != nil {
		return err
	}
	kept := s.homes.config.Keeper.Kept(ctx, s.number)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loaded {
		return nil
	}
	s.loaded, s.confirmed = true, time.Now()
	for _, data := range kept {
		s.submitCopy(data)
	}
	s.homes.config.Logger.Info("shard loaded", zap.Int("shard", s.number), zap.Int64("end", s.next),
		zap.Int("turns", len(s.state.turns)), zap.Int("copies", len(kept)), zap.Duration("took", time.Since(started)))
	return nil
}

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

// complete ends an operation; mu is held.
func (s *shard) complete(number uint64, err error) {
	op, ok := s.byNumber[number]
	if !ok {
		return
	}
	delete(s.byNumber, number)
	for i, o := range s.pending {
		if o == op {
			s.pending = append(s.pending[:i:i], s.pending[i+1:]...)
			break
		}
	}
	close(op.durable)
	if op.kept {
		s.homes.config.Keeper.Settled(s.number, [][]byte{op.encoded})
	}
	op.finish(err)
}

// finish tells the caller of an operation how it ended, once.
func (o *operation) finish(err error) {
	select {
	case <-o.done:
	default:
		o.err = err
		close(o.done)
	}
}

// wait returns when the operation is durable.
func (o *operation) wait(ctx context.Context) error {
	select {
	case <-o.done:
		return o.err
	case <-ctx.Done():
		return Errorf("write record", KindUnavailable, "not confirmed in time: %w", ctx.Err())
	}
}

// waitDurable returns when the log has the record.
func (o *operation) waitDurable(ctx context.Context) error {
	select {
	case <-o.durable:
		return nil
	case <-ctx.Done():
		return Errorf("write record", KindUnavailable, "not in the log in time: %w", ctx.Err())
	}
}

// submit queues an operation and starts the committer when none runs; mu is held.
func (s *shard) submit(op *operation) {
	op.number = s.homes.number.Add(1)
	op.submitted = time.Now()
	op.done, op.durable = make(chan struct{}), make(chan struct{})
	if op.encoded == nil {
		op.record.Writer, op.record.Append = s.homes.writer, op.number
		op.record.WrittenMs = time.Now().UnixMilli()
		data, err := proto.Marshal(op.record)
		if err != nil {
			op.finish(Errorf("write record", KindUnavailable, "%w", err))
			return
		}
		op.encoded = data
	} else if op.record.GetWriter() == s.homes.writer {
		op.number = op.record.GetAppend()
	}
	s.byNumber[op.number] = op
	s.pending = append(s.pending, op)
	if !s.running {
		s.running = true
		go s.commit()
	}
	if !s.guarded {
		s.guarded = true
		go s.guard()
	}
}

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
			return
		}
		s.mu.Unlock()
		last = time.Now()
		err := s.write(batch)
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
	defer s.mu.Unlock()
	for _, op := range ops {
		if _, ok := s.byNumber[op.number]; !ok {
			s.homes.config.Keeper.Settled(s.number, [][]byte{op.encoded})
			continue
		}
		op.kept = true
		s.state.apply(op.record)
		op.finish(nil)
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
