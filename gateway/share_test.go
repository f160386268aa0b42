package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/route"
)

// useRecorder is a fake gateway.UseRecorder that adds up all use.
type useRecorder struct{ used map[string]time.Duration }

func (u *useRecorder) Run(customer string, cost time.Duration, _ time.Time) { u.used[customer] += cost }

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

// TestShareRefusalsAreCounted checks the name of the metric.
func TestShareRefusalsAreCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	gateway.NewMetrics(registry).CountShareRefusal()
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		if family.GetName() == "lavendervale_share_refusals_total" {
			require.InDelta(t, 1, family.GetMetric()[0].GetCounter().GetValue(), 0)
			return
		}
	}
	t.Fatal("the metric is not registered")
}
