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
	// maxStartAttempts bounds the endpoints that are asked to start one program.
	maxStartAttempts = 2
	// expectedServiceTime is the estimate of the service time of a program, which is not
	// known when the program is placed.
	expectedServiceTime = 5 * time.Second
	// noEndpointRetryAfter is the retry delay advised to callers when no endpoint accepts
	// programs.
	noEndpointRetryAfter = time.Second
)

// StartRequest describes a program to start.
type StartRequest struct {
	// Caller is the caller that owns the program.
	Caller string
	// Class names the class of the program, which must be in the configuration in force.
	Class string
	// Key is the idempotency key that the caller chose, a UUIDv7.
	Key string
	// Budget is the number of tokens that the program may spend; 0 means the budget of the
	// class. A child needs its own budget.
	Budget int64
	// ParentHandle is the sealed handle of the parent, empty for a program without one.
	ParentHandle string
}

// Started is a started program with the sealed handle for its first call.
type Started struct {
	token      string
	homeResult home.StartResult
}

// Token returns the sealed handle that the caller passes with its first call.
func (s Started) Token() string { return s.token }

// HomeResult returns the started program as its home returned it.
func (s Started) HomeResult() home.StartResult { return s.homeResult }

// Start creates a program on an endpoint chosen by load. If that endpoint already has the
// program of this caller and key, that one is returned. Errors are of type
// *program.Error, except a failure to seal the handle: KindLeaving when the entry is
// leaving, KindInvalid for a wrong request, KindUnavailable when no endpoint accepts
// programs, and those of HomeClient.Start.
func (e *Entry) Start(ctx context.Context, req StartRequest) (Started, error) {
	started, err := e.start(ctx, req)
	e.status.recordStart(req.Class, err)
	if err != nil {
		e.metrics.countRefusal(err)
		return Started{}, err
	}
	e.metrics.started.Add(1)
	token, err := e.config.Sealer.Seal(started.Handle())
	return Started{token: token, homeResult: started}, err
}

func (e *Entry) start(ctx context.Context, req StartRequest) (home.StartResult, error) {
	c, err := e.validateStart(req)
	if err != nil {
		return home.StartResult{}, err
	}
	homeReq := home.StartRequest{Caller: req.Caller, Key: req.Key, Class: req.Class, Budget: req.Budget}
	if req.ParentHandle == "" {
		return e.placeProgram(ctx, homeReq, c)
	}
	return e.startChild(ctx, req, homeReq, c)
}

// validateStart checks a request and returns its class.
func (e *Entry) validateStart(req StartRequest) (*class.Class, error) {
	const op = "check start request"
	if e.leaving.Load() {
		return nil, program.Errorf(op, program.KindLeaving, "entry %s is leaving and accepts no new programs", e.config.Name)
	}
	key, err := uuid.Parse(req.Key)
	if err != nil || key.Version() != 7 {
		return nil, program.Errorf(op, program.KindInvalid, "key %q is not a UUIDv7", req.Key)
	}
	c, ok := e.config.Configurations.Current().Class(req.Class)
	if !ok {
		return nil, program.Errorf(op, program.KindInvalid, "class %q does not exist in the configuration in force", req.Class)
	}
	return c, nil
}

// placeProgram starts a program on an endpoint chosen by load, and on another one when
// that refuses, up to maxStartAttempts. The outcome of an error is NotRun only if it is so
// at each of them.
func (e *Entry) placeProgram(ctx context.Context, req home.StartRequest, c *class.Class) (home.StartResult, error) {
	candidates := e.candidates(c.Model())
	var lastErr error
	inDoubt := false
	for range maxStartAttempts {
		chosen, ok := e.chooseEndpoint(candidates, placement.Request{Rank: c.Rank(), ExpectedService: expectedServiceTime})
		if !ok {
			break
		}
		started, err := e.config.HomeClient.Start(ctx, chosen, req)
		if err == nil {
			return started, nil
		}
		e.config.Logger.Info("starting a program on an endpoint failed", zap.String("endpoint", chosen), zap.Error(err))
		lastErr = err
		inDoubt = inDoubt || program.AsError(err).Outcome() == program.InDoubt
		if !mayStartElsewhere(err) {
			break
		}
		candidates = without(candidates, chosen)
	}
	if lastErr == nil {
		return home.StartResult{}, noEndpointError("place program")
	}
	if inDoubt {
		return home.StartResult{}, withDoubt(lastErr)
	}
	return home.StartResult{}, lastErr
}

func noEndpointError(op string) error {
	return program.NewError(program.ErrorConfig{
		Op: op, Kind: program.KindUnavailable, Outcome: program.NotRun, RetryAfter: noEndpointRetryAfter,
		Err: program.Errorf(op, program.KindUnavailable, "no endpoint accepts programs"),
	})
}

// mayStartElsewhere reports whether another endpoint may start the program after err. This
// includes starts that are in doubt, because the key identifies the program.
func mayStartElsewhere(err error) bool {
	switch program.KindOf(err) {
	case program.KindOverloaded, program.KindLeaving, program.KindUnavailable:
		return true
	}
	return false
}

// candidates returns the names of the watched endpoints that serve a model and are neither
// leaving nor draining. An empty model matches every endpoint, and an endpoint that states no
// model matches every model. Only endpoints in state Alive are returned; if there are none,
// those in state Unknown or Suspect.
func (e *Entry) candidates(model string) []string {
	var alive, unconfirmed []string
	current := e.config.Configurations.Current()
	now := time.Now()
	for _, name := range e.watchedInstances() {
		m, ok := e.members.Member(name, now)
		if !ok {
			continue
		}
		instance := m.Instance()
		if instance.Role() != fleet.EngineRole || m.Leaving() || current.Draining(instance.Name()) {
			continue
		}
		if model != "" && instance.Service() != "" && instance.Service() != model {
			continue
		}
		switch m.State() {
		case membership.Alive:
			alive = append(alive, instance.Name())
		case membership.Unknown, membership.Suspect:
			unconfirmed = append(unconfirmed, instance.Name())
		}
	}
	if len(alive) > 0 {
		return alive
	}
	return unconfirmed
}

// chooseEndpoint selects one of the named endpoints by load and adds the work to its load.
// It returns false when names is empty.
func (e *Entry) chooseEndpoint(names []string, work placement.Request) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	name, ok := e.loads.Choose(names, work, time.Now(), e.random)
	if ok {
		e.loads.RecordPlacement(name, work.Rank, work.ExpectedService)
	}
	return name, ok
}

// without returns a copy of names that lacks name.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
