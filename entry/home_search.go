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
	// moved is set when target was replaced since the latest attempt, to take over the
	// program.
	moved bool
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
	for attempt := range maxHomeAttempts {
		if err = search.replaceDeadTarget(); err != nil {
			break
		}
		search.countAttempt(attempt)
		err = send(ctx, search.target, search.handle)
		if err == nil || attempt == maxHomeAttempts-1 || !search.prepareRetry(ctx, err) {
			break
		}
		inDoubt = inDoubt || program.AsError(err).Outcome() == program.InDoubt
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
	s.setTarget(chosen)
	s.moved = true
	return nil
}

// countAttempt counts an attempt that is about to be sent.
func (s *homeSearch) countAttempt(attempt int) {
	if attempt > 0 {
		s.entry.metrics.retries.Add(1)
	}
	if s.moved {
		s.entry.metrics.moves.Add(1)
	}
	s.moved = false
}

// setTarget sets the instance that the next attempt goes to, which has not failed yet.
func (s *homeSearch) setTarget(instance string) {
	s.target, s.unreachableSince = instance, time.Time{}
}

// prepareRetry reports whether the request is to be sent again after err. It uses the retry
// budget of the class for that, selects the target and waits.
func (s *homeSearch) prepareRetry(ctx context.Context, err error) bool {
	if !mayRetry(err) || !s.takeRetry(err) {
		return false
	}
	if s.selectTarget(err) && s.waitForRetry(ctx) {
		return true
	}
	s.returnRetry(err)
	return false
}

// mayRetry reports whether a request may be sent again after err. An unavailable home that
// advises a retry delay leaves the retry to the caller.
func mayRetry(err error) bool {
	e := program.AsError(err)
	switch e.Kind() {
	case program.KindMoved, program.KindLeaving:
		return true
	case program.KindUnavailable:
		return e.RetryAfter() == 0
	}
	return false
}

// selectTarget selects the target of another attempt after err, and returns false when
// there is none.
func (s *homeSearch) selectTarget(err error) bool {
	e := program.AsError(err)
	switch {
	case e.Kind() == program.KindUnavailable:
		return s.replaceUnreachableTarget() == nil
	case e.Kind() == program.KindMoved && e.Home() != "":
		s.handle = s.handle.WithHome(e.Home())
		s.setTarget(e.Home())
		return true
	}
	return s.replaceTarget() == nil
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

// freeRetry reports whether a retry after err needs no budget. A request that certainly did
// not run, such as after a refused connection, put no load on an endpoint.
func freeRetry(err error) bool {
	e := program.AsError(err)
	return e.Kind() == program.KindUnavailable && e.Outcome() == program.NotRun
}

// takeRetry reports whether the retry budget of the class permits another attempt after err,
// and uses it.
func (s *homeSearch) takeRetry(err error) bool {
	return freeRetry(err) || s.entry.retries.take(s.handle.Class())
}

// returnRetry gives back what takeRetry has used for an attempt that is not sent.
func (s *homeSearch) returnRetry(err error) {
	if !freeRetry(err) {
		s.entry.retries.giveBack(s.handle.Class())
	}
}

// waitForRetry waits before the next attempt and returns false when ctx ended.
func (s *homeSearch) waitForRetry(ctx context.Context) bool {
	s.entry.config.Logger.Debug("retrying a request to the home of a program", zap.Stringer("program", s.handle.Program()), zap.String("endpoint", s.target))
	wait := s.retryWait
	s.retryWait = min(2*wait, maxRetryWait)
	return timer.Sleep(ctx, wait) == nil
}
