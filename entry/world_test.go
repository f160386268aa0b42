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

// world is a platform and instances that entries reach.
type world struct {
	t         *testing.T
	log       *standin.Log
	list      *standin.Instances
	endpoints map[string]*endpoint
	cancel    context.CancelFunc
	ctx       context.Context
	work      sync.WaitGroup
}

func inWorld(t *testing.T, f func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, log: standin.NewLog(), list: standin.NewInstances(0), endpoints: map[string]*endpoint{}}
		w.ctx, w.cancel = context.WithCancel(context.Background())
		defer w.work.Wait()
		defer w.cancel()
		f(t, w)
	})
}

// endpoint answers the requests of entries.
type endpoint struct {
	mu     sync.Mutex
	name   string
	store  *configuration.Store
	down   bool
	starts int
	calls  int
	refuse error
	cutAt  int
	moved  bool
}

func (w *world) endpoint(name string) *endpoint {
	e := &endpoint{name: name, store: configuration.NewStore(inifile.ParseConfiguration)}
	w.endpoints[name] = e
	w.list.Add(fleet.NewInstance(fleet.InstanceConfig{Name: name, Address: name, Role: fleet.EngineRole}))
	return e
}

func (e *endpoint) set(f func(e *endpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

// plainSealer writes handles as they are.
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

// entry starts an entry.
func (w *world) entry(name string) (*entry.Entry, *configuration.Store) {
	store := configuration.NewStore(inifile.ParseConfiguration)
	e := entry.New(entry.Config{
		Name: name, Homes: w, Sealer: &plainSealer{handles: map[string]program.Handle{}}, Log: w.log, Lister: w.list,
		Records: record.Publications{}, Configurations: store, Members: membership.NewTable(), Streams: 1,
	})
	w.work.Go(func() { e.Run(w.ctx) })
	return e, store
}

// publish puts a configuration on the log, as the tool does through an entry.
func (w *world) publish(e *entry.Entry, base int64, text string) (int64, error) {
	return e.Publish(w.ctx, entry.Publication{Base: base, Author: "head", Text: text})
}

func (w *world) reach(instance string) (*endpoint, error) {
	e, ok := w.endpoints[instance]
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

func (w *world) Start(_ context.Context, instance string, r home.StartRequest) (home.Started, error) {
	e, err := w.reach(instance)
	if err != nil {
		return home.Started{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	if e.refuse != nil {
		return home.Started{}, e.refuse
	}
	h := program.NewHandle(program.HandleConfig{Program: program.NewID(r.Caller, r.Key), Caller: r.Caller, Class: r.Class, Home: instance})
	return home.NewStarted(h, 1000, 1), nil
}

func (w *world) Call(_ context.Context, instance string, h program.Handle, c program.Call, sink home.Sink) (home.Result, error) {
	e, err := w.reach(instance)
	if err != nil {
		return home.Result{}, err
	}
	e.mu.Lock()
	e.calls++
	cutAt, moved := e.cutAt, e.moved
	e.mu.Unlock()
	if moved {
		return home.Result{}, program.NewError(program.ErrorConfig{Op: "call", Kind: program.KindMoved, Outcome: program.InDoubt, Err: errDown})
	}
	if err := sink([]byte(c.ReceivedText())); err != nil {
		return home.Result{}, err
	}
	for i := len(strings.Fields(c.ReceivedText())); i < 6; i++ {
		if cutAt > 0 && i == cutAt {
			e.set(func(e *endpoint) { e.down = true })
			return home.Result{}, program.NewError(program.ErrorConfig{Op: "read answer", Kind: program.KindUnavailable, Outcome: program.InDoubt, Err: errDown})
		}
		if err := sink(fmt.Appendf(nil, "w%d@%s ", i, instance)); err != nil {
			return home.Result{}, err
		}
	}
	return home.NewResult(h.WithHome(instance), program.NewAnswer(program.AnswerConfig{Call: c, Endpoint: instance}), 900, false), nil
}

func (w *world) End(_ context.Context, instance string, h program.Handle, _ bool) (home.Ended, error) {
	_, err := w.reach(instance)
	return home.NewEnded(home.EndedConfig{Handle: h, State: program.Finished, TargetMet: true}), err
}

func (w *world) Read(_ context.Context, instance string, h program.Handle) (home.View, error) {
	_, err := w.reach(instance)
	return home.NewView(home.ViewConfig{Handle: h}), err
}

func (w *world) Transfer(_ context.Context, instance string, t home.Transfer) (int64, error) {
	_, err := w.reach(instance)
	return t.Tokens, err
}

func (w *world) Beat(_ context.Context, instance string, b membership.Beat) (membership.Answer, error) {
	e, err := w.reach(instance)
	if err != nil {
		return membership.Answer{}, err
	}
	for _, r := range b.Records() {
		if err := e.store.Adopt(r); err != nil {
			return membership.Answer{}, err
		}
	}
	c := membership.AnswerConfig{ConfigVersion: e.store.Version(), Load: placement.NewLoad(placement.LoadConfig{Limit: 8})}
	if r := e.store.Record(); b.ConfigVersion() < c.ConfigVersion {
		c.Record = &r
	}
	return membership.NewAnswer(c), nil
}

// settle waits for lists, heartbeats and configurations to go round.
func (w *world) settle() {
	w.t.Helper()
	time.Sleep(4 * time.Second)
	synctest.Wait()
}

func (w *world) mustPublish(e *entry.Entry, base int64, text string) int64 {
	w.t.Helper()
	version, err := w.publish(e, base, text)
	require.NoError(w.t, err)
	return version
}
