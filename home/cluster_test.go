package home_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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

// tokenInterval is the time that fakeEngine takes for a token.
const tokenInterval = 10 * time.Millisecond

// testCluster is a log, a service with a ledger, and homes that share them.
type testCluster struct {
	t          *testing.T
	log        *standin.Log
	service    *fakeService
	store      *configuration.Store
	cancels    []context.CancelFunc
	homes      []*home.Home
	goroutines sync.WaitGroup
	// crashes is nil unless the test needs quarantine; it is set before
	// addHome.
	crashes *quarantine.List
	// wrapJournal, when set before addHome, returns the journal that a home uses
	// in place of its committer.
	wrapJournal func(j home.Journal) home.Journal
	// withoutCodec makes the next homes carry no records in handles.
	withoutCodec bool
	// logger is that of the next homes, nil for none.
	logger *zap.Logger
}

// heldJournal commits records only after release is closed.
type heldJournal struct {
	home.Journal
	release chan struct{}
}

func (j *heldJournal) Commit(ctx context.Context, r history.Record) (history.Position, error) {
	select {
	case <-j.release:
		return j.Journal.Commit(ctx, r)
	case <-ctx.Done():
		return history.NoPosition, history.Errorf("commit", history.KindUnknown, "%w", ctx.Err())
	}
}

// sharedCrashes is a CrashTracker that applies events to a list shared by all
// homes.
type sharedCrashes struct{ list *quarantine.List }

func (c *sharedCrashes) Verdict(request program.Digest) quarantine.Verdict {
	return c.list.Verdict(request)
}

func (c *sharedCrashes) Report(_ context.Context, e quarantine.Event) error {
	c.list.Apply(e)
	return nil
}

// newTestCluster returns a cluster without homes and with testConfiguration in
// force.
func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	tc := &testCluster{t: t, log: standin.NewLog(), service: newFakeService(), store: configuration.NewStore(testConfiguration)}
	require.NoError(t, tc.store.Apply(configuration.NewRecord(configuration.RecordConfig{Offset: 0, Base: configuration.NoVersion})))
	return tc
}

// testConfiguration has an urgent and a background class, and a service with
// one order and one idempotent method.
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

// addHome starts a home with its own engine and committer.
func (tc *testCluster) addHome(name string) (*home.Home, *fakeEngine) {
	committer := history.NewCommitter(history.CommitterConfig{Log: tc.log, Codec: record.NewCodec(), StreamPrefix: "p", StreamCount: 1})
	ctx, cancel := context.WithCancel(context.Background())
	tc.cancels = append(tc.cancels, cancel)
	tc.goroutines.Go(func() { committer.Run(ctx) })
	e := &fakeEngine{releasesByProgram: map[program.ID]int{}}
	c := home.Config{
		Name: name, Incarnation: uint64(len(tc.homes) + 1), Engine: e, Journal: committer, Codec: record.NewCodec(), Services: tc.service,
		Configurations: tc.store, Slots: 2, Logger: tc.logger,
	}
	if tc.crashes != nil {
		c.Crashes = &sharedCrashes{list: tc.crashes}
	}
	if tc.withoutCodec {
		c.Codec = nil
	}
	if tc.wrapJournal != nil {
		c.Journal = tc.wrapJournal(c.Journal)
	}
	h := home.New(c)
	tc.homes = append(tc.homes, h)
	return h, e
}

// close closes the homes before their committers.
func (tc *testCluster) close() {
	for _, h := range tc.homes {
		h.Close()
	}
	for _, cancel := range tc.cancels {
		cancel()
	}
	tc.goroutines.Wait()
}

// setLogDown makes the log unavailable, or available again.
func (tc *testCluster) setLogDown(down bool) { tc.log.SetFaults(standin.LogFaults{Down: down}) }

// startUrgent starts a program of the urgent class.
func (tc *testCluster) startUrgent(h *home.Home, key string) program.Handle {
	tc.t.Helper()
	return tc.startWithClass(h, key, "quote")
}

// startWithClass starts a program of a class.
func (tc *testCluster) startWithClass(h *home.Home, key, class string) program.Handle {
	tc.t.Helper()
	s, err := h.Start(context.Background(), home.StartRequest{Caller: "omuti", Key: key, Class: class})
	require.NoError(tc.t, err)
	return s.Handle()
}

// modelCall returns a model call that may generate five tokens.
func (tc *testCluster) modelCall(number uint32, text string) program.Call {
	tc.t.Helper()
	return tc.modelCallOfLength(number, text, 5)
}

// modelCallOfLength returns a model call that may generate maxTokens tokens.
func (tc *testCluster) modelCallOfLength(number uint32, text string, maxTokens int64) program.Call {
	tc.t.Helper()
	c, err := program.NewCall(program.CallConfig{
		Number: number, MaxTokens: maxTokens, Messages: []program.Message{program.NewMessage(program.RoleUser, text)},
	})
	require.NoError(tc.t, err)
	return c
}

// orderCall returns a call of the order method "pay".
func (tc *testCluster) orderCall(number uint32) program.Call {
	tc.t.Helper()
	c, err := program.NewCall(program.CallConfig{
		Number: number, Type: program.OrderCall, Service: "payment", Method: "pay", Payload: fmt.Appendf(nil, "%d", number),
	})
	require.NoError(tc.t, err)
	return c
}

// call runs a call and returns the text that was streamed.
func call(h *home.Home, handle program.Handle, c program.Call) (string, home.CallResult, error) {
	var text strings.Builder
	r, err := h.Call(context.Background(), handle, c, func(piece []byte) error {
		text.Write(piece)
		return nil
	})
	return text.String(), r, err
}

// requireCall runs a call that has to succeed and returns the next handle.
func (tc *testCluster) requireCall(h *home.Home, handle program.Handle, c program.Call) program.Handle {
	tc.t.Helper()
	_, r, err := call(h, handle, c)
	require.NoError(tc.t, err)
	return r.Handle()
}

// fakeEngine answers with words of four bytes, one each tokenInterval, up to
// the limit of the prompt.
type fakeEngine struct {
	mu      sync.Mutex
	prompts []home.Prompt
	running int
	// maxRunning is the highest number of concurrent requests.
	maxRunning int
	// releasesByProgram counts the calls of Release.
	releasesByProgram map[program.ID]int
	// failure, when set, ends a request in place of the third token of its
	// answer.
	failure error
	// hanging makes requests send nothing until they are canceled.
	hanging bool
	// piecesPerToken is the number of pieces that a token is sent in, 1 when 0.
	piecesPerToken int
}

func (e *fakeEngine) Complete(ctx context.Context, p home.Prompt, emit func([]byte)) (home.Completion, error) {
	e.mu.Lock()
	e.prompts = append(e.prompts, p)
	failure, hanging := e.failure, e.hanging
	e.running++
	e.maxRunning = max(e.maxRunning, e.running)
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
	if hanging {
		<-ctx.Done()
		return home.Completion{}, program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindCanceled, Err: ctx.Err()})
	}
	resumed := int64(len(p.ResumeFrom()) / len("w00 "))
	prompt += resumed
	for i := resumed; i < resumed+p.MaxTokens(); i++ {
		t := time.NewTimer(tokenInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			return home.Completion{}, program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindCanceled, Err: ctx.Err()})
		}
		if failure != nil && i == 2 {
			return home.Completion{}, failure
		}
		word := fmt.Appendf(nil, "w%02d ", i)
		for range max(1, e.piecesPerToken) - 1 {
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
	e.releasesByProgram[id]++
	return nil
}

func (e *fakeEngine) setFailure(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failure = err
}

func (e *fakeEngine) setHanging(hanging bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hanging = hanging
}

// promptCount returns the number of requests so far.
func (e *fakeEngine) promptCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.prompts)
}

// errAnswerLost is the cause of an answer that does not reach the home.
var errAnswerLost = errors.New("answer was lost")

// fakeService is a service with its ledger; its faults affect the connection
// from the homes.
type fakeService struct {
	mu          sync.Mutex
	ledger      *order.Ledger
	incarnation uint64
	// effectsByOrder counts the effects by the key of the order.
	effectsByOrder map[string]int
	// answersToLose is the number of further answers that do not reach the
	// home.
	answersToLose int
	// unreachable makes Locate fail and Query return an unknown outcome.
	unreachable bool
	// refusing makes Run fail before the service gets the request.
	refusing bool
	// ledgerGone makes Query answer that the instance no longer exists.
	ledgerGone bool
	// onLocate, when set, is called by Locate.
	onLocate func()
	// callDuration is the time between the effect of an order and its answer.
	callDuration time.Duration
}

func newFakeService() *fakeService {
	return &fakeService{ledger: order.NewLedger(1), incarnation: 1, effectsByOrder: map[string]int{}}
}

// restart replaces the ledger by an empty one of the next incarnation.
func (s *fakeService) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.ledger = order.NewLedger(s.incarnation)
}

// update changes the faults while the service may be in use.
func (s *fakeService) update(f func(s *fakeService)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *fakeService) Locate(string) (string, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onLocate != nil {
		s.onLocate()
	}
	if s.unreachable {
		return "", 0, order.Errorf("locate", order.KindNotRun, "unreachable")
	}
	return "payment-1", s.incarnation, nil
}

func (s *fakeService) Run(ctx context.Context, _ string, r order.Request) (order.Reply, error) {
	s.mu.Lock()
	ledger, refusing, loseAnswer := s.ledger, s.refusing, s.answersToLose > 0
	if loseAnswer {
		s.answersToLose--
	}
	s.mu.Unlock()
	if refusing {
		return order.Reply{}, order.Errorf("run", order.KindNotRun, "connection refused")
	}
	reply, err := ledger.Run(ctx, r, func(context.Context) ([]byte, error) { return s.applyEffect(r), nil })
	if loseAnswer {
		return order.Reply{}, order.Errorf("run", order.KindInDoubt, "%w", errAnswerLost)
	}
	return reply, err
}

func (s *fakeService) Query(ctx context.Context, _ string, r order.Request) (order.Reply, error) {
	s.mu.Lock()
	ledger, unreachable, ledgerGone := s.ledger, s.unreachable, s.ledgerGone
	s.mu.Unlock()
	if ledgerGone {
		return order.Reply{}, order.Errorf("query", order.KindIncarnationMismatch, "instance is gone")
	}
	if unreachable {
		return order.Reply{}, order.Errorf("query", order.KindInDoubt, "unreachable")
	}
	return ledger.Query(ctx, r)
}

// applyEffect counts the effect of an order and returns a receipt.
func (s *fakeService) applyEffect(r order.Request) []byte {
	s.mu.Lock()
	duration := s.callDuration
	s.effectsByOrder[r.Key().String()]++
	s.mu.Unlock()
	time.Sleep(duration)
	return []byte("receipt " + r.Key().String())
}

// requireAtMostOneEffect fails when an order had more than one effect, and
// returns the number of orders that had one.
func (tc *testCluster) requireAtMostOneEffect() int {
	tc.t.Helper()
	tc.service.mu.Lock()
	defer tc.service.mu.Unlock()
	for key, n := range tc.service.effectsByOrder {
		require.LessOrEqual(tc.t, n, 1, "order %s ran %d times", key, n)
	}
	return len(tc.service.effectsByOrder)
}

// recordTypes returns the types of all records in the log, in order.
func (tc *testCluster) recordTypes() []history.RecordType {
	tc.t.Helper()
	page, err := tc.log.Read(context.Background(), "p-0", 0, math.MaxInt)
	require.NoError(tc.t, err)
	var types []history.RecordType
	for _, e := range page.Entries() {
		records, err := record.NewCodec().Decode(e.Data())
		require.NoError(tc.t, err)
		for _, r := range records {
			types = append(types, r.Body().Type())
		}
	}
	return types
}
