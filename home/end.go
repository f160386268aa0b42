package home

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// releaseTimeout bounds the request to the engine to free the cache of a
	// program.
	releaseTimeout = 5 * time.Second
)

// EndResult describes an ended program.
type EndResult struct {
	config EndResultConfig
}

// EndResultConfig holds the fields of an EndResult.
type EndResultConfig struct {
	// Handle is the handle of the ended program.
	Handle program.Handle
	// State is Finished or Canceled.
	State program.State
	// Spent is the number of tokens that the program used.
	Spent int64
	// Latency is the time from the start to the end of the program.
	Latency time.Duration
	// TargetMet is set when the program finished within the target of its
	// class; it is never set for a canceled one.
	TargetMet bool
}

// NewEndResult returns an EndResult with the fields of c.
func NewEndResult(c EndResultConfig) EndResult { return EndResult{config: c} }

// Handle returns the handle of the ended program.
func (e EndResult) Handle() program.Handle { return e.config.Handle }

// State returns Finished or Canceled.
func (e EndResult) State() program.State { return e.config.State }

// Spent returns the number of tokens that the program used.
func (e EndResult) Spent() int64 { return e.config.Spent }

// Latency returns the time from the start to the end of the program.
func (e EndResult) Latency() time.Duration { return e.config.Latency }

// TargetMet reports whether the program finished within the target of its
// class.
func (e EndResult) TargetMet() bool { return e.config.TargetMet }

// End finishes or cancels a program, stops its running call and makes the
// engine free its cache. A repeat returns the same result. It returns an error
// of program.KindEnded when the program has ended in the other way, and of
// program.KindConflict when a program is finished while a call is running.
func (h *Home) End(ctx context.Context, handle program.Handle, cancel bool) (EndResult, error) {
	r, err := h.findOrTakeOver(ctx, handle)
	if err != nil {
		return EndResult{}, err
	}
	state := program.Finished
	if cancel {
		state = program.Canceled
	}
	pending, err := h.recordEnd(r, handle, state)
	if err != nil {
		return EndResult{}, err
	}
	if pending != nil {
		h.releaseCache(handle.Program())
		if err := pending.wait(ctx, turnCommitTimeout); err != nil {
			h.config.Logger.Warn("program ends before its last record is committed", zap.Stringer("program", handle.Program()), zap.Error(err))
		}
	}
	return h.endResult(r), nil
}

// recordEnd ends a program and appends the record of it. It returns nil without
// an error when the program has already ended in the same state.
func (h *Home) recordEnd(r *residentProgram, handle program.Handle, state program.State) (*pendingRecord, error) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.lost {
		return nil, movedError("end program", handle.Program())
	}
	if err := h.verifyOrRebaseLocked(r, handle); err != nil {
		return nil, err
	}
	if r.program.State() == state {
		return nil, nil
	}
	now := time.Now()
	if err := r.program.End(state, now); err != nil {
		return nil, err
	}
	if r.cancelCall != nil {
		r.cancelCall()
	}
	r.lastUsedAt = now
	r.notifyLocked()
	h.countEnd(r, state)
	return h.appendRecordLocked(r, r.program.Epoch(), history.Finished(state == program.Canceled)), nil
}

// countEnd updates the scheduler's estimates and the metrics after the end of a
// program.
func (h *Home) countEnd(r *residentProgram, state program.State) {
	h.scheduler.endProgram(r.id, state == program.Finished)
	if state == program.Canceled {
		h.metrics.canceled.Add(1)
		return
	}
	h.metrics.finished.Add(1)
}

// endResult returns the result of an ended program.
func (h *Home) endResult(r *residentProgram) EndResult {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	budget := r.program.Budget()
	latency := r.program.Latency(time.Now())
	return NewEndResult(EndResultConfig{
		Handle: h.handleLocked(r), State: r.program.State(), Spent: budget.Spent(), Latency: latency,
		TargetMet: r.program.State() == program.Finished && latency <= r.class.Target(),
	})
}
