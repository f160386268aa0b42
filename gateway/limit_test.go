package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/permit"
	"github.com/lavendervale/lavendervale/permit/permittest"
)

const (
	// limitRun is the length of a simulated run.
	limitRun = 12 * time.Second
	// fleetGossipInterval is the time between two exchanges of what fronts know.
	fleetGossipInterval = 100 * time.Millisecond
	// permitDelay is the time of a call to the issuer of permits.
	permitDelay = 2 * time.Millisecond
)

// limitedFleet is a number of fronts before two endpoints that name limits. It implements
// gateway.Transport and gateway.PermitIssuer.
type limitedFleet struct {
	fronts []*fixture
	mu     sync.Mutex
	// limits holds the limit of each endpoint, by its ID.
	limits   map[string]endpoint.Limit
	arrivals map[string][]time.Time
	issuer   *permit.Issuer
	// issuerDown is set while no front answers in place of a lost issuer.
	issuerDown bool
}

func newLimitedFleet(t *testing.T, frontCount int, limits map[string]endpoint.Limit) *limitedFleet {
	f := &limitedFleet{limits: limits, arrivals: map[string][]time.Time{}, issuer: permit.NewIssuer()}
	for range frontCount {
		front := newFixture(t)
		front.Transport, front.Permits = f, f
		f.fronts = append(f.fronts, front)
	}
	return f
}

// Send records an arrival and answers after typicalTime with the limit of the endpoint.
func (f *limitedFleet) Send(_ context.Context, t endpoint.Target, _ gateway.EndpointRequest) (gateway.Response, error) {
	f.mu.Lock()
	f.arrivals[t.ID()] = append(f.arrivals[t.ID()], time.Now())
	limit := f.limits[t.ID()]
	f.mu.Unlock()
	time.Sleep(typicalTime)
	return limitedResponse{limit: limit}, nil
}

func (f *limitedFleet) Alive(context.Context, endpoint.Target) bool { return true }

// limitedResponse is a successful response that may name a limit.
type limitedResponse struct {
	okResponse
	limit endpoint.Limit
}

func (r limitedResponse) Limit() (endpoint.Limit, bool) { return r.limit, true }

func (f *limitedFleet) TakePermit(_ context.Context, t endpoint.Target) (time.Duration, error) {
	time.Sleep(permitDelay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.issuerDown {
		return 0, errors.New("the issuer does not answer")
	}
	return f.issuer.Take(permit.Endpoint{Key: endpoint.Key(t.ID())}, t.Limit().PerSecond, time.Now()), nil
}

// replaceIssuer has another front issue permits after a second without any.
func (f *limitedFleet) replaceIssuer() {
	f.setIssuer(nil, true)
	time.Sleep(time.Second)
	f.setIssuer(permit.NewIssuer(), false)
}

func (f *limitedFleet) setIssuer(i *permit.Issuer, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.issuer, f.issuerDown = i, down
}

// gossip exchanges loads and limits until ctx ends.
func (f *limitedFleet) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		for i, from := range f.fronts {
			loads, limits := from.directory.Loads(), from.directory.Limits(now)
			for j, to := range f.fronts {
				if i != j {
					to.directory.UpdatePeerLoads(fmt.Sprint(i), loads, now)
					to.directory.ApplyLimits(limits, now)
				}
			}
		}
		time.Sleep(fleetGossipInterval)
	}
}

// fleetResult is what callers of a fleet got.
type fleetResult struct {
	mu              sync.Mutex
	served, refused int
	longestRefusal  time.Duration
	withoutRetry    int
}

// run sends requests at a rate to random fronts for limitRun; each caller waits for the
// timeout.
func (f *limitedFleet) run(t *testing.T, perSecond float64, timeout time.Duration) *fleetResult {
	rng := rand.New(rand.NewPCG(uint64(len(f.fronts)), 7))
	ctx, cancel := context.WithCancel(t.Context())
	result := &fleetResult{}
	var callers, background sync.WaitGroup
	background.Go(func() { f.gossip(ctx) })
	defer background.Wait()
	defer cancel()
	for end := time.Now().Add(limitRun); time.Now().Before(end); {
		front := f.fronts[rng.IntN(len(f.fronts))]
		callers.Go(func() {
			started := time.Now()
			result.add(front.send("/look/1", timeout), time.Since(started))
		})
		time.Sleep(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	callers.Wait()
	return result
}

func (r *fleetResult) add(response *responseRecorder, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if response.status == 200 {
		r.served++
		return
	}
	r.refused++
	r.longestRefusal = max(r.longestRefusal, took)
	if response.retryAfter == 0 {
		r.withoutRetry++
	}
}

// TestFleetKeepsTheLimitsOfEndpoints plays more requests than the endpoints of a service take,
// and checks what the endpoints get and how callers that can't be served are refused.
func TestFleetKeepsTheLimitsOfEndpoints(t *testing.T) {
	const timeout = 1200 * time.Millisecond
	tests := []struct {
		name      string
		fronts    int
		perSecond float64
		// replaced is set if the issuer of permits is lost during the run.
		replaced bool
	}{
		{"today's fronts", 8, 7.2, false},
		{"the issuer is lost", 8, 7.2, true},
		{"many fronts", 34, 2, false},
		{"many fronts, one request a second", 34, 1, false},
		{"the endpoints take nothing", 8, 0, false},
		{"fronts of a large site", 60, 1, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := endpoint.Limit{Named: true, PerSecond: test.perSecond}
				f := newLimitedFleet(t, test.fronts, map[string]endpoint.Limit{"shop-1": limit, "shop-2": limit})
				started := time.Now()
				if test.replaced {
					time.AfterFunc(6*time.Second, f.replaceIssuer)
				}
				r := f.run(t, 60, timeout)
				allowed := permittest.Allowed(test.perSecond)
				for id, arrivals := range f.arrivals {
					require.LessOrEqual(t, permittest.MostInSpan(arrivals, started.Add(permittest.Settle)), allowed, id)
				}
				t.Logf("%d served, %d refused, the longest after %s", r.served, r.refused, r.longestRefusal)
				down := 0.0
				if test.replaced {
					down = 1.5
				}
				require.GreaterOrEqual(t, float64(r.served), 0.75*2*test.perSecond*(limitRun.Seconds()-down), "limits are used")
				require.LessOrEqual(t, r.longestRefusal, timeout/2+200*time.Millisecond)
				require.Zero(t, r.withoutRetry, "refused callers know when to come back")
			})
		})
	}
}

// TestEndedLimitIsForgottenByAll guards against fronts that go on to spare an endpoint, because
// only another front has got a response without a limit.
func TestEndedLimitIsForgottenByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 8, map[string]endpoint.Limit{"shop-1": {Named: true}, "shop-2": {Named: true}})
		time.AfterFunc(4*time.Second, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.limits = nil
		})
		f.run(t, 60, time.Second)
		for _, front := range f.fronts {
			for _, id := range []string{"shop-1", "shop-2"} {
				target, result := front.directory.Pick(endpoint.Query{Service: "shop", ExcludedIDs: map[string]bool{id: true}}, time.Now())
				require.Equal(t, endpoint.Picked, result)
				require.False(t, target.Limit().Named)
			}
		}
	})
}

// TestUnlimitedEndpointTakesTheRest checks that requests go to an endpoint without a limit at
// once when the other one takes no more.
func TestUnlimitedEndpointTakesTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLimitedFleet(t, 8, map[string]endpoint.Limit{"shop-1": {Named: true, PerSecond: 2}})
		started := time.Now()
		r := f.run(t, 60, time.Second)
		require.Zero(t, r.refused)
		require.LessOrEqual(t, permittest.MostInSpan(f.arrivals["shop-1"], started.Add(permittest.Settle)), permittest.Allowed(2))
	})
}
