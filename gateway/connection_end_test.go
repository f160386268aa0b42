package gateway_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/quarantine"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// heartbeatInterval is that of the endpoint of an endingFleet.
	heartbeatInterval = time.Second
	// drainTime is below the time that a request runs before its response ends.
	drainTime = time.Millisecond
)

// endingFleet is one endpoint that leaves while it runs a request, and then ends the response or resets the
// connection. It accepts no connection any more.
type endingFleet struct {
	directory *endpoint.Directory
	connected bool
	resets    bool
	// mu guards registration and beatsUntil, until when the endpoint sends heartbeats.
	mu           sync.Mutex
	registration endpoint.Registration
	beatsUntil   time.Time
	// confirmed is how long ConfirmEnd took.
	confirmed time.Duration
}

func (f *endingFleet) Send(ctx context.Context, t endpoint.Target, r gateway.EndpointRequest) (gateway.Response, error) {
	f.directory.RecordLeaving(t, time.Now())
	time.Sleep(typicalTime)
	if f.resets {
		return nil, gateway.Errorf("send", gateway.KindReset, "connection reset")
	}
	endedAt := time.Now()
	err := r.ConfirmEnd(ctx, func() bool { return f.connected })
	f.confirmed = time.Since(endedAt)
	if err != nil {
		return nil, gateway.Errorf("send", gateway.KindBroken, "%w", err)
	}
	return okResponse{}, nil
}

func (f *endingFleet) Alive(context.Context, endpoint.Target) bool { return false }

func (f *endingFleet) ReadRegistrations(context.Context) { f.read() }

// read reads the registrations.
func (f *endingFleet) read() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Before(f.beatsUntil) {
		f.registration.Heartbeat = now.UnixMilli() / heartbeatInterval.Milliseconds()
		f.directory.Put(f.registration, now)
	}
	f.directory.ReadComplete(now)
}

// countedCrashes counts the crashes that are held against requests.
type countedCrashes struct {
	noCrashes
	crashes atomic.Int64
}

func (c *countedCrashes) RecordCrash(quarantine.Identity, uint64, time.Time, time.Time) {
	c.crashes.Add(1)
}

// TestEndOfTheLastConnectionIsConfirmed guards against whole responses of endpoints that leave which count as failed,
// and against crashes held against requests that ran there.
func TestEndOfTheLastConnectionIsConfirmed(t *testing.T) {
	const timeout = 3 * time.Second
	tests := []struct {
		name, path string
		// livesFor is how long the endpoint sends heartbeats after the request.
		livesFor          time.Duration
		connected, resets bool
		timeout           time.Duration
		status            int
		crashes           int64
		// atOnce is set if no evidence is awaited.
		atOnce bool
	}{
		{name: "heartbeat", path: "/pay/1", livesFor: time.Minute, timeout: timeout, status: http.StatusOK},
		{name: "another connection", path: "/pay/1", connected: true, timeout: timeout, status: http.StatusOK, atOnce: true},
		{name: "no heartbeat", path: "/pay/1", timeout: timeout, status: http.StatusBadGateway, crashes: 1},
		{name: "no time left", path: "/pay/1", timeout: typicalTime + 100*time.Millisecond, status: http.StatusOK, atOnce: true},
		{name: "no evidence in time", path: "/pay/1", timeout: 600 * time.Millisecond, status: http.StatusOK},
		{name: "another attempt may follow", path: "/look/1", livesFor: time.Minute, timeout: timeout, status: http.StatusBadGateway, atOnce: true},
		{name: "another connection, another attempt may follow", path: "/look/1", connected: true, timeout: timeout, status: http.StatusOK, atOnce: true},
		{name: "reset, heartbeat", path: "/pay/1", livesFor: time.Minute, resets: true, timeout: timeout, status: http.StatusBadGateway},
		{name: "reset, no heartbeat", path: "/pay/1", resets: true, timeout: timeout, status: http.StatusBadGateway, crashes: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				directory := endpoint.NewDirectoryWith(endpoint.DirectoryConfig{DrainTime: drainTime, HeartbeatInterval: heartbeatInterval})
				fleet := &endingFleet{
					directory: directory, registration: endpoint.Registration{ID: "shop-1", Service: "shop", Address: "127.0.0.1:1", Slots: 4},
					beatsUntil: time.Now().Add(time.Hour), connected: test.connected, resets: test.resets,
				}
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() {
					for timer.Sleep(ctx, 100*time.Millisecond) == nil {
						fleet.read()
					}
				}()
				time.Sleep(2*heartbeatInterval + 10*time.Millisecond)
				fleet.mu.Lock()
				fleet.beatsUntil = time.Now().Add(test.livesFor)
				fleet.mu.Unlock()
				crashes := &countedCrashes{}
				f := &fixture{Gateway: gateway.New(gateway.Config{
					Routes: newFixture(t).Routes, Directory: directory, Queue: dispatch.New(directory), Transport: fleet, Registrations: fleet, TurnTracker: noTurns{}, CrashTracker: crashes,
					Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
				})}
				r := f.send(test.path, test.timeout)
				require.Equal(t, test.status, r.status)
				require.Equal(t, test.atOnce || test.resets, fleet.confirmed == 0, "%s", fleet.confirmed)
				require.Less(t, fleet.confirmed, test.timeout)
				time.Sleep(10 * time.Second)
				require.Equal(t, test.crashes, crashes.crashes.Load())
			})
		})
	}
}
