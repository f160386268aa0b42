package home

import (
	"context"
	"sort"
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
)

// View is the state of a program at one moment.
type View struct {
	config ViewConfig
}

// ViewConfig describes a View.
type ViewConfig struct {
	// Handle stands for the present state.
	Handle program.Handle
	// State tells how far the program is.
	State program.State
	// Next is the number of the next call.
	Next uint32
	// Budget, Spent and Reserved are in tokens.
	Budget   int64
	Spent    int64
	Reserved int64
	// Age is the time since the start, up to the end.
	Age time.Duration
}

// NewView returns a View.
func NewView(c ViewConfig) View { return View{config: c} }

// Handle returns the handle for the present state.
func (v View) Handle() program.Handle { return v.config.Handle }

// State returns how far the program is.
func (v View) State() program.State { return v.config.State }

// Next returns the number of the next call.
func (v View) Next() uint32 { return v.config.Next }

// Budget returns the whole budget, in tokens.
func (v View) Budget() int64 { return v.config.Budget }

// Spent returns the tokens used up.
func (v View) Spent() int64 { return v.config.Spent }

// Reserved returns the tokens set aside.
func (v View) Reserved() int64 { return v.config.Reserved }

// Age returns the time since the start, up to the end.
func (v View) Age() time.Duration { return v.config.Age }

// Read returns the state of a program.
func (h *Home) Read(ctx context.Context, handle program.Handle) (View, error) {
	r, err := h.reside(ctx, handle)
	if err != nil {
		return View{}, err
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if err := h.verifyLocked(r, handle); err != nil {
		return View{}, err
	}
	p := r.program
	budget := p.Budget()
	return NewView(ViewConfig{
		Handle: h.handleLocked(r), State: p.State(), Next: p.NextNumber(), Budget: budget.Limit(),
		Spent: budget.Spent(), Reserved: budget.Reserved(), Age: p.Latency(time.Now()),
	}), nil
}

// Transfer reserves budget of a program for a child, and returns it.
func (h *Home) Transfer(ctx context.Context, t Transfer) (int64, error) {
	r, err := h.reside(ctx, t.Parent)
	if err != nil {
		return 0, err
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.lost {
		return 0, moved("transfer budget", t.Parent.Program())
	}
	return h.transferLocked(r, t)
}

// Load reports how busy the home is.
func (h *Home) Load() placement.Load {
	c := h.scheduler.load()
	c.Incarnation = h.config.Incarnation
	c.Leaving = h.Leaving()
	c.Programs = h.count()
	c.PrefillRate = h.prefill.rate()
	return placement.NewLoad(c)
}

func (h *Home) count() int64 {
	var n int64
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		n += int64(len(s.residents))
		s.mu.Unlock()
	}
	return n
}

// Dump is the state of a home, for people.
type Dump struct {
	// Name is the name of the instance.
	Name string `json:"name"`
	// Incarnation is the life of the process.
	Incarnation uint64 `json:"incarnation"`
	// Leaving is set when the home takes no new programs.
	Leaving bool `json:"leaving"`
	// Running and Limit count the calls at the engine.
	Running int64 `json:"running"`
	Limit   int64 `json:"limit"`
	// Waiting counts the waiting calls by rank.
	Waiting map[string]int64 `json:"waiting"`
	// Programs lists the programs that live here.
	Programs []ProgramDump `json:"programs"`
}

// ProgramDump is the state of one program, without its content.
type ProgramDump struct {
	// ID names the program.
	ID string `json:"id"`
	// Class is the class of work.
	Class string `json:"class"`
	// State tells how far the program is.
	State string `json:"state"`
	// Epoch counts the adoptions.
	Epoch uint64 `json:"epoch"`
	// Turn counts the calls answered.
	Turn uint32 `json:"turn"`
	// Running is set while a call is under way.
	Running bool `json:"running"`
	// Claimed is set while the outcome of an order is not known.
	Claimed bool `json:"claimed"`
	// Budget, Spent and Reserved are in tokens.
	Budget   int64 `json:"budget_tokens"`
	Spent    int64 `json:"spent_tokens"`
	Reserved int64 `json:"reserved_tokens"`
	// Unwritten counts the records not yet in the journal.
	Unwritten int `json:"unwritten_records"`
	// AgeSeconds is the time since the start.
	AgeSeconds float64 `json:"age_seconds"`
}

// Dump returns the state of the home.
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
	h.each(func(r *resident) { d.Programs = append(d.Programs, dumpProgram(r, now)) })
	sort.Slice(d.Programs, func(i, j int) bool { return d.Programs[i].ID < d.Programs[j].ID })
	return d
}

func dumpProgram(r *resident, now time.Time) ProgramDump {
	p := r.program
	budget := p.Budget()
	return ProgramDump{
		ID: p.ID().String(), Class: p.Class(), State: p.State().String(), Epoch: p.Epoch(), Turn: p.Turn(),
		Running: p.HasRunningCall(), Claimed: p.PendingClaim() != nil, Budget: budget.Limit(), Spent: budget.Spent(),
		Reserved: budget.Reserved(), Unwritten: len(r.outbox), AgeSeconds: p.Latency(now).Seconds(),
	}
}
