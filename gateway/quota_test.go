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

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/permit"
	"github.com/lavendervale/lavendervale/route"
)

// quotaCounter is a fake gateway.QuotaTracker that grants a number of requests.
type quotaCounter struct {
	mu                 sync.Mutex
	most, taken, given int
}

func (q *quotaCounter) TakeQuota(context.Context, string, permit.Quota) (permit.Grant, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.taken >= q.most {
		return permit.Grant{}, time.Second
	}
	q.taken++
	return permit.Grant{Keeper: "f"}, 0
}

func (q *quotaCounter) GiveBackQuota(context.Context, string, permit.Quota, permit.Grant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.given++
}

// newQuotaFixture returns a gateway with one customer, whose idempotent requests go to /look/.
func newQuotaFixture(t *testing.T, quotas *quotaCounter) *fixture {
	table, err := route.NewTable(route.TableConfig{
		Version: 1,
		Routes: []*route.Route{
			route.New(route.Config{Name: "look", Host: "h", PathPrefix: "/look/", RetryPolicy: route.Idempotent, MaxAttempts: 2, Splits: []route.Split{{Service: "shop", Weight: 1}}}),
		},
		Services:  []route.Service{{Name: "shop"}},
		Customers: []route.Customer{{Name: "c", Keys: []string{"k"}, RatePerSecond: 10}},
	})
	require.NoError(t, err)
	f := newFixture(t)
	routes := &route.Store{}
	_, err = routes.Update(table)
	require.NoError(t, err)
	f.Gateway = gateway.New(gateway.Config{
		Routes: routes, Directory: f.directory, Queue: dispatch.New(f.directory), Transport: f.transport, TurnTracker: noTurns{}, CrashTracker: noCrashes{},
		Quotas: quotas, QuotaSpan: time.Second, Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
	})
	return f
}

// TestEachRunCountsTowardsTheQuota checks that a customer's quota bounds what reaches endpoints, also
// with retries after a lost connection and hedges of late responses.
func TestEachRunCountsTowardsTheQuota(t *testing.T) {
	once := func() func(string) bool {
		first := true
		return func(string) bool {
			was := first
			first = false
			return was
		}
	}
	tests := []struct {
		name         string
		most         int
		reset, loses bool
		status       int
		sends, taken int
	}{
		{name: "answered", most: 9, status: 200, sends: 1, taken: 1},
		{name: "retried", most: 9, reset: true, status: 200, sends: 2, taken: 2},
		{name: "retry beyond the quota", most: 1, reset: true, status: 502, sends: 1, taken: 1},
		{name: "hedged", most: 9, loses: true, status: 200, sends: 2, taken: 2},
		{name: "hedge beyond the quota", most: 1, loses: true, status: 504, sends: 1, taken: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				quotas := &quotaCounter{most: 100}
				f := newQuotaFixture(t, quotas)
				send := func() *responseRecorder {
					recorder, now := &responseRecorder{}, time.Now()
					f.Serve(context.Background(), &gateway.Request{
						ID: "r", Method: http.MethodGet, Host: "h", Path: "/look/1", Target: "/look/1", Header: http.Header{}, Key: "k", ReceivedAt: now, Deadline: now.Add(time.Second),
					}, recorder)
					return recorder
				}
				for range 20 {
					require.Equal(t, 200, send().status)
				}
				f.transport.sentTo, quotas.taken, quotas.most = nil, 0, test.most
				if test.reset {
					f.transport.resetsConnection = once()
				}
				if test.loses {
					f.transport.losesResponse = once()
				}
				require.Equal(t, test.status, send().status)
				synctest.Wait()
				require.Len(t, f.transport.sentTo, test.sends)
				require.Equal(t, test.taken, quotas.taken)
				require.Zero(t, quotas.given)
			})
		})
	}
}

// TestRefusedRequestIsGivenBack checks that a request which no endpoint has run does not count.
func TestRefusedRequestIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quotas := &quotaCounter{most: 9}
		f := newQuotaFixture(t, quotas)
		for _, id := range []string{"shop-1", "shop-2"} {
			f.directory.Put(endpoint.Registration{ID: id, Service: "shop", Address: "127.0.0.1:1", Slots: 4, State: endpoint.Draining}, time.Now())
		}
		recorder, now := &responseRecorder{}, time.Now()
		f.Serve(context.Background(), &gateway.Request{
			ID: "r", Method: http.MethodGet, Host: "h", Path: "/look/1", Target: "/look/1", Header: http.Header{}, Key: "k", ReceivedAt: now, Deadline: now.Add(time.Second),
		}, recorder)
		synctest.Wait()
		require.Equal(t, 503, recorder.status)
		require.Equal(t, 1, quotas.given)
	})
}
