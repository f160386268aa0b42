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
	// Caller is the caller that owns the program.
	Caller string
	// Key is the idempotency key the caller chose.
	Key string
	// Class is the class of work.
	Class string
	// Budget is what the program may spend, in tokens; 0 takes the class's.
	Budget int64
	// Parent is the program this one is a sub-agent of, or zero.
	Parent program.ID
	// ParentHome is the instance that holds the parent.
	ParentHome string
}

// Started is a program that lives here.
type Started struct {
	handle program.Handle
	budget int64
	next   uint32
}

// NewStarted returns a Started; next is the number of the next call.
func NewStarted(h program.Handle, budget int64, next uint32) Started {
	return Started{handle: h, budget: budget, next: next}
}

// Handle returns the handle for the first call.
func (s Started) Handle() program.Handle { return s.handle }

// Budget returns the budget of the program, in tokens.
func (s Started) Budget() int64 { return s.budget }

// Next returns the number of the next call.
func (s Started) Next() uint32 { return s.next }

// Start creates a program, or finds the one with the same caller and key.
func (h *Home) Start(ctx context.Context, req StartRequest) (Started, error) {
	const op = "start program"
	id := program.NewID(req.Caller, req.Key)
	if r := h.find(id); r != nil {
		return h.started(r), nil
	}
	if h.Leaving() {
		return Started{}, program.Errorf(op, program.KindLeaving, "endpoint %s takes no new programs", h.config.Name)
	}
	c, ok := h.config.Configurations.Current().Class(req.Class)
	if !ok {
		return Started{}, program.Errorf(op, program.KindInvalid, "class %q is not published", req.Class)
	}
	budget := req.Budget
	if budget == 0 {
		budget = c.Budget()
	}
	if budget < 0 || budget > c.Budget() {
		return Started{}, program.Errorf(op, program.KindInvalid, "budget of %d tokens, class %q allows 1 to %d", budget, req.Class, c.Budget())
	}
	p := program.New(program.Config{
		Caller: req.Caller, Key: req.Key, Class: req.Class, BudgetTokens: budget, MaxTurns: c.MaxTurns(),
		MaxRepeats: c.MaxRepeats(), Parent: req.Parent, ParentHome: req.ParentHome, StartedAt: time.Now(),
	})
	return h.settle(ctx, p, req)
}

// settle makes a new program resident and waits for its first record.
func (h *Home) settle(ctx context.Context, p *program.Program, req StartRequest) (Started, error) {
	s := h.shard(p.ID())
	s.mu.Lock()
	if r, ok := s.residents[p.ID()]; ok {
		s.mu.Unlock()
		return h.started(r), nil
	}
	c := h.classOf(req.Class)
	if err := h.admit(p, c); err != nil {
		s.mu.Unlock()
		return Started{}, err
	}
	r := newResident(s, p, c)
	s.residents[p.ID()] = r
	e := h.writeLocked(r, p.Epoch(), history.Started(p.Config()))
	s.mu.Unlock()
	err := e.wait(ctx, startCommitWait)
	if err != nil && history.KindOf(err) == history.KindSuperseded {
		return h.startedElsewhere(ctx, p.ID())
	}
	if err != nil {
		h.config.Log.Warn("program starts before its record is in the journal", zap.Stringer("program", p.ID()), zap.Error(err))
	}
	h.metrics.started.Add(1)
	return h.started(r), nil
}

// admit asks whether a new program can meet its target here; a sub-agent is
// part of a program that was admitted before.
func (h *Home) admit(p *program.Program, c *class.Class) error {
	if !p.Parent().IsZero() {
		h.scheduler.register(p, c)
		return nil
	}
	d := h.scheduler.admit(p.ID(), c)
	if d.Admitted() {
		return nil
	}
	return program.NewError(program.ErrorConfig{
		Op: "admit program", Kind: program.KindOverloaded, Outcome: program.NotRun, RetryAfter: d.RetryAfter(),
		Err: fmt.Errorf("endpoint %s can't finish a program of class %q within its target now", h.config.Name, c.Name()),
	})
}

// startedElsewhere finds the program that another home started with the key.
func (h *Home) startedElsewhere(ctx context.Context, id program.ID) (Started, error) {
	loaded, err := h.config.Journal.Load(ctx, id)
	if err != nil {
		return Started{}, program.NewError(program.ErrorConfig{
			Op: "find program", Kind: program.KindUnavailable, Outcome: program.NotRun, Err: err,
		})
	}
	p := loaded.Program()
	budget := p.Budget()
	handle := p.Handle(loaded.Home(), 0, int64(loaded.Position()))
	return NewStarted(handle, budget.Limit(), p.NextNumber()), nil
}

func (h *Home) started(r *resident) Started {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	budget := r.program.Budget()
	return NewStarted(h.handleLocked(r), budget.Limit(), r.program.NextNumber())
}

// handleLocked returns the handle for the present state; it carries what the
// journal has not taken yet.
func (h *Home) handleLocked(r *resident) program.Handle {
	handle := r.program.Handle(h.config.Name, h.config.Incarnation, int64(r.position))
	if len(r.outbox) == 0 || h.config.Codec == nil {
		return handle
	}
	records := make([]history.Record, 0, len(r.outbox))
	for _, e := range r.outbox {
		records = append(records, e.record)
	}
	data, err := h.config.Codec.Encode(records)
	if err != nil {
		h.config.Log.Error("records can't be carried", zap.Stringer("program", r.program.ID()), zap.Error(err))
		return handle
	}
	h.metrics.carried.Add(1)
	return handle.WithCarriedRecords(string(data))
}
