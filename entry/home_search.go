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
	// maxHomeAttempts bounds the attempts to send one request to the home of its program.
	maxHomeAttempts = 24
	// The wait before a retry starts at minRetryWait and doubles up to maxRetryWait.
	minRetryWait = 25 * time.Millisecond
	maxRetryWait = 400 * time.Millisecond
	// unreachableTimeout is how long a home may fail to answer one request before another
	// endpoint is asked to take over the program.
	unreachableTimeout = 1500 * time.Millisecond
)

// homeSearch is the state of sending one request to the home of a program.
type homeSearch struct {
	entry  *Entry
	handle program.Handle
	// target names the instance that the next attempt goes to.
	target string
	// retryWait is the wait before the next retry.
	retryWait time.Duration
	// unreachableSince is when an attempt at target first failed with
	// program.KindUnavailable; zero before that.
	unreachableSince time.Time
}

// openHandle returns the handle of a token. It returns an error of program.KindDenied when
// the token can't be opened or belongs to another caller.
func (e *Entry) openHandle(caller, token string) (program.Handle, error) {
	h, err := e.config.Sealer.Open(token)
	if err != nil {
		return program.Handle{}, err
	}
	if h.Caller() != caller {
		return program.Handle{}, program.Errorf("open handle", program.KindDenied, "handle belongs to another caller")
	}
	return h, nil
}

// callHome calls send with the home of a program and retries after errors that permit it,
// within maxHomeAttempts and the retry budget of the class. When the home is dead, leaving
// or unreachable, the request goes to another endpoint, which takes over the program.
func (e *Entry) callHome(ctx context.Context, h program.Handle, send func(ctx context.Context, instance string, h program.Handle) error) error {
	search := &homeSearch{entry: e, handle: h, target: h.Home(), retryWait: minRetryWait}
	e.retries.recordRequest(h.Class())
	var err error
	inDoubt := false
	for range maxHomeAttempts {
		if err = search.replaceDeadTarget(); err != nil {
			break
		}
		err = send(ctx, search.target, search.handle)
		if err == nil || !search.prepareRetry(err) || !search.allowRetry(err) {
			break
		}
		inDoubt = inDoubt || program.AsError(err).Outcome() == program.InDoubt
		if !search.waitForRetry(ctx) {
			break
		}
	}
	if inDoubt && !ownerDecided(err) {
		return withDoubt(err)
	}
	return err
}

// ownerDecided reports whether the result of an attempt is the decision of the home that
// owns the program, which also holds for earlier attempts at the same call.
func ownerDecided(err error) bool {
	if err == nil {
		return true
	}
	switch program.KindOf(err) {
	case program.KindUnavailable, program.KindLeaving, program.KindMoved:
		return false
	}
	return true
}

// withDoubt returns err with the outcome InDoubt if it is NotRun, which is true of the
// latest attempt but not of an earlier one.
func withDoubt(err error) error {
	e := program.AsError(err)
	if e.Outcome() != program.NotRun {
		return err
	}
	return program.NewError(program.ErrorConfig{
		Op: e.Op(), Kind: e.Kind(), Outcome: program.InDoubt, RetryAfter: e.RetryAfter(), Home: e.Home(), Err: e.Unwrap(),
	})
}

// replaceDeadTarget selects another target when the current one is dead or not known.
func (s *homeSearch) replaceDeadTarget() error {
	m, ok := s.entry.members.Member(s.target, time.Now())
	if ok && m.State() != membership.Dead {
		return nil
	}
	return s.replaceTarget()
}

// replaceTarget selects another endpoint that serves the model of the program's class, to
// take over the program.
func (s *homeSearch) replaceTarget() error {
	model := ""
	if c, ok := s.entry.config.Configurations.Current().Class(s.handle.Class()); ok {
		model = c.Model()
	}
	candidates := without(s.entry.candidates(model), s.target)
	chosen, ok := s.entry.chooseEndpoint(candidates, placement.Request{ExpectedService: expectedServiceTime})
	if !ok {
		return noEndpointError("find home")
	}
	s.entry.metrics.moves.Add(1)
	s.setTarget(chosen)
	return nil
}

// setTarget sets the instance that the next attempt goes to, which has not failed yet.
func (s *homeSearch) setTarget(instance string) {
	s.target, s.unreachableSince = instance, time.Time{}
}

// prepareRetry reports whether the request may be sent again after err, and selects the
// target for that. An unavailable home that advises a retry delay leaves the retry to the
// caller.
func (s *homeSearch) prepareRetry(err error) bool {
	e := program.AsError(err)
	switch e.Kind() {
	case program.KindMoved:
		if e.Home() == "" {
			return s.replaceTarget() == nil
		}
		s.handle = s.handle.WithHome(e.Home())
		s.setTarget(e.Home())
	case program.KindLeaving:
		return s.replaceTarget() == nil
	case program.KindUnavailable:
		return e.RetryAfter() == 0 && s.replaceUnreachableTarget() == nil
	default:
		return false
	}
	return true
}

// replaceUnreachableTarget selects another target when the current one has not answered for
// unreachableTimeout, whatever its state among the members.
func (s *homeSearch) replaceUnreachableTarget() error {
	now := time.Now()
	if s.unreachableSince.IsZero() {
		s.unreachableSince = now
	}
	if now.Sub(s.unreachableSince) < unreachableTimeout {
		return nil
	}
	return s.replaceTarget()
}

// allowRetry reports whether the retry budget of the class permits another attempt, and
// uses it. A retry after a request that certainly did not run, such as after a refused
// connection, is free, because it put no load on an endpoint.
func (s *homeSearch) allowRetry(err error) bool {
	e := program.AsError(err)
	if e.Kind() == program.KindUnavailable && e.Outcome() == program.NotRun {
		return true
	}
	return s.entry.retries.take(s.handle.Class())
}

// waitForRetry waits before the next attempt and returns false when ctx ended.
func (s *homeSearch) waitForRetry(ctx context.Context) bool {
	s.entry.metrics.retries.Add(1)
	s.entry.config.Logger.Debug("retrying a request to the home of a program", zap.Stringer("program", s.handle.Program()), zap.String("endpoint", s.target))
	wait := s.retryWait
	s.retryWait = min(2*wait, maxRetryWait)
	return timer.Sleep(ctx, wait) == nil
}
