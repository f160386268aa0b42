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
	// maxServiceTries bounds the attempts at an idempotent service call.
	maxServiceTries = 3
	// maxQueryTries bounds the questions to a ledger after a lost answer.
	maxQueryTries = 5
	// queryInterval is the wait between two questions to a ledger.
	queryInterval = 200 * time.Millisecond
)

// idempotent runs a service call that may be repeated.
func (u *run) idempotent(ctx context.Context) (Result, error) {
	if err := u.checkService(); err != nil {
		u.abort(0)
		return Result{}, err
	}
	call := u.reservation.Call()
	var last error
	for range maxServiceTries {
		instance, _, err := u.home.config.Services.Locate(call.Service())
		if err != nil {
			u.abort(0)
			return Result{}, unavailable("locate service", program.NotRun, err)
		}
		reply, err := u.home.config.Services.Run(ctx, instance, u.request(0, 0))
		if err == nil {
			a := u.serviceAnswer(reply, instance, false)
			return u.complete(ctx, a, history.Turn(nil, a))
		}
		last = err
		if k := order.KindOf(err); ctx.Err() != nil || k == order.KindRefused || k == order.KindOverloaded {
			break
		}
	}
	u.abort(0)
	return Result{}, serviceError(last)
}

// order claims a call that must run at most once, sends it and settles it.
func (u *run) order(ctx context.Context) (Result, error) {
	if err := u.checkService(); err != nil {
		u.abort(0)
		return Result{}, err
	}
	instance, incarnation, err := u.home.config.Services.Locate(u.reservation.Call().Service())
	if err != nil {
		return Result{}, u.refuse(ctx, unavailable("locate service", program.NotRun, err))
	}
	claim, err := u.claim(ctx, instance, incarnation)
	if err != nil {
		return Result{}, u.refuse(ctx, err)
	}
	reply, err := u.home.config.Services.Run(ctx, instance, u.request(claim.Incarnation(), claim.Attempt()))
	return u.settle(ctx, claim, reply, err, true)
}

// claim writes the claim of an order and waits until it stands in the journal.
func (u *run) claim(ctx context.Context, instance string, incarnation uint64) (*program.Claim, error) {
	r := u.resident
	call := u.reservation.Call()
	r.shard.mu.Lock()
	claim := program.NewClaim(program.ClaimConfig{
		Number: call.Number(), Fingerprint: call.Fingerprint(), Instance: instance,
		Incarnation: incarnation, Attempt: r.program.ClaimAttempts() + 1,
	})
	r.program.SetClaim(claim)
	e := u.home.writeLocked(r, r.program.Epoch(), history.Claimed(claim))
	r.shard.mu.Unlock()
	err := e.wait(ctx, claimCommitWait)
	if err == nil {
		return claim, nil
	}
	if history.KindOf(err) == history.KindSuperseded {
		return nil, moved("claim order", r.program.ID())
	}
	return nil, unavailable("claim order", program.NotRun, err)
}

// refuse frees the number of an order that was not sent, or did not run, and
// returns the refusal: as not run only when the journal shows that this home
// still held the program, since a home that was replaced can't know.
func (u *run) refuse(ctx context.Context, err error) error {
	e, held := u.unclaim()
	refusal := program.AsError(err)
	if !held {
		return moved(refusal.Op(), u.resident.program.ID())
	}
	if e.wait(ctx, refusalCommitWait) == nil {
		return refusal
	}
	return program.NewError(program.ErrorConfig{
		Op: refusal.Op(), Kind: program.KindUnavailable, Outcome: program.InDoubt, RetryAfter: unavailableRetry, Err: refusal.Unwrap(),
	})
}

// unclaim records that an order was never sent, or did not run; held is false
// when another home holds the program.
func (u *run) unclaim() (e *entry, held bool) {
	r := u.resident
	call := u.reservation.Call()
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.program.DropClaim()
	r.program.Abort(call.Number(), 0)
	if r.lost {
		return nil, false
	}
	a := program.NewAnswer(program.AnswerConfig{Call: call})
	return u.home.writeLocked(r, r.program.Epoch(), history.Settled(program.NotRun, a)), true
}

// recover finds out what became of an order that an earlier run claimed.
func (u *run) recover(ctx context.Context) (Result, error) {
	u.resident.shard.mu.Lock()
	claim := u.resident.program.PendingClaim()
	u.resident.shard.mu.Unlock()
	reply, err := u.query(ctx, claim)
	if order.KindOf(err) == order.KindNotRun && err != nil {
		u.reopen()
		return u.order(ctx)
	}
	return u.settle(ctx, claim, reply, err, false)
}

// reopen records that a claimed order did not run and keeps the reservation.
func (u *run) reopen() {
	r := u.resident
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.program.DropClaim()
	a := program.NewAnswer(program.AnswerConfig{Call: u.reservation.Call()})
	u.home.writeLocked(r, r.program.Epoch(), history.Settled(program.NotRun, a))
}

// settle ends an order by what is known of it; a lost answer is asked for
// again, once.
func (u *run) settle(ctx context.Context, claim *program.Claim, reply order.Reply, err error, mayQuery bool) (Result, error) {
	if err == nil {
		a := u.serviceAnswer(reply, claim.Instance(), false)
		return u.complete(ctx, a, history.Settled(program.Ran, a))
	}
	switch order.KindOf(err) {
	case order.KindNotRun, order.KindRefused, order.KindFenced, order.KindOverloaded:
		return Result{}, u.refuse(ctx, serviceError(err))
	case order.KindIncarnation:
		return u.settleIncarnation(ctx, claim, err, mayQuery)
	}
	if mayQuery {
		reply, err := u.query(ctx, claim)
		return u.settle(ctx, claim, reply, err, false)
	}
	return u.settleUnknown(ctx, claim, err)
}

// settleIncarnation ends an order whose ledger has restarted: it did not run
// when this home was about to send it for the first time, else it is in doubt.
func (u *run) settleIncarnation(ctx context.Context, claim *program.Claim, err error, first bool) (Result, error) {
	if first {
		return Result{}, u.refuse(ctx, unavailable("run order", program.NotRun, err))
	}
	a := u.serviceAnswer(order.Reply{}, claim.Instance(), true)
	if _, err := u.complete(ctx, a, history.Settled(program.InDoubt, a)); err != nil {
		return Result{}, err
	}
	u.home.metrics.inDoubt.Add(1)
	u.home.config.Log.Error("order in doubt", zap.Stringer("program", u.resident.program.ID()), zap.Uint32("call", claim.Number()), zap.Error(err))
	return Result{}, inDoubt(claim.Number())
}

// settleUnknown leaves the claim open: a repeat of the call asks again. An
// answer that the ledger itself gives as in doubt is final.
func (u *run) settleUnknown(ctx context.Context, claim *program.Claim, err error) (Result, error) {
	if isFinal(err) {
		return u.settleIncarnation(ctx, claim, err, false)
	}
	u.abort(0)
	return Result{}, unavailable("run order", program.InDoubt, err)
}

// query asks the ledger that was claimed until it answers, within bounds.
func (u *run) query(ctx context.Context, claim *program.Claim) (order.Reply, error) {
	var reply order.Reply
	var err error
	for range maxQueryTries {
		reply, err = u.home.config.Services.Query(ctx, claim.Instance(), u.request(claim.Incarnation(), claim.Attempt()))
		if err == nil || order.KindOf(err) != order.KindInDoubt || isFinal(err) {
			return reply, err
		}
		if timer.Sleep(ctx, queryInterval) != nil {
			return reply, err
		}
	}
	return reply, err
}

func (u *run) request(incarnation uint64, attempt uint32) order.Request {
	call := u.reservation.Call()
	r := u.resident
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	return order.NewRequest(order.RequestConfig{
		Key: order.NewKey(r.program.ID(), call.Number(), attempt), Epoch: r.program.Epoch(),
		Incarnation: incarnation, Idempotent: call.Type() == program.IdempotentCall,
		Rank: r.class.Rank(), Deadline: r.program.StartedAt().Add(r.class.Target()),
		Service: call.Service(), Method: call.Method(), Payload: call.Payload(),
	})
}

func (u *run) serviceAnswer(reply order.Reply, instance string, doubt bool) program.Answer {
	return program.NewAnswer(program.AnswerConfig{
		Call: u.reservation.Call(), Payload: reply.Payload(), Timing: u.timing(), Endpoint: instance, InDoubt: doubt,
	})
}

// checkService refuses a call that does not match what operators published.
func (u *run) checkService() error {
	const op = "check service"
	call := u.reservation.Call()
	s, ok := u.home.config.Configurations.Current().Service(call.Service())
	if !ok {
		return program.Errorf(op, program.KindInvalid, "service %q is not published", call.Service())
	}
	if call.Type() == program.OrderCall && !s.IsOrder(call.Method()) {
		return program.Errorf(op, program.KindInvalid, "method %q of service %q is not published as an order", call.Method(), call.Service())
	}
	if call.Type() == program.IdempotentCall && !s.IsIdempotent(call.Method()) {
		return program.Errorf(op, program.KindInvalid, "method %q of service %q is not published as idempotent", call.Method(), call.Service())
	}
	return nil
}
