package home_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

const tokenTime = 10 * time.Millisecond

// world is a log, a service with its ledger, and homes that share them.
type world struct {
	t       *testing.T
	log     *standin.Log
	service *fakeService
	store   *configuration.Store
	cancel  []context.CancelFunc
	homes   []*home.Home
	work    sync.WaitGroup
	crashes *quarantine.List
}

// fakeCrashes reports to a list that all homes share.
type fakeCrashes struct{ list *quarantine.List }

func (c *fakeCrashes) Verdict(request program.Digest) quarantine.Verdict {
	return c.list.Verdict(request)
}

func (c *fakeCrashes) Report(_ context.Context, e quarantine.Event) error {
	c.list.Apply(e)
	return nil
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t, log: standin.NewLog(), service: newFakeService(), store: configuration.NewStore(testConfiguration)}
	require.NoError(t, w.store.Apply(configuration.NewRecord(configuration.RecordConfig{Offset: 0, Base: configuration.NoVersion})))
	return w
}

func testConfiguration(string) (*configuration.Configuration, error) {
	quote, err := class.New(class.Config{Name: "quote", Rank: class.Urgent, Target: 10 * time.Second, Worth: 1, Budget: 10_000, MaxTurns: 20, MaxRepeats: 4})
	if err != nil {
		return nil, err
	}
	tally, err := class.New(class.Config{Name: "tally", Rank: class.Background, Target: time.Hour, Worth: 1, Budget: 100_000})
	if err != nil {
		return nil, err
	}
	payment, err := configuration.NewService(configuration.ServiceConfig{Name: "payment", Orders: []string{"pay"}, Idempotent: []string{"rate"}})
	if err != nil {
		return nil, err
	}
	return configuration.New(configuration.Config{Classes: []*class.Class{quote, tally}, Services: []*configuration.Service{payment}})
}

// home starts a home with an engine and a committer of its own.
func (w *world) home(name string) (*home.Home, *fakeEngine) {
	committer := history.NewCommitter(history.CommitterConfig{Log: w.log, Codec: record.NewCodec(), Prefix: "p", Streams: 1})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = append(w.cancel, cancel)
	w.work.Go(func() { committer.Run(ctx) })
	e := &fakeEngine{released: map[program.ID]int{}}
	c := home.Config{
		Name: name, Incarnation: uint64(len(w.homes) + 1), Engine: e, Journal: committer, Codec: record.NewCodec(), Services: w.service,
		Configurations: w.store, Slots: 2,
	}
	if w.crashes != nil {
		c.Crashes = &fakeCrashes{list: w.crashes}
	}
	h := home.New(c)
	w.homes = append(w.homes, h)
	return h, e
}

func (w *world) close() {
	for _, h := range w.homes {
		h.Close()
	}
	for _, cancel := range w.cancel {
		cancel()
	}
	w.work.Wait()
}

func (w *world) setDown(down bool) { w.log.SetFaults(standin.LogFaults{Down: down}) }

// start starts an urgent program with a key.
func (w *world) start(h *home.Home, key string) program.Handle {
	w.t.Helper()
	return w.startOf(h, key, "quote")
}

func (w *world) startOf(h *home.Home, key, class string) program.Handle {
	w.t.Helper()
	s, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: key, Class: class})
	require.NoError(w.t, err)
	return s.Handle()
}

func (w *world) ask(number uint32, text string) program.Call {
	w.t.Helper()
	return w.askFor(number, text, 5)
}

func (w *world) askFor(number uint32, text string, maxTokens int64) program.Call {
	w.t.Helper()
	c, err := program.NewCall(program.CallConfig{
		Number: number, MaxTokens: maxTokens, Messages: []program.Message{program.NewMessage(program.RoleUser, text)},
	})
	require.NoError(w.t, err)
	return c
}

func (w *world) pay(number uint32) program.Call {
	w.t.Helper()
	c, err := program.NewCall(program.CallConfig{
		Number: number, Type: program.OrderCall, Service: "payment", Method: "pay", Payload: fmt.Appendf(nil, "%d", number),
	})
	require.NoError(w.t, err)
	return c
}

// call runs a call and returns its text.
func call(h *home.Home, handle program.Handle, c program.Call) (string, home.Result, error) {
	var text strings.Builder
	r, err := h.Call(context.Background(), handle, c, func(piece []byte) error {
		text.Write(piece)
		return nil
	})
	return text.String(), r, err
}

// mustCall runs a call that has to succeed and returns the next handle.
func (w *world) mustCall(h *home.Home, handle program.Handle, c program.Call) program.Handle {
	w.t.Helper()
	_, r, err := call(h, handle, c)
	require.NoError(w.t, err)
	return r.Handle()
}

// fakeEngine answers with five words, one each token time.
type fakeEngine struct {
	mu       sync.Mutex
	prompts  []home.Prompt
	running  int
	most     int
	released map[program.ID]int
	fail     error
	stuck    bool
	// pieces is the number of pieces that a token is sent in, 1 when 0.
	pieces int
}

func (e *fakeEngine) Complete(ctx context.Context, p home.Prompt, emit func([]byte)) (home.Completion, error) {
	e.mu.Lock()
	e.prompts = append(e.prompts, p)
	fail, stuck := e.fail, e.stuck
	e.running++
	e.most = max(e.most, e.running)
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	var prompt int64
	for _, m := range p.Messages() {
		prompt += int64(len(m.Content())/4 + 4)
	}
	if stuck {
		<-ctx.Done()
		return home.Completion{}, program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindCanceled, Err: ctx.Err()})
	}
	resumed := int64(len(p.Resume()) / len("w00 "))
	prompt += resumed
	for i := resumed; i < resumed+p.MaxTokens(); i++ {
		t := time.NewTimer(tokenTime)
		select {
		case <-t.C:
		case <-ctx.Done():
			return home.Completion{}, program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindCanceled, Err: ctx.Err()})
		}
		if fail != nil && i == 2 {
			return home.Completion{}, fail
		}
		word := fmt.Appendf(nil, "w%02d ", i)
		for range max(1, e.pieces) - 1 {
			emit(word[:1])
			word = word[1:]
		}
		emit(word)
	}
	return home.NewCompletion(program.NewUsage(program.UsageConfig{PromptTokens: prompt, OutputTokens: p.MaxTokens()}), program.FinishStop), nil
}

func (e *fakeEngine) Release(_ context.Context, id program.ID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released[id]++
	return nil
}

func (e *fakeEngine) setFail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fail = err
}

func (e *fakeEngine) setStuck(stuck bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stuck = stuck
}

func (e *fakeEngine) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.prompts)
}

var errLost = errors.New("answer was lost")

// fakeService is a service with its ledger; faults hit the way to it.
type fakeService struct {
	mu          sync.Mutex
	ledger      *order.Ledger
	incarnation uint64
	effects     map[string]int
	loseAnswers int
	unreachable bool
	refuseSend  bool
	gone        bool
	callTime    time.Duration
}

func newFakeService() *fakeService {
	return &fakeService{ledger: order.NewLedger(1), incarnation: 1, effects: map[string]int{}}
}

// restart replaces the ledger by an empty one of the next life.
func (s *fakeService) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.ledger = order.NewLedger(s.incarnation)
}

func (s *fakeService) set(f func(s *fakeService)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeService) Locate(string) (string, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable {
		return "", 0, order.Errorf("locate", order.KindNotRun, "unreachable")
	}
	return "payment-1", s.incarnation, nil
}

func (s *fakeService) Run(ctx context.Context, _ string, r order.Request) (order.Reply, error) {
	s.mu.Lock()
	ledger, refuse, lose := s.ledger, s.refuseSend, s.loseAnswers > 0
	if lose {
		s.loseAnswers--
	}
	s.mu.Unlock()
	if refuse {
		return order.Reply{}, order.Errorf("run", order.KindNotRun, "connection refused")
	}
	reply, err := ledger.Run(ctx, r, func(context.Context) ([]byte, error) { return s.effect(r), nil })
	if lose {
		return order.Reply{}, order.Errorf("run", order.KindInDoubt, "%w", errLost)
	}
	return reply, err
}

func (s *fakeService) Query(ctx context.Context, _ string, r order.Request) (order.Reply, error) {
	s.mu.Lock()
	ledger, unreachable, gone := s.ledger, s.unreachable, s.gone
	s.mu.Unlock()
	if gone {
		return order.Reply{}, order.Errorf("query", order.KindIncarnation, "instance is gone")
	}
	if unreachable {
		return order.Reply{}, order.Errorf("query", order.KindInDoubt, "unreachable")
	}
	return ledger.Query(ctx, r)
}

func (s *fakeService) effect(r order.Request) []byte {
	s.mu.Lock()
	wait := s.callTime
	s.effects[r.Key().String()]++
	s.mu.Unlock()
	time.Sleep(wait)
	return []byte("receipt " + r.Key().String())
}

// checkOnce fails when an order had more than one effect.
func (w *world) checkOnce() int {
	w.t.Helper()
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	for key, n := range w.service.effects {
		require.LessOrEqual(w.t, n, 1, "order %s ran %d times", key, n)
	}
	return len(w.service.effects)
}
