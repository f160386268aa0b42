package gateway_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/route"
	"github.com/lavendervale/lavendervale/turn"
)

// site is a gateway between fakes of its ports.
type site struct {
	*gateway.Gateway
	endpoints *endpoints
	directory *endpoint.Directory
}

func newSite(t *testing.T) *site {
	table, err := route.NewTable(route.TableConfig{
		Version: 1,
		Routes: []*route.Route{
			route.New(route.Config{Name: "pay", Host: "h", PathPrefix: "/pay/", RetryPolicy: route.AtMostOnce, Splits: []route.Split{{Service: "shop", Weight: 1}}}),
			route.New(route.Config{Name: "look", Host: "h", PathPrefix: "/look/", RetryPolicy: route.Idempotent, MaxAttempts: 2, Splits: []route.Split{{Service: "shop", Weight: 1}}}),
		},
		Services: []route.Service{{Name: "shop"}},
	})
	require.NoError(t, err)
	routes := &route.Store{}
	_, err = routes.Update(table)
	require.NoError(t, err)
	s := &site{endpoints: &endpoints{}, directory: endpoint.NewDirectory()}
	for _, id := range []string{"shop-1", "shop-2"} {
		s.directory.Put(endpoint.Entry{ID: id, Service: "shop", Address: "127.0.0.1:1", Slots: 4}, time.Now())
	}
	s.Gateway = gateway.New(gateway.Config{
		Routes: routes, Directory: s.directory, Queue: dispatch.New(s.directory), Endpoints: s.endpoints, Ledger: noLedger{}, Suspects: noSuspects{},
		Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
	})
	return s
}

// ask sends a request with the time that its caller waits and returns the answer.
func (s *site) ask(path string, wait time.Duration) *answerBox {
	out := &answerBox{}
	now := time.Now()
	s.Serve(context.Background(), &gateway.Request{
		ID: "r", Method: http.MethodGet, Host: "h", Path: path, Target: path, Header: http.Header{}, Arrived: now, Deadline: now.Add(wait),
	}, out)
	return out
}

// answerBox keeps the answer of one request.
type answerBox struct {
	status  int
	retry   time.Duration
	refused bool
	aborted bool
}

func (a *answerBox) Refuse(r gateway.Refusal) {
	a.status, a.retry, a.refused = r.Status, r.RetryAfter, true
}
func (a *answerBox) Whole(status int, _ http.Header, _ []byte) { a.status = status }
func (a *answerBox) Start(status int, _ http.Header) error     { a.status = status; return nil }
func (a *answerBox) Event([]byte) error                        { return nil }
func (a *answerBox) Finish()                                   {}
func (a *answerBox) Abort()                                    { a.aborted = true }

// endpoints answers every request at once, or as how says.
type endpoints struct {
	mu  sync.Mutex
	ran []string
	// resets reports whether an endpoint ends the connection before an answer.
	resets func(id string) bool
	// lost reports whether an endpoint runs a request and its answer is lost.
	lost func(id string) bool
}

func (e *endpoints) Send(ctx context.Context, t endpoint.Target, _ gateway.Dispatch) (gateway.Answer, error) {
	e.mu.Lock()
	e.ran = append(e.ran, t.ID())
	reset := e.resets != nil && e.resets(t.ID())
	lost := e.lost != nil && e.lost(t.ID())
	e.mu.Unlock()
	time.Sleep(usualTime)
	if reset {
		return nil, gateway.Errorf("send", gateway.KindReset, "connection reset")
	}
	if lost {
		<-ctx.Done()
		return nil, gateway.Errorf("send", gateway.KindBroken, "given up: %w", ctx.Err())
	}
	return fine{}, nil
}

// usualTime is how long the endpoints take for a request.
const usualTime = 20 * time.Millisecond

func (e *endpoints) Alive(context.Context, endpoint.Target) bool { return true }

// fine is a whole good answer.
type fine struct{}

func (fine) Status() int                  { return http.StatusOK }
func (fine) Header() http.Header          { return http.Header{} }
func (fine) NotRun() bool                 { return false }
func (fine) Stream() bool                 { return false }
func (fine) Body() ([]byte, error)        { return []byte("done"), nil }
func (fine) Next() (gateway.Event, error) { return gateway.Event{}, errors.New("no stream") }
func (fine) Close()                       {}

type noLedger struct{}

func (noLedger) Begin(context.Context, turn.BeginRequest) (turn.Admission, error) {
	return nil, errors.New("no turns here")
}
func (noLedger) End(context.Context, turn.EndRequest) error { return nil }

type noSuspects struct{}

func (noSuspects) Crashed(uint64, uint64) {}
func (noSuspects) Banned(uint64) bool     { return false }

// TestStoppingInstanceTakesOnlyWhatCanEnd is omuti-grown trouble-2: a request that
// came six seconds after the signal to stop was cut off when the process ended.
func TestStoppingInstanceTakesOnlyWhatCanEnd(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		wait   time.Duration
		status int
	}{
		{name: "callers are still sent here", after: time.Second, wait: 20 * time.Second, status: 200},
		{name: "ends in time", after: 4 * time.Second, wait: 2 * time.Second, status: 200},
		{name: "would be cut off", after: 4 * time.Second, wait: 5 * time.Second, status: 503},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				now := time.Now()
				s.Leave(now.Add(3*time.Second), now.Add(7*time.Second))
				time.Sleep(test.after)
				a := s.ask("/pay/1", test.wait)
				require.Equal(t, test.status, a.status)
				require.Equal(t, test.status == 503, len(s.endpoints.ran) == 0, "a refused request must not run")
			})
		})
	}
}

// TestOverdueLookUpIsSentOnceMore is verande-agent inc-d6e5: look-ups whose answer was lost
// waited 1.2 s for their deadline, and the program missed its aim.
func TestOverdueLookUpIsSentOnceMore(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		status int
		within time.Duration
		sends  int
	}{
		{name: "idempotent", path: "/look/1", status: 200, within: 200 * time.Millisecond, sends: 2},
		{name: "once", path: "/pay/1", status: 504, within: 1200 * time.Millisecond, sends: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				for range 20 {
					require.Equal(t, 200, s.ask(test.path, time.Second).status)
				}
				s.endpoints.ran = nil
				first := true
				s.endpoints.lost = func(string) bool {
					was := first
					first = false
					return was
				}
				started := time.Now()
				require.Equal(t, test.status, s.ask(test.path, 1200*time.Millisecond).status)
				require.LessOrEqual(t, time.Since(started), test.within)
				require.Len(t, s.endpoints.ran, test.sends)
			})
		})
	}
}

// TestSlowServiceGetsFewSecondSends shows that second sends don't double the load of a
// service that answers nothing.
func TestSlowServiceGetsFewSecondSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		for range 200 {
			require.Equal(t, 200, s.ask("/look/1", time.Second).status)
		}
		s.endpoints.ran = nil
		s.endpoints.lost = func(string) bool { return true }
		const requests = 100
		for range requests {
			s.ask("/look/1", 300*time.Millisecond)
		}
		require.LessOrEqual(t, len(s.endpoints.ran), requests+requests/10+10)
	})
}

// TestOneResetPutsAnEndpointAside is omuti-grown scale-2: two plain endpoints went down and
// up by turns, and each of 31 fronts lost three orders to each of them before it looked
// elsewhere.
func TestOneResetPutsAnEndpointAside(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.endpoints.resets = func(id string) bool { return id == "shop-1" }
		lost := 0
		for range 12 {
			if s.ask("/pay/1", time.Second).status != 200 {
				lost++
			}
		}
		require.LessOrEqual(t, lost, 1)
	})
}

// TestOrdersAreNotTrials is the same day: an endpoint that flaps is tried again with
// look-ups, and gets orders once one of them was answered.
func TestOrdersAreNotTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		down := true
		s.endpoints.resets = func(id string) bool { return id == "shop-1" && down }
		for s.ask("/pay/1", time.Second).status == 200 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		s.endpoints.ran = nil
		for range 12 {
			require.Equal(t, 200, s.ask("/pay/1", time.Second).status)
		}
		require.NotContains(t, s.endpoints.ran, "shop-1")
		down = false
		s.endpoints.ran = nil
		for !slices.Contains(s.endpoints.ran, "shop-1") {
			require.Equal(t, 200, s.ask("/look/1", time.Second).status)
		}
		s.endpoints.ran = nil
		for !slices.Contains(s.endpoints.ran, "shop-1") {
			require.Equal(t, 200, s.ask("/pay/1", time.Second).status)
		}
	})
}
