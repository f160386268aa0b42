package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/overload"
	"github.com/lavendervale/lavendervale/route"
	"github.com/lavendervale/lavendervale/turn"
)

// beginnings is a gateway.TurnTracker of programs of which some have begun, and counts the ends.
type beginnings struct {
	begun bool
	mu    sync.Mutex
	ends  []turn.EndRequest
}

func (b *beginnings) Begin(context.Context, turn.BeginRequest) (turn.Admission, error) {
	return beginningAdmission{begun: b.begun}, nil
}

func (b *beginnings) End(_ context.Context, r turn.EndRequest) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ends = append(b.ends, r)
	return nil
}

type beginningAdmission struct {
	freeAdmission
	begun bool
}

func (a beginningAdmission) Begun() bool { return a.begun }

// slowTransport answers each stream with one event after typicalTime.
type slowTransport struct{ scriptTransport }

func (s *slowTransport) Send(context.Context, endpoint.Target, gateway.EndpointRequest) (gateway.Response, error) {
	time.Sleep(typicalTime)
	return &scriptStream{ids: []string{"1"}}, nil
}

// TestOnlyBeginningsAreRefusedWhileEnginesAreFull guards against refusals of turns of begun programs and
// of requests that have nothing to do with programs, against beginnings that wait for their deadline, and
// against refused turns that keep the tokens of their programs.
func TestOnlyBeginningsAreRefusedWhileEnginesAreFull(t *testing.T) {
	const latencyTarget = 400 * time.Millisecond
	tests := []struct {
		name string
		// controlled is set if admission control is on.
		controlled bool
		begun      bool
		noDeadline bool
		resumes    bool
		// load is the number of requests of another front at each of the two engines, with 4 slots each.
		load    int
		refused bool
	}{
		{name: "beginning", controlled: true, load: 4, refused: true},
		{name: "beginning, few free slots", controlled: true, load: 3},
		{name: "begun program", controlled: true, begun: true, load: 4},
		{name: "no deadline of the program", controlled: true, noDeadline: true, load: 4},
		{name: "resumed stream", controlled: true, resumes: true, load: 4},
		{name: "switched off", load: 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := endpoint.NewDirectory()
				var loads []endpoint.Load
				for _, id := range []string{"engine-1", "engine-2"} {
					directory.Put(endpoint.Registration{ID: id, Service: "engine", Address: "127.0.0.1:1", Slots: 4}, time.Now())
					loads = append(loads, endpoint.Load{Endpoint: endpoint.Key(id), Running: test.load})
				}
				turns := &beginnings{begun: test.begun}
				core, lines := observer.New(zapcore.InfoLevel)
				config := gateway.Config{
					Routes: streamRoutes(t, latencyTarget), Directory: directory, Queue: dispatch.New(directory), Transport: &slowTransport{}, Registrations: noRegistrations{}, TurnTracker: turns,
					Origins: noOrigins{}, CrashTracker: noCrashes{}, Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Logger: zap.New(core),
				}
				if test.controlled {
					config.Overload = overload.New(overload.Config{Directory: directory})
				}
				g := gateway.New(config)
				time.Sleep(time.Second)
				directory.UpdatePeerLoads("front-2", loads, time.Now())
				now := time.Now()
				request := &gateway.Request{
					ID: "r", Method: http.MethodPost, Host: "h", Path: "/ask/1", Target: "/ask/1", Header: http.Header{}, ReceivedAt: now, Deadline: now.Add(2 * time.Second),
					Program: "p", ProgramDeadline: now.Add(4 * time.Second), BudgetTokens: 1000, MaxTokens: 10,
				}
				if test.noDeadline {
					request.ProgramDeadline = time.Time{}
				}
				if test.resumes {
					request.Resumes = "earlier"
				}
				response := &bodyRecorder{}
				g.Serve(t.Context(), request, response)
				took := time.Since(now)
				// The queue notices within 25 ms that nobody waits any more.
				time.Sleep(time.Second)
				require.Equal(t, test.refused, response.refused)
				require.Len(t, turns.ends, 1, "the turn must be released")
				line := lines.FilterMessage("request").All()[0].ContextMap()
				if !test.refused {
					require.True(t, response.finished)
					require.NotContains(t, line, "load")
					return
				}
				require.Equal(t, http.StatusServiceUnavailable, response.status)
				require.Equal(t, latencyTarget/4, took, "the wait")
				require.Greater(t, response.retryAfter, time.Duration(0))
				require.LessOrEqual(t, response.retryAfter, 2*time.Second/4)
				require.Zero(t, turns.ends[0].DeliveredTokens)
				require.Empty(t, turns.ends[0].Endpoint)
				require.Contains(t, line["reason"], "engines are full: ")
				require.Equal(t, true, line["begins"])
				require.Equal(t, 1.0, line["load"])
				require.EqualValues(t, 8, line["slots"])
				require.Contains(t, line, "load_age")
			})
		})
	}
}

// TestProgramThatWaitsIsRefusedWithTheEngines guards against programs that wait on when the last engine has
// gone, and against a wait that stays counted.
func TestProgramThatWaitsIsRefusedWithTheEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := endpoint.NewDirectory()
		directory.Put(endpoint.Registration{ID: "engine-1", Service: "engine", Address: "127.0.0.1:1", Slots: 4}, time.Now())
		controller := overload.New(overload.Config{Directory: directory})
		turns := &beginnings{}
		g := gateway.New(gateway.Config{
			Routes: streamRoutes(t, 400*time.Millisecond), Directory: directory, Queue: dispatch.New(directory), Transport: &slowTransport{}, Registrations: noRegistrations{}, TurnTracker: turns,
			Origins: noOrigins{}, CrashTracker: noCrashes{}, Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(), Overload: controller,
		})
		time.Sleep(time.Second)
		directory.UpdatePeerLoads("front-2", []endpoint.Load{{Endpoint: endpoint.Key("engine-1"), Running: 4}}, time.Now())
		directory.StoreAvailable(time.Now())
		now := time.Now()
		time.AfterFunc(20*time.Millisecond, func() {
			directory.Put(endpoint.Registration{ID: "engine-1", Service: "engine", Address: "127.0.0.1:1", Slots: 4, State: endpoint.Draining}, time.Now())
		})
		response := &bodyRecorder{}
		request := &gateway.Request{
			ID: "r", Method: http.MethodPost, Host: "h", Path: "/ask/1", Target: "/ask/1", Header: http.Header{}, ReceivedAt: now, Deadline: now.Add(2 * time.Second),
			Program: "p", ProgramDeadline: now.Add(4 * time.Second), BudgetTokens: 1000, MaxTokens: 10,
		}
		g.Serve(t.Context(), request, response)
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Less(t, time.Since(now), 50*time.Millisecond)
		require.Len(t, turns.ends, 1)
		directory.Put(endpoint.Registration{ID: "engine-1", Service: "engine", Address: "127.0.0.1:1", Slots: 4}, time.Now())
		time.Sleep(time.Second)
		b, err := controller.Begin(overload.Request{Service: "engine", Deadline: now.Add(time.Minute)}, time.Now())
		require.NoError(t, err)
		require.Zero(t, b.Inputs().Waiting)
		b.Abandoned(time.Now())
	})
}

// streamRoutes returns a route of streams with the given latency target.
func streamRoutes(t *testing.T, latencyTarget time.Duration) *route.Store {
	table, err := route.NewTable(route.TableConfig{
		Version: 1, Services: []route.Service{{Name: "engine", Engine: &route.Engine{TokensPerEvent: 10}}},
		Routes: []*route.Route{route.New(route.Config{
			Name: "ask", Host: "h", PathPrefix: "/ask/", Streaming: true, RetryPolicy: route.AtMostOnce, LatencyTarget: latencyTarget, Splits: []route.Split{{Service: "engine", Weight: 1}},
		})},
	})
	require.NoError(t, err)
	routes := &route.Store{}
	_, err = routes.Update(table)
	require.NoError(t, err)
	return routes
}
