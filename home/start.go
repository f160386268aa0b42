package home

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// StartRequest describes a program to start.
type StartRequest struct {
	// Caller names the caller that starts the program.
	Caller string
	// Key is the idempotency key that the caller chose: Caller and Key identify
	// the program.
	Key string
	// Class is the name of the program's class.
	Class string
	// Budget is what the program may spend in tokens; 0 means the budget of the
	// class, which is also the maximum.
	Budget int64
	// Parent is the program that starts this one as a sub-agent, zero for none.
	Parent program.ID
	// ParentHome is the instance that owns the parent.
	ParentHome string
}

// StartResult describes a started program, or the existing one with the same
// caller and key.
type StartResult struct {
	handle program.Handle
	budget int64
	next   uint32
}

// NewStartResult returns a StartResult; budget is in tokens and next is the
// number of the next call.
func NewStartResult(h program.Handle, budget int64, next uint32) StartResult {
	return StartResult{handle: h, budget: budget, next: next}
}

// Handle returns the handle to pass with the next call.
func (s StartResult) Handle() program.Handle { return s.handle }

// Budget returns the whole budget of the program in tokens.
func (s StartResult) Budget() int64 { return s.budget }

// Next returns the number of the next call, 1 for a new program.
func (s StartResult) Next() uint32 { return s.next }

// Start creates a program, or returns the existing one with the same caller and
// key, even when another home owns it.
//
// Errors are of type *program.Error: KindLeaving when the home accepts no new
// programs, KindInvalid for an unknown class or a budget out of range,
// KindOverloaded when the program would miss its target here, and
// KindUnavailable when the program of another home can't be read.
func (h *Home) Start(ctx context.Context, req StartRequest) (StartResult, error) {
	const op = "start program"
	id := program.NewID(req.Caller, req.Key)
	if r := h.lookup(id); r != nil {
		return h.startResult(r), nil
	}
	if h.Leaving() {
		return StartResult{}, program.Errorf(op, program.KindLeaving, "endpoint %s is leaving and accepts no new programs", h.config.Name)
	}
	c, ok := h.config.Configurations.Current().Class(req.Class)
	if !ok {
		return StartResult{}, program.Errorf(op, program.KindInvalid, "class %q is not published", req.Class)
	}
	budget := req.Budget
	if budget == 0 {
		budget = c.Budget()
	}
	if budget < 0 || budget > c.Budget() {
		return StartResult{}, program.Errorf(op, program.KindInvalid, "budget of %d tokens is out of range, class %q allows 1 to %d", budget, req.Class, c.Budget())
	}
	p := program.New(program.Config{
		Caller: req.Caller, Key: req.Key, Class: req.Class, BudgetTokens: budget, MaxTurns: c.MaxTurns(),
		MaxRepeats: c.MaxRepeats(), Parent: req.Parent, ParentHome: req.ParentHome, StartedAt: time.Now(),
	})
	return h.createProgram(ctx, p, req)
}

// createProgram puts a new program into memory and waits up to
// startCommitTimeout for its first record. It proceeds without the commit,
// since the handle carries the record.
func (h *Home) createProgram(ctx context.Context, p *program.Program, req StartRequest) (StartResult, error) {
	s := h.shard(p.ID())
	s.mu.Lock()
	if r, ok := s.residents[p.ID()]; ok {
		s.mu.Unlock()
		return h.startResult(r), nil
	}
	c := h.classOrFallback(req.Class)
	if err := h.admitProgram(p, c); err != nil {
		s.mu.Unlock()
		return StartResult{}, err
	}
	r := newResident(s, p, c)
	s.residents[p.ID()] = r
	pending := h.appendRecordLocked(r, p.Epoch(), history.Started(p.Config()))
	s.mu.Unlock()
	err := pending.wait(ctx, startCommitTimeout)
	if err != nil && history.KindOf(err) == history.KindSuperseded {
		return h.findStarted(ctx, p.ID())
	}
	if err != nil {
		h.config.Logger.Warn("program starts before its first record is committed", zap.Stringer("program", p.ID()), zap.Error(err))
	}
	h.metrics.started.Add(1)
	return h.startResult(r), nil
}

// admitProgram admits a new program or returns an error of
// program.KindOverloaded. A sub-agent is always admitted, because it is part of
// a program that was admitted before.
func (h *Home) admitProgram(p *program.Program, c *class.Class) error {
	if !p.Parent().IsZero() {
		h.scheduler.registerProgram(p, c)
		return nil
	}
	decision := h.scheduler.admitProgram(p.ID(), c)
	if decision.Admitted() {
		return nil
	}
	return program.NewError(program.ErrorConfig{
		Op: "admit program", Kind: program.KindOverloaded, Outcome: program.NotRun, RetryAfter: decision.RetryAfter(),
		Err: fmt.Errorf("endpoint %s is too busy to finish a program of class %q within its target", h.config.Name, c.Name()),
	})
}

// findStarted returns the program that another home has started with the same
// caller and key.
func (h *Home) findStarted(ctx context.Context, id program.ID) (StartResult, error) {
	loaded, err := h.config.Journal.Load(ctx, id)
	if err != nil {
		return StartResult{}, program.NewError(program.ErrorConfig{
			Op: "find started program", Kind: program.KindUnavailable, Outcome: program.NotRun, Err: err,
		})
	}
	p := loaded.Program()
	budget := p.Budget()
	handle := p.Handle(loaded.Home(), 0, int64(loaded.Position()))
	return NewStartResult(handle, budget.Limit(), p.NextNumber()), nil
}

// startResult returns the current state of a program as the result of a start.
func (h *Home) startResult(r *residentProgram) StartResult {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	budget := r.program.Budget()
	return NewStartResult(h.handleLocked(r), budget.Limit(), r.program.NextNumber())
}

// handleLocked returns the handle for the current state of a program. It
// carries the records that are not in the journal yet.
func (h *Home) handleLocked(r *residentProgram) program.Handle {
	handle := r.program.Handle(h.config.Name, h.config.Incarnation, int64(r.lastPosition))
	if len(r.pendingRecords) == 0 || h.config.Codec == nil {
		return handle
	}
	records := make([]history.Record, 0, len(r.pendingRecords))
	for _, pending := range r.pendingRecords {
		records = append(records, pending.record)
	}
	data, err := h.config.Codec.Encode(records)
	if err != nil {
		h.config.Logger.Error("can't encode the uncommitted records for the handle", zap.Stringer("program", r.id), zap.Error(err))
		return handle
	}
	h.metrics.carried.Add(1)
	return handle.WithCarriedRecords(string(data))
}
