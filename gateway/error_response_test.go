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

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/route"
)

// statusTransport answers the attempts of a request with the next of some statuses.
type statusTransport struct {
	transport
	statuses []int
}

func (s *statusTransport) Send(ctx context.Context, t endpoint.Target, r gateway.EndpointRequest) (gateway.Response, error) {
	response, err := s.transport.Send(ctx, t, r)
	if err != nil {
		return nil, err
	}
	status := s.statuses[0]
	s.statuses = s.statuses[1:]
	if status == 0 {
		return nil, gateway.Errorf("send", gateway.KindUnreachable, "connection refused")
	}
	return statusResponse{okResponse: response.(okResponse), status: status}, nil
}

// statusResponse is a complete response with a status.
type statusResponse struct {
	okResponse
	status int
}

func (s statusResponse) Status() int { return s.status }

// TestErrorResponseIsRetriedOnlyIfTheRequestMayRunAgain guards against callers that get the error of one
// faulty endpoint though their request may run elsewhere, against requests that run twice though they may
// not, and against an error of an endpoint that is replaced by one of the front.
func TestErrorResponseIsRetriedOnlyIfTheRequestMayRunAgain(t *testing.T) {
	tests := []struct {
		name     string
		policy   route.RetryPolicy
		attempts int
		statuses []int
		want     int
		sent     int
	}{
		{name: "idempotent", policy: route.Idempotent, attempts: 2, statuses: []int{500, 200}, want: 200, sent: 2},
		{name: "idempotent, one attempt", policy: route.Idempotent, attempts: 1, statuses: []int{500}, want: 500, sent: 1},
		{name: "at most once", policy: route.AtMostOnce, attempts: 2, statuses: []int{500}, want: 500, sent: 1},
		{name: "both fail", policy: route.Idempotent, attempts: 2, statuses: []int{500, 502}, want: 502, sent: 2},
		{name: "the other is unreachable", policy: route.Idempotent, attempts: 2, statuses: []int{500, 0}, want: 500, sent: 2},
		{name: "late", policy: route.Idempotent, attempts: 2, statuses: []int{504}, want: 504, sent: 1},
		{name: "error of the caller", policy: route.Idempotent, attempts: 2, statuses: []int{400}, want: 400, sent: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, err := route.NewTable(route.TableConfig{Version: 1, Services: []route.Service{{Name: "shop"}}, Routes: []*route.Route{route.New(route.Config{
					Name: "look", Host: "h", PathPrefix: "/look/", RetryPolicy: test.policy, MaxAttempts: test.attempts, Splits: []route.Split{{Service: "shop", Weight: 1}},
				})}})
				require.NoError(t, err)
				routes := &route.Store{}
				_, err = routes.Update(table)
				require.NoError(t, err)
				directory := endpoint.NewDirectory()
				for _, id := range []string{"shop-1", "shop-2"} {
					directory.Put(endpoint.Registration{ID: id, Service: "shop", Address: "127.0.0.1:1", Slots: 4}, time.Now())
				}
				transport := &statusTransport{statuses: test.statuses}
				g := gateway.New(gateway.Config{
					Routes: routes, Directory: directory, Queue: dispatch.New(directory), Transport: transport, Registrations: noRegistrations{}, TurnTracker: noTurns{},
					Origins: noOrigins{}, CrashTracker: noCrashes{}, Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
				})
				now := time.Now()
				response := &bodyRecorder{}
				g.Serve(t.Context(), &gateway.Request{ID: "r", Method: http.MethodGet, Host: "h", Path: "/look/1", Target: "/look/1", Header: http.Header{}, ReceivedAt: now, Deadline: now.Add(time.Second)}, response)
				require.Equal(t, test.want, response.status)
				require.Len(t, transport.sentTo, test.sent)
			})
		})
	}
}
