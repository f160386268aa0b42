package order

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// ledgerShardCount is the number of parts of a ledger. Each has its own lock, so
	// that orders of different programs rarely wait for each other.
	ledgerShardCount = 16
	// DefaultRetention is how long a ledger keeps an order, counted from its first
	// request.
	DefaultRetention = 24 * time.Hour
)

// SendFunc sends an order to the service, once, and returns the payload of its response.
type SendFunc func(ctx context.Context) ([]byte, error)

// Ledger records the orders that a process has received for its service, with their
// outcomes. It is kept in memory, so a restart of the process loses it; the incarnation
// distinguishes orders that were claimed before the restart. It is safe for concurrent
// use.
type Ledger struct {
	incarnation uint64
	shards      [ledgerShardCount]ledgerShard
}

// ledgerShard holds the orders of a part of the programs.
type ledgerShard struct {
	// mu guards the fields below.
	mu       sync.Mutex
	attempts *AttemptRegistry
	// entries holds the outcome of each attempt that is registered in attempts.
	entries map[Key]*entry
}

// entry is one attempt at an order.
type entry struct {
	// done is closed when the outcome is known; payload and err are set before.
	done    chan struct{}
	payload []byte
	err     error
	// created is when the attempt was first received.
	created time.Time
}

// NewLedger returns an empty ledger for one incarnation of its process.
func NewLedger(incarnation uint64) *Ledger {
	l := &Ledger{incarnation: incarnation}
	for i := range l.shards {
		l.shards[i].entries = map[Key]*entry{}
		l.shards[i].attempts = NewAttemptRegistry(incarnation)
	}
	return l
}

// Incarnation returns the incarnation of the process that keeps the ledger.
func (l *Ledger) Incarnation() uint64 { return l.incarnation }

// Len returns the number of attempts that the ledger holds.
func (l *Ledger) Len() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}

// Run sends an order with send, unless the same attempt has been received before, and
// waits for the outcome; the reply of a repeat is marked as replayed. The error is of
// KindFenced or KindIncarnationMismatch when the attempt is refused, of KindNotRun when
// an earlier query has refused it, of KindInDoubt when ctx ends before the call, which
// continues, or when the attempt may have expired, and otherwise the error of send.
func (l *Ledger) Run(ctx context.Context, r Request, send SendFunc) (Reply, error) {
	e, first, err := l.findOrCreate(r, time.Now())
	if err != nil {
		return Reply{}, err
	}
	if first {
		go e.execute(context.WithoutCancel(ctx), send)
	}
	return e.wait(ctx, !first)
}

// Query waits for the outcome of an attempt that has been received before, and returns it
// like Run. An attempt that has not been received is refused from now on, and the error is
// of KindNotRun: even if the attempt arrives later, it does not run. The error is a final one
// of KindInDoubt when the attempt may have expired.
func (l *Ledger) Query(ctx context.Context, r Request) (Reply, error) {
	e, first, err := l.findOrCreate(r, time.Now())
	if err != nil {
		return Reply{}, err
	}
	if first {
		e.finish(nil, Errorf("query order", KindNotRun, "order %s has not run and will not run", r.Key()))
	}
	return e.wait(ctx, true)
}

// findOrCreate returns the entry of an attempt; the second result is true when the
// attempt has not been received before, so that the entry is new.
func (l *Ledger) findOrCreate(r Request, now time.Time) (*entry, bool, error) {
	s := l.shard(r.Key().Program())
	s.mu.Lock()
	defer s.mu.Unlock()
	first, err := s.attempts.Register(r)
	if err != nil {
		return nil, false, err
	}
	if !first {
		return s.entries[r.Key()], false, nil
	}
	e := &entry{done: make(chan struct{}), created: now}
	s.entries[r.Key()] = e
	return e, true, nil
}

// Expire deletes the attempts that have ended and were first received before a time, and
// returns how many these are. An attempt that is repeated after that is refused as in doubt.
func (l *Ledger) Expire(before time.Time) int {
	n := 0
	for i := range l.shards {
		n += l.shards[i].expire(before)
	}
	return n
}

func (s *ledgerShard) expire(before time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key, e := range s.entries {
		if e.isDone() && e.created.Before(before) {
			delete(s.entries, key)
			s.attempts.Forget(key)
			n++
		}
	}
	return n
}

func (l *Ledger) shard(id program.ID) *ledgerShard {
	return &l.shards[id[0]%ledgerShardCount]
}

// execute sends the order and records the outcome.
func (e *entry) execute(ctx context.Context, send SendFunc) {
	payload, err := send(ctx)
	e.finish(payload, err)
}

// finish records the outcome and ends all waits. It must be called once.
func (e *entry) finish(payload []byte, err error) {
	e.payload = payload
	e.err = err
	close(e.done)
}

// isDone reports whether the outcome is known.
func (e *entry) isDone() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// wait returns the outcome once it is known, or an error of KindInDoubt when ctx ends
// first. replayed marks the reply as that of a repeat, if the order succeeded.
func (e *entry) wait(ctx context.Context, replayed bool) (Reply, error) {
	select {
	case <-e.done:
		return NewReply(e.payload, replayed && e.err == nil), e.err
	case <-ctx.Done():
		return Reply{}, Errorf("wait for order", KindInDoubt, "outcome not known yet: %w", ctx.Err())
	}
}
