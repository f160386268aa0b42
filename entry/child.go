package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// startChild reserves the budget of the child at the parent and then starts the child.
// When the child certainly did not start, the reservation is released.
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
		return home.StartResult{}, err
	}
	homeReq.Parent = parent.Program()
	homeReq.ParentHome = parent.Home()
	started, err := e.placeProgram(ctx, homeReq, c)
	if err != nil && program.AsError(err).Outcome() == program.NotRun {
		reservation.Settle = true
		reservation.Tokens = 0
		e.returnBudget(ctx, reservation)
	}
	return started, err
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

// returnBudget settles a reservation. A failure is only logged: the end or failed start of
// the child stands regardless.
func (e *Entry) returnBudget(ctx context.Context, transfer home.BudgetTransfer) {
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
