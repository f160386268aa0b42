package entry

import (
	"context"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// maxStartTries bounds the endpoints asked to take a new program.
	maxStartTries = 2
	// expectedService stands for the service of a program that is not yet known.
	expectedService = 5 * time.Second
	// noEndpointRetry is the wait advised when no endpoint takes programs.
	noEndpointRetry = time.Second
)

// StartRequest describes a program to start.
type StartRequest struct {
	// Caller is the caller that owns the program.
	Caller string
	// Class is the class of work.
	Class string
	// Key is the idempotency key the caller chose, a UUIDv7.
	Key string
	// Budget is what the program may spend, in tokens; 0 takes the class's.
	Budget int64
	// ParentHandle is the handle of the parent, for a sub-agent.
	ParentHandle string
}

// Started is a program that lives at an endpoint.
type Started struct {
	token   string
	started home.StartResult
}

// Token returns the sealed handle.
func (s Started) Token() string { return s.token }

// Started returns what the home said.
func (s Started) Started() home.StartResult { return s.started }

// Start creates a program at the best endpoint, or finds the one with its key.
func (e *Entry) Start(ctx context.Context, r StartRequest) (Started, error) {
	started, err := e.start(ctx, r)
	e.status.started(r.Class, err)
	if err != nil {
		e.metrics.refuse(err)
		return Started{}, err
	}
	e.metrics.started.Add(1)
	token, err := e.config.Sealer.Seal(started.Handle())
	return Started{token: token, started: started}, err
}

func (e *Entry) start(ctx context.Context, r StartRequest) (home.StartResult, error) {
	c, err := e.checkStart(r)
	if err != nil {
		return home.StartResult{}, err
	}
	request := home.StartRequest{Caller: r.Caller, Key: r.Key, Class: r.Class, Budget: r.Budget}
	if r.ParentHandle == "" {
		return e.place(ctx, request, c)
	}
	return e.startChild(ctx, r, request, c)
}

func (e *Entry) checkStart(r StartRequest) (*class.Class, error) {
	const op = "check start"
	if e.leaving.Load() {
		return nil, program.Errorf(op, program.KindLeaving, "entry %s takes no new programs", e.config.Name)
	}
	key, err := uuid.Parse(r.Key)
	if err != nil || key.Version() != 7 {
		return nil, program.Errorf(op, program.KindInvalid, "key %q is not a UUIDv7", r.Key)
	}
	c, ok := e.config.Configurations.Current().Class(r.Class)
	if !ok {
		return nil, program.Errorf(op, program.KindInvalid, "class %q is not published", r.Class)
	}
	return c, nil
}

// place asks the best endpoint to take a program, and one more when it refuses.
func (e *Entry) place(ctx context.Context, r home.StartRequest, c *class.Class) (home.StartResult, error) {
	candidates := e.candidates(c.Model())
	var last error
	for range maxStartTries {
		chosen, ok := e.choose(candidates, placement.Work{Rank: c.Rank(), Service: expectedService})
		if !ok {
			break
		}
		started, err := e.config.Homes.Start(ctx, chosen, r)
		if err == nil {
			return started, nil
		}
		e.config.Logger.Info("endpoint did not take a program", zap.String("endpoint", chosen), zap.Error(err))
		last = err
		if !mayStartElsewhere(err) {
			return home.StartResult{}, err
		}
		candidates = without(candidates, chosen)
	}
	if last != nil {
		return home.StartResult{}, last
	}
	return home.StartResult{}, noEndpoint("place program")
}

func noEndpoint(op string) error {
	return program.NewError(program.ErrorConfig{
		Op: op, Kind: program.KindUnavailable, Outcome: program.NotRun, RetryAfter: noEndpointRetry,
		Err: program.Errorf(op, program.KindUnavailable, "no endpoint takes programs"),
	})
}

// mayStartElsewhere reports whether another endpoint may take the program; a
// start that is in doubt may be repeated, since its key names it.
func mayStartElsewhere(err error) bool {
	switch program.KindOf(err) {
	case program.KindOverloaded, program.KindLeaving, program.KindUnavailable:
		return true
	}
	return false
}

// candidates returns the names of the endpoints that may take a program for a
// model: the live ones, or those not heard of when none is known to live.
func (e *Entry) candidates(model string) []string {
	var sure, unsure []string
	conf := e.config.Configurations.Current()
	now := time.Now()
	for _, name := range e.watch() {
		m, ok := e.members.Member(name, now)
		if !ok {
			continue
		}
		i := m.Instance()
		if i.Role() != fleet.EngineRole || m.Leaving() || conf.Draining(i.Name()) {
			continue
		}
		if model != "" && i.Service() != "" && i.Service() != model {
			continue
		}
		switch m.State() {
		case membership.Alive:
			sure = append(sure, i.Name())
		case membership.Unknown, membership.Suspect:
			unsure = append(unsure, i.Name())
		}
	}
	if len(sure) > 0 {
		return sure
	}
	return unsure
}

// choose returns the best endpoint and books the work there.
func (e *Entry) choose(names []string, w placement.Work) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name, ok := e.loads.Choose(names, w, time.Now(), e.random)
	if ok {
		e.loads.Placed(name, w.Rank, w.Service)
	}
	return name, ok
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
