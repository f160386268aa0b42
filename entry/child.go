package entry

import (
	"context"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// startChild moves budget from the parent to the child before it starts it.
func (e *Entry) startChild(ctx context.Context, r StartRequest, request home.StartRequest, c *class.Class) (home.Started, error) {
	parent, err := e.open(r.Caller, r.ParentHandle)
	if err != nil {
		return home.Started{}, err
	}
	if r.Budget <= 0 {
		return home.Started{}, program.Errorf("start child", program.KindInvalid, "a sub-agent needs a budget of its own")
	}
	child := program.NewID(r.Caller, r.Key)
	split := home.Transfer{Parent: parent, Child: child, Tokens: r.Budget}
	if err := e.transfer(ctx, split); err != nil {
		return home.Started{}, err
	}
	request.Parent = parent.Program()
	request.ParentHome = parent.Home()
	started, err := e.place(ctx, request, c)
	if err != nil && program.AsError(err).Outcome() == program.NotRun {
		split.Settle = true
		split.Tokens = 0
		e.returnBudget(ctx, split)
	}
	return started, err
}

// settleChild gives back to the parent what an ended child did not spend.
func (e *Entry) settleChild(ctx context.Context, child program.Handle, spent int64) {
	if child.Parent().IsZero() {
		return
	}
	parent := program.NewHandle(program.HandleConfig{
		Program: child.Parent(), Caller: child.Caller(), Home: child.ParentHome(), JournalPosition: -1,
	})
	e.returnBudget(ctx, home.Transfer{Parent: parent, Child: child.Program(), Tokens: spent, Settle: true})
}

func (e *Entry) returnBudget(ctx context.Context, t home.Transfer) {
	if err := e.transfer(ctx, t); err != nil {
		e.config.Logger.Warn("budget of a child did not come back", zap.Stringer("parent", t.Parent.Program()),
			zap.Stringer("child", t.Child), zap.Error(err))
	}
}

func (e *Entry) transfer(ctx context.Context, t home.Transfer) error {
	return e.atHome(ctx, t.Parent, func(ctx context.Context, instance string, h program.Handle) error {
		t.Parent = h
		_, err := e.config.Homes.Transfer(ctx, instance, t)
		return err
	})
}
