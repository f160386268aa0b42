// Package turntest holds a log with faults and a keeper for tests of turns.
package turntest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/turn"
)

// Fault is what a log does with the next appends.
type Fault uint8

// Faults of a log.
const (
	// None means that appends are taken and answered.
	None Fault = iota
	// Down means that nothing is taken and nothing read.
	Down
	// Lost means that appends are taken and not answered.
	Lost
	// Late means that appends are not answered and taken later, if they then fit.
	Late
)

// lateness is when a late append is executed.
const lateness = 2 * time.Second

// Log is a log in memory.
type Log struct {
	mu     sync.Mutex
	parts  map[int][][]byte
	first  map[int]int64
	fault  Fault
	writes int
	reads  int
	// delay is how long a read takes.
	delay time.Duration
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{parts: map[int][][]byte{}, first: map[int]int64{}} }

// Set changes what the log does from now on.
func (l *Log) Set(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Writes returns the number of appends that were taken.
func (l *Log) Writes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writes
}

// Slow sets how long a read takes from now on.
func (l *Log) Slow(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// Reads returns the number of reads.
func (l *Log) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// AppendAt adds records if the shard ends at an offset.
func (l *Log) AppendAt(ctx context.Context, shard int, at int64, records [][]byte) error {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	switch fault {
	case Down:
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnavailable, "log is down")
	case Lost:
		err := l.take(shard, at, records)
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnknown, "no answer: %w", errors.Join(ctx.Err(), err))
	case Late:
		time.AfterFunc(lateness, func() { _ = l.take(shard, at, records) })
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnknown, "no answer: %w", ctx.Err())
	}
	return l.take(shard, at, records)
}

func (l *Log) take(shard int, at int64, records [][]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := l.first[shard] + int64(len(l.parts[shard])); end != at {
		return turn.Errorf("append", turn.KindConflict, "shard %d ends at %d, not at %d", shard, end, at)
	}
	l.parts[shard] = append(l.parts[shard], records...)
	l.writes++
	return nil
}

// Read returns the records from an offset on.
func (l *Log) Read(ctx context.Context, shard int, from int64) (turn.Page, error) {
	l.mu.Lock()
	l.reads++
	delay := l.delay
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == Down {
		return turn.Page{}, turn.Errorf("read", turn.KindUnavailable, "log is down")
	}
	first := l.first[shard]
	if from < first {
		return turn.Page{First: first}, turn.Errorf("read", turn.KindExpired, "offset %d is gone", from)
	}
	list := l.parts[shard][from-first:]
	return turn.Page{First: first, End: first + int64(len(l.parts[shard])), Records: append([][]byte(nil), list...)}, ctx.Err()
}

// Trim drops the records before an offset.
func (l *Log) Trim(_ context.Context, shard int, before int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := before - l.first[shard]; n > 0 {
		l.parts[shard] = l.parts[shard][n:]
		l.first[shard] = before
	}
	return nil
}

// Keeper holds copies for all homes of a test.
type Keeper struct {
	mu      sync.Mutex
	copies  map[int][][]byte
	asked   int
	settled int
}

// NewKeeper returns a keeper without copies.
func NewKeeper() *Keeper { return &Keeper{copies: map[int][][]byte{}} }

// Keep stores copies.
func (k *Keeper) Keep(_ context.Context, shard int, records [][]byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.copies[shard] = append(k.copies[shard], records...)
	return nil
}

// Settled counts messages; copies that the log has are recognized without it.
func (k *Keeper) Settled(int, [][]byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settled++
}

// Settlements returns the number of messages that copies are not needed any more.
func (k *Keeper) Settlements() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.settled
}

// Kept returns the copies of a shard.
func (k *Keeper) Kept(_ context.Context, shard int) [][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked++
	return append([][]byte(nil), k.copies[shard]...)
}

// Asked returns how often copies were asked for.
func (k *Keeper) Asked() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.asked
}

// Lose forgets all copies, as when all instances are killed.
func (k *Keeper) Lose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.copies = map[int][][]byte{}
}
