package entry

import (
	"context"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// End finishes or cancels a program.
func (e *Entry) End(ctx context.Context, caller, token string, cancel bool) (home.EndResult, error) {
	handle, err := e.open(caller, token)
	if err != nil {
		return home.EndResult{}, err
	}
	var ended home.EndResult
	err = e.atHome(ctx, handle, func(ctx context.Context, instance string, h program.Handle) error {
		var err error
		ended, err = e.config.Homes.End(ctx, instance, h, cancel)
		return err
	})
	if err != nil {
		e.metrics.refuse(err)
		return home.EndResult{}, err
	}
	e.settleChild(ctx, handle, ended.Spent())
	e.metrics.ended.Add(1)
	e.status.ended(handle.Class(), ended)
	return ended, nil
}

// View is the state of a program with the sealed handle for it.
type View struct {
	token string
	view  home.View
}

// Token returns the sealed handle for the present state.
func (v View) Token() string { return v.token }

// View returns what the home said.
func (v View) View() home.View { return v.view }

// Read returns the state of a program.
func (e *Entry) Read(ctx context.Context, caller, token string) (View, error) {
	handle, err := e.open(caller, token)
	if err != nil {
		return View{}, err
	}
	var view home.View
	err = e.atHome(ctx, handle, func(ctx context.Context, instance string, h program.Handle) error {
		var err error
		view, err = e.config.Homes.Read(ctx, instance, h)
		return err
	})
	if err != nil {
		return View{}, err
	}
	next, err := e.config.Sealer.Seal(view.Handle())
	return View{token: next, view: view}, err
}
