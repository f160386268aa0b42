package home

import (
	"sort"
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/placement"
)

// Load returns the load of the home, which entries use to place programs.
func (h *Home) Load() placement.Load {
	c := h.scheduler.load()
	c.Incarnation = h.config.Incarnation
	c.Leaving = h.Leaving()
	c.Programs = h.countPrograms()
	c.PrefillRate = h.prefill.rate()
	return placement.NewLoad(c)
}

// countPrograms returns the number of programs in memory.
func (h *Home) countPrograms() int64 {
	var n int64
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		n += int64(len(s.residents))
		s.mu.Unlock()
	}
	return n
}

// Dump is the state of a home in a form for operators.
type Dump struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// Incarnation distinguishes the process from earlier ones of the same name.
	Incarnation uint64 `json:"incarnation"`
	// Leaving is set when the home accepts no new work.
	Leaving bool `json:"leaving"`
	// Running is the number of calls at the engine, Limit the most allowed at
	// once.
	Running int64 `json:"running"`
	Limit   int64 `json:"limit"`
	// Waiting holds the number of calls that wait for a slot, by name of their
	// rank.
	Waiting map[string]int64 `json:"waiting"`
	// Programs lists the programs in memory, ordered by ID.
	Programs []ProgramDump `json:"programs"`
}

// ProgramDump is the state of one program without its content.
type ProgramDump struct {
	// ID is the program ID in hexadecimal.
	ID string `json:"id"`
	// Class is the name of the program's class.
	Class string `json:"class"`
	// State is "active", "finished" or "canceled".
	State string `json:"state"`
	// Epoch is the number of takeovers.
	Epoch uint64 `json:"epoch"`
	// Turn is the number of answered calls.
	Turn uint32 `json:"turn"`
	// Running is set while a call is running.
	Running bool `json:"running"`
	// Claimed is set while the outcome of a claimed order is unknown.
	Claimed bool `json:"claimed"`
	// Budget, Spent and Reserved are in tokens.
	Budget   int64 `json:"budget_tokens"`
	Spent    int64 `json:"spent_tokens"`
	Reserved int64 `json:"reserved_tokens"`
	// Unwritten is the number of records that are not in the journal yet.
	Unwritten int `json:"unwritten_records"`
	// AgeSeconds is the time from the start to now, or to the end of an ended
	// program.
	AgeSeconds float64 `json:"age_seconds"`
}

// Dump returns the state of the home and of all programs in memory.
func (h *Home) Dump() Dump {
	load := h.scheduler.load()
	d := Dump{
		Name: h.config.Name, Incarnation: h.config.Incarnation, Leaving: h.Leaving(),
		Running: load.Running, Limit: load.Limit, Waiting: map[string]int64{},
	}
	for r := range class.Ranks {
		d.Waiting[r.String()] = load.Waiting[r]
	}
	now := time.Now()
	h.forEach(func(r *residentProgram) { d.Programs = append(d.Programs, dumpProgram(r, now)) })
	sort.Slice(d.Programs, func(i, j int) bool { return d.Programs[i].ID < d.Programs[j].ID })
	return d
}

// dumpProgram returns the state of a program; the lock of its shard must be
// held.
func dumpProgram(r *residentProgram, now time.Time) ProgramDump {
	p := r.program
	budget := p.Budget()
	return ProgramDump{
		ID: p.ID().String(), Class: p.Class(), State: p.State().String(), Epoch: p.Epoch(), Turn: p.Turn(),
		Running: p.HasRunningCall(), Claimed: p.PendingClaim() != nil, Budget: budget.Limit(), Spent: budget.Spent(),
		Reserved: budget.Reserved(), Unwritten: len(r.pendingRecords), AgeSeconds: p.Latency(now).Seconds(),
	}
}
