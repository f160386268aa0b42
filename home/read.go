package home

import (
	"context"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

// View is the state of a program at one moment.
type View struct {
	config ViewConfig
}

// ViewConfig holds the fields of a View.
type ViewConfig struct {
	// Handle is the handle for the current state.
	Handle program.Handle
	// State tells whether the program is active, finished or canceled.
	State program.State
	// Next is the number of the next call.
	Next uint32
	// Budget, Spent and Reserved are in tokens. Reserved covers the running
	// call and the budgets of children.
	Budget   int64
	Spent    int64
	Reserved int64
	// Age is the time from the start to now, or to the end of an ended program.
	Age time.Duration
}

// NewView returns a View with the fields of c.
func NewView(c ViewConfig) View { return View{config: c} }

// Handle returns the handle for the current state.
func (v View) Handle() program.Handle { return v.config.Handle }

// State returns whether the program is active, finished or canceled.
func (v View) State() program.State { return v.config.State }

// Next returns the number of the next call.
func (v View) Next() uint32 { return v.config.Next }

// Budget returns the whole budget in tokens.
func (v View) Budget() int64 { return v.config.Budget }

// Spent returns the tokens that are used up.
func (v View) Spent() int64 { return v.config.Spent }

// Reserved returns the tokens reserved for the running call and for children.
func (v View) Reserved() int64 { return v.config.Reserved }

// Age returns the time from the start to now, or to the end of an ended
// program.
func (v View) Age() time.Duration { return v.config.Age }

// Read returns the state of a program, which it takes over when this home does
// not have it in memory. Errors are of type *program.Error.
func (h *Home) Read(ctx context.Context, handle program.Handle) (View, error) {
	r, err := h.findOrTakeOver(ctx, handle)
	if err != nil {
		return View{}, err
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if err := h.verifyOrRebaseLocked(r, handle); err != nil {
		return View{}, err
	}
	p := r.program
	budget := p.Budget()
	return NewView(ViewConfig{
		Handle: h.handleLocked(r), State: p.State(), Next: p.NextNumber(), Budget: budget.Limit(),
		Spent: budget.Spent(), Reserved: budget.Reserved(), Age: p.Latency(time.Now()),
	}), nil
}
