package gateway_test

import (
	"context"
	"net/http"
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
)

// useRecorder is a fake gateway.UseRecorder that adds up all use. By its levels each customer is over its
// share.
type useRecorder struct{ used map[string]time.Duration }

func (u *useRecorder) Run(customer string, cost time.Duration, _ time.Time) { u.used[customer] += cost }

func (*useRecorder) Level(string, float64, time.Time) (use, fairShare float64) { return 3, 2 }

func (*useRecorder) Ask(string, time.Duration, time.Time) {}

func (*useRecorder) Over(string, float64, time.Time) bool { return true }

func (*useRecorder) Under(string, float64, time.Time) bool { return false }

// attemptsTransport ends each attempt after typicalTime in the next of some ways.
type attemptsTransport struct {
	scriptTransport
	ends []string
}

func (a *attemptsTransport) Send(ctx context.Context, t endpoint.Target, r gateway.EndpointRequest) (gateway.Response, error) {
	end := a.ends[0]
	a.ends = a.ends[1:]
	time.Sleep(typicalTime)
	switch end {
	case "not sent":
		return nil, gateway.Errorf("send", gateway.KindNotSent, "no connection")
	case "not run":
		return notRunResponse{}, nil
	case "reset":
		return nil, gateway.Errorf("send", gateway.KindReset, "connection reset")
	}
	return a.scriptTransport.Send(ctx, t, r)
}

// notRunResponse says that the endpoint did not run the request.
type notRunResponse struct{ okResponse }

func (notRunResponse) NotRun() bool { return true }

// TestEngineTimeIsRecordedForItsCustomer guards against customers that count with time in which no
// engine worked for them, or without that of attempts that failed.
func TestEngineTimeIsRecordedForItsCustomer(t *testing.T) {
	tests := []struct {
		name string
		ends []string
		// attempts is the number of attempts in which an engine worked.
		attempts int
	}{
		{name: "answered", ends: []string{"answered"}, attempts: 1},
		{name: "not sent at first", ends: []string{"not sent", "answered"}, attempts: 1},
		{name: "refused by the engine at first", ends: []string{"not run", "answered"}, attempts: 1},
		{name: "never run", ends: []string{"not run", "not sent"}},
		{name: "connection lost at first", ends: []string{"reset", "answered"}, attempts: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &attemptsTransport{scriptTransport: scriptTransport{streams: [][]string{{"1", "2"}}}, ends: test.ends}
				g, _ := newStreamGateway(t, transport, noTurns{}, route.Config{
					Name: "ask", Host: "h", PathPrefix: "/ask/", Streaming: true, RetryPolicy: route.Resumable, MaxAttempts: 3, Splits: []route.Split{{Service: "engine", Weight: 1}},
				})
				recorder := &useRecorder{used: map[string]time.Duration{}}
				g.Shares = recorder
				now := time.Now()
				g.Serve(t.Context(), &gateway.Request{
					ID: "r", Method: http.MethodPost, Host: "h", Path: "/ask/1", Target: "/ask/1", Header: http.Header{}, ReceivedAt: now, Deadline: now.Add(time.Second),
				}, &bodyRecorder{})
				synctest.Wait()
				require.Equal(t, time.Duration(test.attempts)*typicalTime, recorder.used[""])
			})
		})
	}
}

// TestCustomerOverItsShareIsRefused guards against a refusal whose cause, the customer's share, can't be
// seen in the log or the metrics.
func TestCustomerOverItsShareIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directory := endpoint.NewDirectory()
		directory.Put(endpoint.Registration{ID: "engine-1", Service: "engine", Address: "127.0.0.1:1", Slots: 4}, time.Now())
		table, err := route.NewTable(route.TableConfig{
			Version: 1, Services: []route.Service{{Name: "engine", Engine: &route.Engine{TokensPerEvent: 10}}}, Customers: []route.Customer{{Name: "large", Keys: []string{"key"}}},
			Routes: []*route.Route{route.New(route.Config{Name: "ask", Host: "h", PathPrefix: "/ask/", Streaming: true, RetryPolicy: route.AtMostOnce, LatencyTarget: 400 * time.Millisecond, Splits: []route.Split{{Service: "engine", Weight: 1}}})},
		})
		require.NoError(t, err)
		routes := &route.Store{}
		_, err = routes.Update(table)
		require.NoError(t, err)
		core, lines := observer.New(zapcore.InfoLevel)
		registry := prometheus.NewRegistry()
		recorder := &useRecorder{used: map[string]time.Duration{}}
		g := gateway.New(gateway.Config{
			Routes: routes, Directory: directory, Queue: dispatch.New(directory), Transport: &slowTransport{}, Registrations: noRegistrations{}, TurnTracker: &beginnings{},
			Origins: noOrigins{}, CrashTracker: noCrashes{}, Metrics: gateway.NewMetrics(registry), Logger: zap.New(core), Shares: recorder,
			Overload: overload.New(overload.Config{Directory: directory, Shares: recorder}),
		})
		time.Sleep(time.Second)
		directory.UpdatePeerLoads("front-2", []endpoint.Load{{Endpoint: endpoint.Key("engine-1"), Running: 4}}, time.Now())
		now := time.Now()
		response := &bodyRecorder{}
		g.Serve(t.Context(), &gateway.Request{
			ID: "r", Method: http.MethodPost, Host: "h", Path: "/ask/1", Target: "/ask/1", Header: http.Header{}, ReceivedAt: now, Deadline: now.Add(2 * time.Second),
			Key: "key", Program: "p", ProgramDeadline: now.Add(4 * time.Second), BudgetTokens: 1000, MaxTokens: 10,
		}, response)
		require.Equal(t, http.StatusServiceUnavailable, response.status)
		require.Zero(t, time.Since(now), "known at once")
		line := lines.FilterMessage("request").All()[0].ContextMap()
		require.Contains(t, line["reason"], "its customer is over its fair share")
		require.Equal(t, 3.0, line["use"])
		require.Equal(t, 2.0, line["fair_share"])
		families, err := registry.Gather()
		require.NoError(t, err)
		for _, family := range families {
			if family.GetName() == "lavendervale_share_refusals_total" {
				require.InDelta(t, 1, family.GetMetric()[0].GetCounter().GetValue(), 0)
				return
			}
		}
		t.Fatal("the metric is not registered")
	})
}
