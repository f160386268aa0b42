package home

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// maxServiceAttempts bounds the attempts at an idempotent service call.
	maxServiceAttempts = 3
	// maxQueryAttempts bounds the queries to a ledger after the answer to an
	// order was lost.
	maxQueryAttempts = 5
	// queryInterval is the time between two queries to a ledger.
	queryInterval = 200 * time.Millisecond
)

// runIdempotent runs a service call that may be sent more than once. It does
// not retry when the service refused the call or is overloaded.
func (x *execution) runIdempotent(ctx context.Context) (CallResult, error) {
	if err := x.checkService(); err != nil {
		x.abort(0)
		return CallResult{}, err
	}
	call := x.reservation.Call()
	var lastErr error
	for range maxServiceAttempts {
		instance, _, err := x.home.config.Services.Locate(call.Service())
		if err != nil {
			x.abort(0)
			return CallResult{}, unavailableError("locate service", program.NotRun, err)
		}
		reply, err := x.home.config.Services.Run(ctx, instance, x.serviceRequest(0, 0))
		if err == nil {
			a := x.newServiceAnswer(reply, instance, false)
			return x.complete(ctx, a, history.Turn(nil, a))
		}
		lastErr = err
		if kind := order.KindOf(err); ctx.Err() != nil || kind == order.KindRefused || kind == order.KindOverloaded {
			break
		}
	}
	x.abort(0)
	return CallResult{}, serviceError(lastErr)
}

// runOrder runs a call that must run at most once: it writes the claim to the
// journal, sends the order and settles it by the outcome.
func (x *execution) runOrder(ctx context.Context) (CallResult, error) {
	if err := x.checkService(); err != nil {
		x.abort(0)
		return CallResult{}, err
	}
	instance, incarnation, err := x.home.config.Services.Locate(x.reservation.Call().Service())
	if err != nil {
		return CallResult{}, x.refuseOrder(ctx, unavailableError("locate service", program.NotRun, err))
	}
	claim, err := x.claimOrder(ctx, instance, incarnation)
	if err != nil {
		return CallResult{}, x.refuseOrder(ctx, err)
	}
	reply, err := x.home.config.Services.Run(ctx, instance, x.serviceRequest(claim.Incarnation(), claim.Attempt()))
	return x.settleOrder(ctx, claim, reply, err, true)
}

// claimOrder writes the claim of an order and waits until it is in the journal.
// Without the claim another home could not know that the order may have run. It
// returns an error of program.KindEnded when the program has ended since the
// call began.
func (x *execution) claimOrder(ctx context.Context, instance string, incarnation uint64) (*program.Claim, error) {
	r := x.resident
	call := x.reservation.Call()
	r.shard.mu.Lock()
	if state := r.program.State(); state != program.Active {
		r.shard.mu.Unlock()
		return nil, program.Errorf("claim order", program.KindEnded, "program is %s", state)
	}
	claim := program.NewClaim(program.ClaimConfig{
		Number: call.Number(), Fingerprint: call.Fingerprint(), Instance: instance,
		Incarnation: incarnation, Attempt: r.program.ClaimAttempts() + 1,
	})
	r.program.SetClaim(claim)
	pending := x.home.appendRecordLocked(r, r.program.Epoch(), history.Claimed(claim))
	r.shard.mu.Unlock()
	err := pending.wait(ctx, claimCommitTimeout)
	if err == nil {
		return claim, nil
	}
	if history.KindOf(err) == history.KindSuperseded {
		return nil, movedError("claim order", r.id)
	}
	return nil, unavailableError("claim order", program.NotRun, err)
}

// refuseOrder ends an order that was not sent or did not run and returns the
// error for the caller. The outcome is NotRun only when the journal proves that
// this home still owned the program: a home that was replaced can't know
// whether the order ran at its successor. The wait for that proof goes on when
// the call is canceled.
func (x *execution) refuseOrder(ctx context.Context, err error) error {
	pending, held := x.releaseClaim()
	refusal := program.AsError(err)
	if !held {
		return movedError(refusal.Op(), x.resident.id)
	}
	if pending.wait(context.WithoutCancel(ctx), refusalCommitTimeout) == nil {
		return refusal
	}
	return program.NewError(program.ErrorConfig{
		Op: refusal.Op(), Kind: program.KindUnavailable, Outcome: program.InDoubt, RetryAfter: unavailableRetryDelay, Err: refusal.Unwrap(),
	})
}

// releaseClaim drops the claim of an order that was not sent or did not run,
// and appends the record of it. held is false when another home owns the
// program; then no record is written.
func (x *execution) releaseClaim() (pending *pendingRecord, held bool) {
	r := x.resident
	call := x.reservation.Call()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.program.DropClaim()
	r.program.Abort(call.Number(), 0)
	if r.lost {
		return nil, false
	}
	a := program.NewAnswer(program.AnswerConfig{Call: call})
	return x.home.appendRecordLocked(r, r.program.Epoch(), history.Settled(program.NotRun, a)), true
}

// recoverOrder finds out whether an order that an earlier execution claimed has
// run, and sends it when it has not.
func (x *execution) recoverOrder(ctx context.Context) (CallResult, error) {
	x.resident.shard.mu.Lock()
	claim := x.resident.program.PendingClaim()
	x.resident.shard.mu.Unlock()
	reply, err := x.queryLedger(ctx, claim)
	if order.KindOf(err) == order.KindNotRun && err != nil {
		x.reopenOrder()
		return x.runOrder(ctx)
	}
	return x.settleOrder(ctx, claim, reply, err, false)
}

// reopenOrder records that a claimed order did not run and keeps the
// reservation, so that the order can be claimed again.
func (x *execution) reopenOrder() {
	r := x.resident
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.program.DropClaim()
	a := program.NewAnswer(program.AnswerConfig{Call: x.reservation.Call()})
	x.home.appendRecordLocked(r, r.program.Epoch(), history.Settled(program.NotRun, a))
}

// settleOrder ends an order by the reply or error of its service. When the
// outcome is unknown and mayQuery is set, it queries the ledger once and
// settles by that answer.
func (x *execution) settleOrder(ctx context.Context, claim *program.Claim, reply order.Reply, err error, mayQuery bool) (CallResult, error) {
	if err == nil {
		a := x.newServiceAnswer(reply, claim.Instance(), false)
		return x.complete(ctx, a, history.Settled(program.Ran, a))
	}
	switch order.KindOf(err) {
	case order.KindNotRun, order.KindRefused, order.KindFenced, order.KindOverloaded:
		return CallResult{}, x.refuseOrder(ctx, serviceError(err))
	case order.KindIncarnationMismatch:
		return x.settleForgottenOrder(ctx, claim, err, mayQuery)
	}
	if mayQuery {
		reply, err := x.queryLedger(ctx, claim)
		return x.settleOrder(ctx, claim, reply, err, false)
	}
	return x.settleUnknownOutcome(ctx, claim, err)
}

// settleForgottenOrder ends an order whose ledger can no longer tell whether it
// ran, for example after a restart. When the error answers the first send, the
// ledger had restarted before and the order did not run; otherwise it is
// recorded as in doubt.
func (x *execution) settleForgottenOrder(ctx context.Context, claim *program.Claim, err error, firstSend bool) (CallResult, error) {
	if firstSend {
		return CallResult{}, x.refuseOrder(ctx, unavailableError("run order", program.NotRun, err))
	}
	a := x.newServiceAnswer(order.Reply{}, claim.Instance(), true)
	if _, err := x.complete(ctx, a, history.Settled(program.InDoubt, a)); err != nil {
		return CallResult{}, err
	}
	x.home.metrics.inDoubt.Add(1)
	x.home.config.Logger.Error("order in doubt", zap.Stringer("program", x.resident.id), zap.Uint32("call", claim.Number()), zap.Error(err))
	return CallResult{}, orderInDoubtError(claim.Number())
}

// settleUnknownOutcome ends the call but keeps the claim, so that a repeat of
// the call queries the ledger again. When the ledger itself declared the order
// in doubt, that is final.
func (x *execution) settleUnknownOutcome(ctx context.Context, claim *program.Claim, err error) (CallResult, error) {
	if isFinalDoubt(err) {
		return x.settleForgottenOrder(ctx, claim, err, false)
	}
	x.abort(0)
	return CallResult{}, unavailableError("run order", program.InDoubt, err)
}

// queryLedger queries the ledger named by the claim until it knows the outcome,
// at most maxQueryAttempts times.
func (x *execution) queryLedger(ctx context.Context, claim *program.Claim) (order.Reply, error) {
	var reply order.Reply
	var err error
	for range maxQueryAttempts {
		reply, err = x.home.config.Services.Query(ctx, claim.Instance(), x.serviceRequest(claim.Incarnation(), claim.Attempt()))
		if err == nil || order.KindOf(err) != order.KindInDoubt || isFinalDoubt(err) {
			return reply, err
		}
		if timer.Sleep(ctx, queryInterval) != nil {
			return reply, err
		}
	}
	return reply, err
}

// serviceRequest returns the request for the service; incarnation and attempt
// are 0 for an idempotent call.
func (x *execution) serviceRequest(incarnation uint64, attempt uint32) order.Request {
	call := x.reservation.Call()
	r := x.resident
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	return order.NewRequest(order.RequestConfig{
		Key: order.NewKey(r.id, call.Number(), attempt), Epoch: r.program.Epoch(),
		Incarnation: incarnation, Idempotent: call.Type() == program.IdempotentCall,
		Rank: r.class.Rank(), Deadline: r.program.StartedAt().Add(r.class.Target()),
		Service: call.Service(), Method: call.Method(), Payload: call.Payload(),
	})
}

// newServiceAnswer returns the answer to a service call; inDoubt is set for an
// order whose outcome stays unknown.
func (x *execution) newServiceAnswer(reply order.Reply, instance string, inDoubt bool) program.Answer {
	return program.NewAnswer(program.AnswerConfig{
		Call: x.reservation.Call(), Payload: reply.Payload(), Timing: x.timing(), Endpoint: instance, InDoubt: inDoubt,
	})
}

// checkService returns an error of program.KindInvalid when the configuration
// does not publish the method for this kind of call.
func (x *execution) checkService() error {
	const op = "check service"
	call := x.reservation.Call()
	service, ok := x.home.config.Configurations.Current().Service(call.Service())
	if !ok {
		return program.Errorf(op, program.KindInvalid, "service %q is not published", call.Service())
	}
	if call.Type() == program.OrderCall && !service.IsOrder(call.Method()) {
		return program.Errorf(op, program.KindInvalid, "method %q of service %q is not published as an order", call.Method(), call.Service())
	}
	if call.Type() == program.IdempotentCall && !service.IsIdempotent(call.Method()) {
		return program.Errorf(op, program.KindInvalid, "method %q of service %q is not published as idempotent", call.Method(), call.Service())
	}
	return nil
}
