package home

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// run carries out one reserved call.
type run struct {
	home        *Home
	resident    *resident
	reservation *program.Reservation
	transcript  *transcript
	arrived     time.Time
	queued      time.Duration
	// resumed counts the tokens generated before the present part of the call.
	resumed int64
	// alone is set when the call ran while an engine crashed before.
	alone bool
}

// do runs the call and tells all who follow it how it ended.
func (u *run) do(ctx context.Context, decision program.Decision) {
	result, err := u.work(ctx, decision)
	u.report(err)
	u.transcript.finish(result, err)
	u.resident.shard.mu.Lock()
	u.resident.notifyLocked()
	u.resident.shard.mu.Unlock()
}

func (u *run) work(ctx context.Context, decision program.Decision) (Result, error) {
	if decision == program.DecisionRecover {
		return u.recover(ctx)
	}
	switch u.reservation.Call().Type() {
	case program.ModelCall:
		return u.model(ctx)
	case program.IdempotentCall:
		return u.idempotent(ctx)
	default:
		return u.order(ctx)
	}
}

func (u *run) report(err error) {
	call := u.reservation.Call()
	fields := []zap.Field{
		zap.Stringer("program", u.resident.program.ID()), zap.Uint32("call", call.Number()),
		zap.Uint64("epoch", u.resident.program.Epoch()), zap.Stringer("work", call.Type()), zap.String("endpoint", u.home.config.Name),
		zap.Duration("queue", u.queued), zap.Duration("total", time.Since(u.arrived)),
	}
	if err != nil {
		u.home.metrics.refuse(err)
		u.home.config.Log.Warn("call failed", append(fields, zap.Error(err))...)
		return
	}
	u.home.metrics.ran(call.Type(), u.queued, time.Since(u.arrived))
	u.home.config.Log.Debug("call answered", fields...)
}

// complete books an answer, writes its record and waits briefly for it.
func (u *run) complete(ctx context.Context, a program.Answer, body history.Body) (Result, error) {
	r := u.resident
	r.shard.mu.Lock()
	if r.lost {
		r.shard.mu.Unlock()
		return Result{}, moved("complete call", r.program.ID())
	}
	if err := r.program.Complete(a); err != nil {
		r.shard.mu.Unlock()
		return Result{}, err
	}
	e := u.home.writeLocked(r, r.program.Epoch(), body)
	r.shard.mu.Unlock()
	err := e.wait(ctx, turnCommitWait)
	if err != nil && history.KindOf(err) == history.KindSuperseded {
		return Result{}, moved("complete call", r.program.ID())
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.lost {
		// Neither the journal nor the handle would hold the answer.
		return Result{}, moved("complete call", r.program.ID())
	}
	budget := r.program.Budget()
	return NewResult(u.home.handleLocked(r), a, budget.Left(), false), nil
}

// abort frees the number of the call and charges used tokens.
func (u *run) abort(used int64) {
	u.resident.shard.mu.Lock()
	defer u.resident.shard.mu.Unlock()
	u.resident.program.Abort(u.reservation.Call().Number(), used)
}

func (u *run) timing() program.Timing {
	t := program.Timing{Queue: u.queued, Total: time.Since(u.arrived)}
	if first := u.transcript.firstToken(); !first.IsZero() {
		t.FirstToken = first.Sub(u.arrived)
	}
	return t
}
