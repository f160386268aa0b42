package home

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// releaseTimeout bounds the order to an engine to forget a program.
	releaseTimeout = 5 * time.Second
)

// Ended is what a program came to.
type Ended struct {
	config EndedConfig
}

// EndedConfig describes an Ended.
type EndedConfig struct {
	// Handle names the ended program.
	Handle program.Handle
	// State tells how it ended.
	State program.State
	// Spent counts the tokens it used.
	Spent int64
	// Latency is how long it took.
	Latency time.Duration
	// TargetMet is set when it finished within the target of its class.
	TargetMet bool
}

// NewEnded returns an Ended.
func NewEnded(c EndedConfig) Ended { return Ended{config: c} }

// Handle returns the handle of the ended program.
func (e Ended) Handle() program.Handle { return e.config.Handle }

// State returns how the program ended.
func (e Ended) State() program.State { return e.config.State }

// Spent returns the tokens the program used.
func (e Ended) Spent() int64 { return e.config.Spent }

// Latency returns how long the program took.
func (e Ended) Latency() time.Duration { return e.config.Latency }

// TargetMet reports whether the program finished within its target.
func (e Ended) TargetMet() bool { return e.config.TargetMet }

// End finishes or cancels a program and frees what the engine holds for it; a
// repeat returns the same.
func (h *Home) End(ctx context.Context, handle program.Handle, cancel bool) (Ended, error) {
	r, err := h.reside(ctx, handle)
	if err != nil {
		return Ended{}, err
	}
	state := program.Finished
	if cancel {
		state = program.Canceled
	}
	e, err := h.end(r, handle, state)
	if err != nil {
		return Ended{}, err
	}
	if e != nil {
		h.release(handle.Program())
		if err := e.wait(ctx, turnCommitWait); err != nil {
			h.config.Log.Warn("end of program is not yet in the journal", zap.Stringer("program", handle.Program()), zap.Error(err))
		}
	}
	return h.ended(r), nil
}

// end books the end of a program; it returns no record for a repeat.
func (h *Home) end(r *resident, handle program.Handle, state program.State) (*entry, error) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.lost {
		return nil, moved("end program", handle.Program())
	}
	if err := h.verifyLocked(r, handle); err != nil {
		return nil, err
	}
	if r.program.State() == state {
		return nil, nil
	}
	now := time.Now()
	if err := r.program.End(state, now); err != nil {
		return nil, err
	}
	if r.stop != nil {
		r.stop()
	}
	r.touched = now
	r.notifyLocked()
	h.account(r, state)
	return h.writeLocked(r, r.program.Epoch(), history.Finished(state == program.Canceled)), nil
}

// account counts the end of a program and learns from it.
func (h *Home) account(r *resident, state program.State) {
	h.scheduler.end(r.program.ID(), state == program.Finished)
	if state == program.Canceled {
		h.metrics.canceled.Add(1)
		return
	}
	h.metrics.finished.Add(1)
}

func (h *Home) ended(r *resident) Ended {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	budget := r.program.Budget()
	latency := r.program.Latency(time.Now())
	return NewEnded(EndedConfig{
		Handle: h.handleLocked(r), State: r.program.State(), Spent: budget.Spent(), Latency: latency,
		TargetMet: r.program.State() == program.Finished && latency <= r.class.Target(),
	})
}
