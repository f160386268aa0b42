package entry

import (
	"context"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// End finishes a program, or cancels it when cancel is set, and returns the unspent budget
// of a child to its parent. Errors are of type *program.Error.
func (e *Entry) End(ctx context.Context, caller, token string, cancel bool) (home.EndResult, error) {
	handle, err := e.openHandle(caller, token)
	if err != nil {
		return home.EndResult{}, err
	}
	var ended home.EndResult
	err = e.callHome(ctx, handle, func(ctx context.Context, instance string, h program.Handle) error {
		var err error
		ended, err = e.config.HomeClient.End(ctx, instance, h, cancel)
		return err
	})
	if err != nil {
		e.metrics.countRefusal(err)
		return home.EndResult{}, err
	}
	e.settleChildBudget(ctx, handle, ended.Spent())
	e.metrics.ended.Add(1)
	e.status.recordEnd(handle.Class(), ended)
	return ended, nil
}

// View is the state of a program with a sealed handle for its next call.
type View struct {
	token    string
	homeView home.View
}

// Token returns the sealed handle for the state that was read.
func (v View) Token() string { return v.token }

// HomeView returns the state as the home returned it.
func (v View) HomeView() home.View { return v.homeView }

// Read returns the state of a program. Errors are of type *program.Error, except a failure
// to seal the new handle.
func (e *Entry) Read(ctx context.Context, caller, token string) (View, error) {
	handle, err := e.openHandle(caller, token)
	if err != nil {
		return View{}, err
	}
	var view home.View
	err = e.callHome(ctx, handle, func(ctx context.Context, instance string, h program.Handle) error {
		var err error
		view, err = e.config.HomeClient.Read(ctx, instance, h)
		return err
	})
	if err != nil {
		return View{}, err
	}
	next, err := e.config.Sealer.Seal(view.Handle())
	return View{token: next, homeView: view}, err
}
