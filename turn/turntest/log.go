// Package turntest provides in-memory fakes for tests of package turn: a log with
// injected faults and a replicator.
package turntest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/turn"
)

// Fault is a way in which a Log fails.
type Fault uint8

// Faults of a Log.
const (
	// NoFault means that appends and reads succeed.
	NoFault Fault = iota
	// Unavailable means that appends time out without effect and reads fail.
	Unavailable
	// ResponseLost means that appends take effect but time out.
	ResponseLost
	// AppliedLate means that appends time out and take effect after lateAppendDelay, if
	// the shard then still ends at their offset.
	AppliedLate
)

// lateAppendDelay is the time after which an append takes effect under AppliedLate.
const lateAppendDelay = 2 * time.Second

// Log is an in-memory turn.Log with injected faults. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// recordsByShard holds the records that are not trimmed.
	recordsByShard map[int][][]byte
	// firstOffsetByShard holds the offset of the oldest of these records.
	firstOffsetByShard map[int]int64
	fault              Fault
	appends            int
	reads              int
	// readDelay is how long a read takes.
	readDelay time.Duration
}

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{recordsByShard: map[int][][]byte{}, firstOffsetByShard: map[int]int64{}}
}

// SetFault sets the fault of subsequent calls.
func (l *Log) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// SetReadDelay sets how long subsequent reads take.
func (l *Log) SetReadDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readDelay = d
}

// Reads returns the number of reads, including failed ones.
func (l *Log) Reads() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

// AppendAt implements turn.Log.
func (l *Log) AppendAt(ctx context.Context, shard int, offset int64, records [][]byte) error {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	switch fault {
	case Unavailable:
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnavailable, "log is down")
	case ResponseLost:
		err := l.appendRecords(shard, offset, records)
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnknown, "no answer: %w", errors.Join(ctx.Err(), err))
	case AppliedLate:
		time.AfterFunc(lateAppendDelay, func() { _ = l.appendRecords(shard, offset, records) })
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnknown, "no answer: %w", ctx.Err())
	}
	return l.appendRecords(shard, offset, records)
}

// appendRecords appends records if the shard ends at offset.
func (l *Log) appendRecords(shard int, offset int64, records [][]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := l.firstOffsetByShard[shard] + int64(len(l.recordsByShard[shard])); end != offset {
		return turn.Errorf("append", turn.KindConflict, "shard %d ends at %d, not at %d", shard, end, offset)
	}
	l.recordsByShard[shard] = append(l.recordsByShard[shard], records...)
	l.appends++
	return nil
}

// Read implements turn.Log.
func (l *Log) Read(ctx context.Context, shard int, offset int64) (turn.Page, error) {
	l.mu.Lock()
	l.reads++
	delay := l.readDelay
	l.mu.Unlock()
	time.Sleep(delay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == Unavailable {
		return turn.Page{}, turn.Errorf("read", turn.KindUnavailable, "log is down")
	}
	first := l.firstOffsetByShard[shard]
	if offset < first {
		return turn.Page{FirstOffset: first}, turn.Errorf("read", turn.KindExpired, "offset %d was trimmed", offset)
	}
	records := l.recordsByShard[shard][offset-first:]
	return turn.Page{FirstOffset: first, NextOffset: first + int64(len(l.recordsByShard[shard])), Records: append([][]byte(nil), records...)}, ctx.Err()
}

// Trim implements turn.Log.
func (l *Log) Trim(_ context.Context, shard int, before int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := before - l.firstOffsetByShard[shard]; n > 0 {
		l.recordsByShard[shard] = l.recordsByShard[shard][n:]
		l.firstOffsetByShard[shard] = before
	}
	return nil
}

// Replicator is an in-memory turn.Replicator shared by all processes of a test.
type Replicator struct {
	mu              sync.Mutex
	replicasByShard map[int][][]byte
	reads           int
	releases        int
}

// NewReplicator returns a replicator without replicas.
func NewReplicator() *Replicator { return &Replicator{replicasByShard: map[int][][]byte{}} }

// Replicate implements turn.Replicator. It never fails.
func (r *Replicator) Replicate(_ context.Context, shard int, records [][]byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicasByShard[shard] = append(r.replicasByShard[shard], records...)
	return nil
}

// ReleaseReplicas counts calls but keeps the replicas: homes must recognize replicas
// that the log already has.
func (r *Replicator) ReleaseReplicas(int, [][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.releases++
}

// Releases returns the number of calls to ReleaseReplicas.
func (r *Replicator) Releases() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.releases
}

// Replicas implements turn.Replicator.
func (r *Replicator) Replicas(_ context.Context, shard int) [][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	return append([][]byte(nil), r.replicasByShard[shard]...)
}

// Reads returns the number of calls to Replicas.
func (r *Replicator) Reads() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// LoseAll drops all replicas, as when all instances are lost.
func (r *Replicator) LoseAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicasByShard = map[int][][]byte{}
}
