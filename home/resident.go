package home

import (
	"context"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// shardCount is the number of locks over which the programs in memory are
	// spread.
	shardCount = 64
)

// shard holds some of the programs in memory under one lock. It has nothing to
// do with the shards of the log.
type shard struct {
	mu        sync.Mutex
	residents map[program.ID]*residentProgram
}

// residentProgram is a program that this home owns and has in memory. The lock
// of its shard guards all fields but shard, id, class and takeover, which do
// not change once the program is in its shard.
type residentProgram struct {
	shard *shard
	id    program.ID
	class *class.Class
	// program is replaced when turns are applied from a handle.
	program *program.Program
	// takeover is the record by which this home took the program over, nil when
	// the program was started here.
	takeover *pendingRecord
	// lastRecordID is the ID of the latest record, committed or not.
	lastRecordID history.RecordID
	// lastPosition is the position of the latest committed record,
	// history.NoPosition before the first.
	lastPosition history.Position
	// pendingRecords holds the records that are not committed yet, oldest
	// first.
	pendingRecords []*pendingRecord
	// committing is set while a goroutine commits pendingRecords.
	committing bool
	// lost is set when another home has taken over the program or one of its
	// records could not be committed. Nothing may be written then.
	lost bool
	// transcript is that of the running or latest call, nil before the first.
	transcript *transcript
	// cancelCall cancels the running or latest call, nil before the first.
	cancelCall context.CancelFunc
	// changed is closed and replaced whenever the program makes progress.
	changed chan struct{}
	// lastUsedAt is when the program was last started, called, ended or taken
	// over.
	lastUsedAt time.Time
	// snapshotAt is when the latest snapshot was written, or when the program
	// started if none is known; snapshotTurn is its turn at that time.
	snapshotAt   time.Time
	snapshotTurn uint32
}

// pendingRecord is a record that waits for its commit.
type pendingRecord struct {
	record history.Record
	// done is closed when the record is committed or has failed; err is set
	// before.
	done chan struct{}
	err  error
}

// newResident returns a program in memory without a committed record.
func newResident(s *shard, p *program.Program, c *class.Class) *residentProgram {
	return &residentProgram{
		shard: s, id: p.ID(), class: c, program: p, lastPosition: history.NoPosition, changed: make(chan struct{}), lastUsedAt: time.Now(),
		snapshotAt: time.Now(), snapshotTurn: p.Turn(),
	}
}

// notifyLocked wakes the calls that wait for progress of the program.
func (r *residentProgram) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// shard returns the shard that holds a program.
func (h *Home) shard(id program.ID) *shard {
	return &h.shards[id[0]%shardCount]
}

// lookup returns a program in memory, nil when it is not there.
func (h *Home) lookup(id program.ID) *residentProgram {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.residents[id]
}

// forEach calls f for every program in memory, with the lock of its shard held.
func (h *Home) forEach(f func(r *residentProgram)) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, r := range s.residents {
			f(r)
		}
		s.mu.Unlock()
	}
}
