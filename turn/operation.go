package turn

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

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
		s.settled = append(s.settled, op.encoded)
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
