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
	shardCount = 64
)

// shard holds some of the programs under one lock.
type shard struct {
	mu        sync.Mutex
	residents map[program.ID]*resident
}

// resident is a program that lives here; the lock of its shard guards it.
type resident struct {
	shard      *shard
	program    *program.Program
	class      *class.Class
	last       history.RecordID
	position   history.Position
	outbox     []*entry
	writing    bool
	lost       bool
	transcript *transcript
	stop       context.CancelFunc
	changed    chan struct{}
	touched    time.Time
	// whole is when the program was last written whole, and wholeTurn its turn then.
	whole     time.Time
	wholeTurn uint32
}

// entry is a record on its way into the journal.
type entry struct {
	record history.Record
	done   chan struct{}
	err    error
}

func newResident(s *shard, p *program.Program, c *class.Class) *resident {
	return &resident{
		shard: s, program: p, class: c, position: history.NoPosition, changed: make(chan struct{}), touched: time.Now(),
		whole: time.Now(), wholeTurn: p.Turn(),
	}
}

// notifyLocked wakes the calls that wait for this program to move on.
func (r *resident) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (h *Home) shard(id program.ID) *shard {
	return &h.shards[id[0]%shardCount]
}

// find returns a program that lives here, or nil.
func (h *Home) find(id program.ID) *resident {
	s := h.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.residents[id]
}

// each calls f for every program, under the lock of its shard.
func (h *Home) each(f func(r *resident)) {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, r := range s.residents {
			f(r)
		}
		s.mu.Unlock()
	}
}
