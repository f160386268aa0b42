package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// maxRouteTries bounds the attempts to bring one request to a home.
	maxRouteTries = 24
	// firstRouteWait and maxRouteWait bound the wait between two attempts.
	firstRouteWait = 25 * time.Millisecond
	maxRouteWait   = 400 * time.Millisecond
	// unreachableTime is how long a home may be unreachable before another one
	// adopts the program.
	unreachableTime = 1500 * time.Millisecond
)

// route is the search for the home of a program.
type route struct {
	entry  *Entry
	handle program.Handle
	target string
	wait   time.Duration
	failed time.Time
}

// open returns the handle of a token, when it belongs to the caller.
func (e *Entry) open(caller, token string) (program.Handle, error) {
	h, err := e.config.Sealer.Open(token)
	if err != nil {
		return program.Handle{}, err
	}
	if h.Caller() != caller {
		return program.Handle{}, program.Errorf("open handle", program.KindDenied, "handle belongs to another caller")
	}
	return h, nil
}

// atHome calls f with the home of a program until it gets through: a home that
// is gone is replaced by one that adopts the program.
func (e *Entry) atHome(ctx context.Context, h program.Handle, f func(ctx context.Context, instance string, h program.Handle) error) error {
	r := &route{entry: e, handle: h, target: h.Home(), wait: firstRouteWait}
	e.retries.request(h.Class())
	var err error
	for range maxRouteTries {
		if err = r.leaveGone(); err != nil {
			return err
		}
		err = f(ctx, r.target, r.handle)
		if err == nil || !r.next(err) || !r.affordable(err) {
			return err
		}
		if !r.pause(ctx) {
			return err
		}
	}
	return err
}

// leaveGone picks another target when the present one can't answer any more.
func (r *route) leaveGone() error {
	m, ok := r.entry.members.Member(r.target, time.Now())
	if ok && m.State() != membership.Dead {
		return nil
	}
	return r.another()
}

// another picks an endpoint to adopt the program.
func (r *route) another() error {
	model := ""
	if c, ok := r.entry.config.Configurations.Current().Class(r.handle.Class()); ok {
		model = c.Model()
	}
	candidates := without(r.entry.candidates(model), r.target)
	chosen, ok := r.entry.choose(candidates, placement.Request{ExpectedService: expectedService})
	if !ok {
		return noEndpoint("find home")
	}
	r.entry.metrics.moved.Add(1)
	r.target = chosen
	return nil
}

// next decides on another attempt after an error.
func (r *route) next(err error) bool {
	e := program.AsError(err)
	switch e.Kind() {
	case program.KindMoved:
		if e.Home() == "" {
			return r.another() == nil
		}
		r.handle = r.handle.WithHome(e.Home())
		r.target = e.Home()
	case program.KindLeaving:
		return r.another() == nil
	case program.KindUnavailable:
		return e.RetryAfter() == 0 && r.giveUp() == nil
	default:
		return false
	}
	return true
}

// giveUp picks another target when the present one has not answered for some
// time, whatever is known of it.
func (r *route) giveUp() error {
	now := time.Now()
	if r.failed.IsZero() {
		r.failed = now
	}
	if now.Sub(r.failed) < unreachableTime {
		return nil
	}
	r.failed = time.Time{}
	return r.another()
}

// affordable takes another attempt from the budget of the class; one after a
// failure to connect costs no endpoint anything, and is free.
func (r *route) affordable(err error) bool {
	e := program.AsError(err)
	if e.Kind() == program.KindUnavailable && e.Outcome() == program.NotRun {
		return true
	}
	return r.entry.retries.take(r.handle.Class())
}

// pause waits before the next attempt and reports whether ctx is still alive.
func (r *route) pause(ctx context.Context) bool {
	r.entry.metrics.retries.Add(1)
	r.entry.config.Logger.Debug("request goes to a home again", zap.Stringer("program", r.handle.Program()), zap.String("endpoint", r.target))
	wait := r.wait
	r.wait = min(2*wait, maxRouteWait)
	return timer.Sleep(ctx, wait) == nil
}
