package entry_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

const quoteClass = "[class \"quote\"]\nrank = urgent\ntarget = 20s\nbudget = 1000\n"

// cluster is a simulated platform with endpoints. It implements entry.HomeClient for them.
type cluster struct {
	t         *testing.T
	log       *standin.Log
	instances *standin.InstanceList
	endpoints map[string]*endpoint
	// logger receives the log lines of entries, nil to discard them.
	logger *zap.Logger
	// startErrs are the answers to the next starts, at whichever endpoint.
	startErrs []error
	// onStart runs at each start, onTransfer after each transfer of budget and onEnd after
	// each end of a program; nil for nothing.
	onStart    func()
	onTransfer func()
	onEnd      func()
	// reservations holds the tokens that parents have reserved, by child.
	reservations map[program.ID]int64
	cancel       context.CancelFunc
	ctx          context.Context
	goroutines   sync.WaitGroup
}

// runInCluster runs a test with an empty cluster in virtual time.
func runInCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, log: standin.NewLog(), instances: standin.NewInstanceList(0), endpoints: map[string]*endpoint{}, reservations: map[program.ID]int64{}}
		c.ctx, c.cancel = context.WithCancel(context.Background())
		defer c.goroutines.Wait()
		defer c.cancel()
		test(t, c)
	})
}

// endpoint is a simulated endpoint; its fields say how it answers requests.
type endpoint struct {
	mu             sync.Mutex
	name           string
	configurations *configuration.Store
	// down makes requests fail as not run.
	down bool
	// starts and calls count the requests received.
	starts int
	calls  int
	// startErr is the answer to starts, nil to accept them.
	startErr error
	// failAtWord is the index of the word before which a call fails and takes the endpoint
	// down; 0 means that no call does.
	failAtWord int
	// moved makes calls fail with program.KindMoved without a home.
	moved bool
	// callErrs are the errors of the next calls.
	callErrs []error
}

func (c *cluster) addEndpoint(name string) *endpoint {
	e := &endpoint{name: name, configurations: configuration.NewStore(inifile.ParseConfiguration)}
	c.endpoints[name] = e
	c.instances.Add(fleet.NewInstance(fleet.InstanceConfig{Name: name, Address: name, Role: fleet.EngineRole}))
	return e
}

func (e *endpoint) update(f func(e *endpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// plainSealer keeps handles in memory; a token is the index of its handle.
type plainSealer struct {
	mu      sync.Mutex
	handles map[string]program.Handle
}

func (s *plainSealer) Seal(h program.Handle) (string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	token := fmt.Sprint(len(s.handles))
	s.handles[token] = h
	return token, nil
}

func (s *plainSealer) Open(text string) (program.Handle, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.handles[text]
	if !ok {
		return h, program.Errorf("open", program.KindDenied, "unknown handle")
	}
	return h, nil
}

// startEntry runs an entry until the test ends and returns it with its configurations.
func (c *cluster) startEntry(name string) (*entry.Entry, *configuration.Store) {
	store := configuration.NewStore(inifile.ParseConfiguration)
	e := entry.New(entry.Config{
		Name: name, HomeClient: c, Sealer: &plainSealer{handles: map[string]program.Handle{}}, Log: c.log, InstanceLister: c.instances,
		PublicationCodec: record.PublicationCodec{}, Configurations: store, Members: membership.NewTable(), StreamCount: 1, Logger: c.logger,
	})
	c.goroutines.Go(func() { e.Run(c.ctx) })
	return e, store
}

// publish publishes a configuration through an entry, as the command-line tool does.
func (c *cluster) publish(e *entry.Entry, base int64, text string) (int64, error) {
	return e.Publish(c.ctx, entry.Publication{Base: base, Author: "head", Text: text})
}

func (c *cluster) reachableEndpoint(instance string) (*endpoint, error) {
	e, ok := c.endpoints[instance]
	if !ok {
		return nil, program.Errorf("reach", program.KindUnavailable, "unknown instance")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, program.NewError(program.ErrorConfig{Op: "reach", Kind: program.KindUnavailable, Outcome: program.NotRun, Err: errDown})
	}
	return e, nil
}

var errDown = fmt.Errorf("connection refused")

func (c *cluster) Start(_ context.Context, instance string, r home.StartRequest) (home.StartResult, error) {
	e, err := c.reachableEndpoint(instance)
	if err != nil {
		return home.StartResult{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	if c.onStart != nil {
		c.onStart()
	}
	if len(c.startErrs) > 0 {
		startErr := c.startErrs[0]
		c.startErrs = c.startErrs[1:]
		return home.StartResult{}, startErr
	}
	if e.startErr != nil {
		return home.StartResult{}, e.startErr
	}
	h := program.NewHandle(program.HandleConfig{Program: program.NewID(r.Caller, r.Key), Caller: r.Caller, Class: r.Class, Home: instance, Parent: r.Parent, ParentHome: r.ParentHome})
	return home.NewStartResult(h, 1000, 1), nil
}

func (c *cluster) Call(_ context.Context, instance string, h program.Handle, call program.Call, sink home.Sink) (home.CallResult, error) {
	e, err := c.reachableEndpoint(instance)
	if err != nil {
		return home.CallResult{}, err
	}
	e.mu.Lock()
	e.calls++
	failAtWord, moved := e.failAtWord, e.moved
	var callErr error
	if len(e.callErrs) > 0 {
		callErr, e.callErrs = e.callErrs[0], e.callErrs[1:]
	}
	e.mu.Unlock()
	if callErr != nil {
		return home.CallResult{}, callErr
	}
	if moved {
		return home.CallResult{}, program.NewError(program.ErrorConfig{Op: "call", Kind: program.KindMoved, Outcome: program.InDoubt, Err: errDown})
	}
	if err := sink([]byte(call.ReceivedText())); err != nil {
		return home.CallResult{}, err
	}
	for i := len(strings.Fields(call.ReceivedText())); i < 6; i++ {
		if failAtWord > 0 && i == failAtWord {
			e.update(func(e *endpoint) { e.down = true })
			return home.CallResult{}, program.NewError(program.ErrorConfig{Op: "read answer", Kind: program.KindUnavailable, Outcome: program.InDoubt, Err: errDown})
		}
		if err := sink(fmt.Appendf(nil, "w%d@%s ", i, instance)); err != nil {
			return home.CallResult{}, err
		}
	}
	return home.NewCallResult(h.WithHome(instance), program.NewAnswer(program.AnswerConfig{Call: call, Endpoint: instance}), 900, false), nil
}

func (c *cluster) End(_ context.Context, instance string, h program.Handle, _ bool) (home.EndResult, error) {
	_, err := c.reachableEndpoint(instance)
	if c.onEnd != nil {
		c.onEnd()
	}
	return home.NewEndResult(home.EndResultConfig{Handle: h, State: program.Finished, TargetMet: true}), err
}

func (c *cluster) Read(_ context.Context, instance string, h program.Handle) (home.View, error) {
	_, err := c.reachableEndpoint(instance)
	return home.NewView(home.ViewConfig{Handle: h}), err
}

// Transfer keeps the reservation of a child. Like a connection, it does nothing for a context
// that has ended, and doesn't know the outcome when the context ends on the way.
func (c *cluster) Transfer(ctx context.Context, instance string, t home.BudgetTransfer) (int64, error) {
	if ctx.Err() != nil {
		return 0, program.Errorf("transfer", program.KindUnavailable, "%w", ctx.Err())
	}
	if _, err := c.reachableEndpoint(instance); err != nil {
		return 0, err
	}
	if t.Settle {
		delete(c.reservations, t.Child)
	} else {
		c.reservations[t.Child] = t.Tokens
	}
	if c.onTransfer != nil {
		c.onTransfer()
	}
	if ctx.Err() != nil {
		return 0, program.NewError(program.ErrorConfig{Op: "transfer", Kind: program.KindUnavailable, Outcome: program.InDoubt, Err: ctx.Err()})
	}
	return t.Tokens, nil
}

func (c *cluster) Beat(_ context.Context, instance string, b membership.Heartbeat) (membership.HeartbeatReply, error) {
	e, err := c.reachableEndpoint(instance)
	if err != nil {
		return membership.HeartbeatReply{}, err
	}
	for _, r := range b.Records() {
		if err := e.configurations.Install(r); err != nil {
			return membership.HeartbeatReply{}, err
		}
	}
	replyConfig := membership.HeartbeatReplyConfig{ConfigVersion: e.configurations.Version(), Load: placement.NewLoad(placement.LoadConfig{Limit: 8})}
	if r := e.configurations.Record(); b.ConfigVersion() < replyConfig.ConfigVersion {
		replyConfig.Record = &r
	}
	return membership.NewHeartbeatReply(replyConfig), nil
}

// waitForPropagation waits until the instance list, heartbeats and configurations have
// reached all entries and endpoints.
func (c *cluster) waitForPropagation() {
	c.t.Helper()
	time.Sleep(4 * time.Second)
	synctest.Wait()
}

func (c *cluster) mustPublish(e *entry.Entry, base int64, text string) int64 {
	c.t.Helper()
	version, err := c.publish(e, base, text)
	require.NoError(c.t, err)
	return version
}

// appendConfigurations appends n configurations to the log, each made from the one before,
// as entries do that this test does not run. base is the version in force.
func (c *cluster) appendConfigurations(base int64, n int) {
	c.t.Helper()
	for i := range n {
		data, err := record.PublicationCodec{}.Encode(entry.Publication{Base: base + int64(i), Author: "head", Text: fmt.Sprintf("%s# %d of others\n", quoteClass, i)})
		require.NoError(c.t, err)
		_, err = c.log.Append(c.ctx, entry.ConfigurationStream, data)
		require.NoError(c.t, err)
	}
}
