package home

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// execution runs one reserved call, from its decision to its result.
type execution struct {
	home        *Home
	resident    *residentProgram
	reservation *program.Reservation
	transcript  *transcript
	// arrivedAt is when the call reached the home.
	arrivedAt time.Time
	// queueTime is how long the call has waited for a slot of the engine.
	queueTime time.Duration
	// resumedTokens is the number of tokens of the answer that were generated
	// before the current request to the engine.
	resumedTokens int64
	// exclusive is set when an engine crashed during the same request before,
	// so that no other call may run beside this one.
	exclusive bool
}

// run executes the call, publishes its result to all followers and wakes the
// calls that wait for it.
func (x *execution) run(ctx context.Context, decision program.Decision) {
	result, err := x.runByKind(ctx, decision)
	x.recordOutcome(err)
	x.transcript.finish(result, err)
	x.resident.shard.mu.Lock()
	x.resident.notifyLocked()
	x.resident.shard.mu.Unlock()
}

// runByKind executes the call according to its decision and type.
func (x *execution) runByKind(ctx context.Context, decision program.Decision) (CallResult, error) {
	if decision == program.DecisionRecover {
		return x.recoverOrder(ctx)
	}
	switch x.reservation.Call().Type() {
	case program.ModelCall:
		return x.runModel(ctx)
	case program.IdempotentCall:
		return x.runIdempotent(ctx)
	default:
		return x.runOrder(ctx)
	}
}

// recordOutcome logs how the call ended and updates the metrics.
func (x *execution) recordOutcome(err error) {
	call := x.reservation.Call()
	x.resident.shard.mu.Lock()
	epoch := x.resident.program.Epoch()
	x.resident.shard.mu.Unlock()
	fields := []zap.Field{
		zap.Stringer("program", x.resident.id), zap.Uint32("call", call.Number()),
		zap.Uint64("epoch", epoch), zap.Stringer("work", call.Type()), zap.String("endpoint", x.home.config.Name),
		zap.Duration("queue", x.queueTime), zap.Duration("total", time.Since(x.arrivedAt)),
	}
	if err != nil {
		x.home.metrics.countRefusal(err)
		x.home.config.Logger.Warn("call failed", append(fields, zap.Error(err))...)
		return
	}
	x.home.metrics.countCall(call.Type(), x.queueTime, time.Since(x.arrivedAt))
	x.home.config.Logger.Debug("call answered", fields...)
}

// complete applies an answer to the program, appends its record and waits up to
// turnCommitTimeout for the commit. It returns an error of program.KindMoved
// when another home owns the program by then.
func (x *execution) complete(ctx context.Context, a program.Answer, body history.Body) (CallResult, error) {
	r := x.resident
	r.shard.mu.Lock()
	if r.lost {
		r.shard.mu.Unlock()
		return CallResult{}, movedError("complete call", r.id)
	}
	if err := r.program.Complete(a); err != nil {
		r.shard.mu.Unlock()
		return CallResult{}, err
	}
	pending := x.home.appendRecordLocked(r, r.program.Epoch(), body)
	r.shard.mu.Unlock()
	err := pending.wait(ctx, turnCommitTimeout)
	if err != nil && history.KindOf(err) == history.KindSuperseded {
		return CallResult{}, movedError("complete call", r.id)
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.lost {
		// Neither the journal nor the handle would hold the answer.
		return CallResult{}, movedError("complete call", r.id)
	}
	budget := r.program.Budget()
	return NewCallResult(x.home.handleLocked(r), a, budget.Left(), false), nil
}

// abort ends the call without an answer, so that its number can be used again,
// and charges usedTokens to the budget.
func (x *execution) abort(usedTokens int64) {
	x.resident.shard.mu.Lock()
	defer x.resident.shard.mu.Unlock()
	x.resident.program.Abort(x.reservation.Call().Number(), usedTokens)
}

// timing returns the durations of the call up to now.
func (x *execution) timing() program.Timing {
	t := program.Timing{Queue: x.queueTime, Total: time.Since(x.arrivedAt)}
	if first := x.transcript.firstTokenAt(); !first.IsZero() {
		t.FirstToken = first.Sub(x.arrivedAt)
	}
	return t
}
