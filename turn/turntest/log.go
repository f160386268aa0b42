// Package turntest provides in-memory fakes for tests of package turn: a log with
// injected faults and a replicator.
package turntest

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/timer"
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
	// NoProgress means that appends time out without effect, that reads of the first
	// record are answered as expired, and others with an empty page before the end.
	NoProgress
	// Silent means that calls have no effect and never get a response, also when the
	// fault has ended meanwhile.
	Silent
)

const (
	// lateAppendDelay is the time after which an append takes effect under AppliedLate.
	lateAppendDelay = 2 * time.Second
	// maxPageBytes limits the records of a page, as the platform does. A page has at
	// least one record.
	maxPageBytes = 1 << 20
)

// Log is an in-memory turn.Log with injected faults. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// recordsByShard holds the records that are not trimmed.
	recordsByShard map[int][][]byte
	// firstOffsetByShard holds the offset of the oldest of these records.
	firstOffsetByShard map[int]int64
	fault              Fault
	// faultByShard holds the faults of single shards, which go before fault.
	faultByShard map[int]Fault
	appends      int
	reads        int
	// readDelay is how long a read takes.
	readDelay time.Duration
	// readRate is how many bytes per second all reads get together, 0 for no limit.
	readRate int
	// readsBusyUntil is when the last read that has begun is served.
	readsBusyUntil time.Time
}

// NewLog returns an empty log without faults.
func NewLog() *Log {
	return &Log{recordsByShard: map[int][][]byte{}, firstOffsetByShard: map[int]int64{}, faultByShard: map[int]Fault{}}
}

// SetFault sets the fault of subsequent calls.
func (l *Log) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// SetShardFault sets the failure of later calls for one shard, which goes before that of SetFault.
func (l *Log) SetShardFault(shard int, f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faultByShard[shard] = f
}

// faultOf returns the failure of calls for a shard; l.mu must be held.
func (l *Log) faultOf(shard int) Fault {
	if f := l.faultByShard[shard]; f != NoFault {
		return f
	}
	return l.fault
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

// SetReadRate sets how many bytes per second all reads get together, 0 for no limit.
// Reads are served one after another, also those that nobody waits for any more.
func (l *Log) SetReadRate(bytesPerSecond int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.readRate = bytesPerSecond
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
	fault := l.faultOf(shard)
	l.mu.Unlock()
	switch fault {
	case Unavailable:
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnavailable, "log is down")
	case Silent, NoProgress:
		<-ctx.Done()
		return turn.Errorf("append", turn.KindUnknown, "no answer: %w", ctx.Err())
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
	delay, silent := l.readDelay+l.reserveReadTime(l.page(shard, offset)), l.faultOf(shard) == Silent
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
	} else {
		_ = timer.Sleep(ctx, delay)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if ctx.Err() != nil {
		return turn.Page{}, turn.Errorf("read", turn.KindUnavailable, "no answer: %w", ctx.Err())
	}
	if l.faultOf(shard) == Unavailable {
		return turn.Page{}, turn.Errorf("read", turn.KindUnavailable, "log is down")
	}
	first := l.firstOffsetByShard[shard]
	if l.fault == NoProgress && offset == 0 {
		return turn.Page{}, turn.Errorf("read", turn.KindExpired, "offset 0 was trimmed")
	}
	if l.fault == NoProgress {
		return turn.Page{FirstOffset: first, NextOffset: offset + 1}, nil
	}
	if offset < first {
		return turn.Page{FirstOffset: first}, turn.Errorf("read", turn.KindExpired, "offset %d was trimmed", offset)
	}
	return turn.Page{FirstOffset: first, NextOffset: first + int64(len(l.recordsByShard[shard])), Records: append([][]byte(nil), l.page(shard, offset)...)}, nil
}

// page returns the records of a shard from an offset on, at most maxPageBytes of them.
// l.mu must be held.
func (l *Log) page(shard int, offset int64) [][]byte {
	records := l.recordsByShard[shard][min(int64(len(l.recordsByShard[shard])), max(0, offset-l.firstOffsetByShard[shard])):]
	size := 0
	for i, record := range records {
		if size += len(record); size > maxPageBytes && i > 0 {
			return records[:i]
		}
	}
	return records
}

// reserveReadTime returns how long a read of records takes after the reads before it, and
// delays the reads after it. l.mu must be held.
func (l *Log) reserveReadTime(records [][]byte) time.Duration {
	if l.readRate == 0 || l.fault == Silent {
		return 0
	}
	size := 0
	for _, record := range records {
		size += len(record)
	}
	start := time.Now()
	if l.readsBusyUntil.After(start) {
		start = l.readsBusyUntil
	}
	l.readsBusyUntil = start.Add(time.Duration(size) * time.Second / time.Duration(l.readRate))
	return time.Until(l.readsBusyUntil)
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
	// home is the process that AppendAtHome appends records at, nil for none.
	home *turn.ShardSet
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

// AppendAtHome implements turn.Replicator. It fails unless SetHome was called.
func (r *Replicator) AppendAtHome(ctx context.Context, shard int, records [][]byte) error {
	r.mu.Lock()
	home := r.home
	r.mu.Unlock()
	if home == nil {
		return turn.Errorf("append at home", turn.KindUnavailable, "no other process is the home")
	}
	return home.AppendReplicas(ctx, shard, records)
}

// SetHome sets the process that is the home of all shards for AppendAtHome.
func (r *Replicator) SetHome(home *turn.ShardSet) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.home = home
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
