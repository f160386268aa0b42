package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// returnBudgetTimeout bounds the return of a child's budget to its parent, which does not
// end with the request of the caller.
const returnBudgetTimeout = 5 * time.Second

// startChild reserves the budget of the child at the parent and then starts the child.
// When the child certainly did not start, the reservation is released, also one that may
// have been made as the caller left. Without a caller that left, a reservation in doubt
// stays, as the caller will repeat the request.
func (e *Entry) startChild(ctx context.Context, req StartRequest, homeReq home.StartRequest, c *class.Class) (home.StartResult, error) {
	parent, err := e.openHandle(req.Caller, req.ParentHandle)
	if err != nil {
		return home.StartResult{}, err
	}
	if req.Budget <= 0 {
		return home.StartResult{}, program.Errorf("start child", program.KindInvalid, "a child program needs a budget of at least 1 token")
	}
	child := program.NewID(req.Caller, req.Key)
	reservation := home.BudgetTransfer{Parent: parent, Child: child, Tokens: req.Budget}
	if err := e.transferBudget(ctx, reservation); err != nil {
		if ctx.Err() != nil && program.AsError(err).Outcome() != program.NotRun {
			e.releaseBudget(ctx, reservation)
		}
		return home.StartResult{}, err
	}
	homeReq.Parent = parent.Program()
	homeReq.ParentHome = parent.Home()
	started, err := e.placeProgram(ctx, homeReq, c)
	if err != nil && program.AsError(err).Outcome() == program.NotRun {
		e.releaseBudget(ctx, reservation)
	}
	return started, err
}

// releaseBudget ends the reservation of a child that did not start.
func (e *Entry) releaseBudget(ctx context.Context, reservation home.BudgetTransfer) {
	reservation.Settle = true
	reservation.Tokens = 0
	e.returnBudget(ctx, reservation)
}

// settleChildBudget ends the reservation of an ended child at its parent, which gets back
// what the child did not spend. It does nothing for a program without a parent.
func (e *Entry) settleChildBudget(ctx context.Context, child program.Handle, spentTokens int64) {
	if child.Parent().IsZero() {
		return
	}
	parent := program.NewHandle(program.HandleConfig{
		Program: child.Parent(), Caller: child.Caller(), Home: child.ParentHome(), JournalPosition: -1,
	})
	e.returnBudget(ctx, home.BudgetTransfer{Parent: parent, Child: child.Program(), Tokens: spentTokens, Settle: true})
}

// returnBudget settles a reservation, whether or not the caller still waits. A failure is
// only logged, because the end or failed start of the child is final anyway.
func (e *Entry) returnBudget(ctx context.Context, transfer home.BudgetTransfer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), returnBudgetTimeout)
	defer cancel()
	if err := e.transferBudget(ctx, transfer); err != nil {
		e.config.Logger.Warn("returning the budget of a child to its parent failed", zap.Stringer("parent", transfer.Parent.Program()),
			zap.Stringer("child", transfer.Child), zap.Error(err))
	}
}

func (e *Entry) transferBudget(ctx context.Context, transfer home.BudgetTransfer) error {
	return e.callHome(ctx, transfer.Parent, func(ctx context.Context, instance string, h program.Handle) error {
		transfer.Parent = h
		_, err := e.config.HomeClient.Transfer(ctx, instance, transfer)
		return err
	})
}
