package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/standin/store"
	"github.com/lavendervale/lavendervale/standin/worker"
)

const (
	chatHost = "chat.example"
	stampKey = "Response-Stamp"
	// siteShards is the number of shards of the log.
	siteShards = 4
	// maxRequestsToReach bounds the requests until one of two idle endpoints gets one. A fortieth
	// of all requests go to the one without a connection.
	maxRequestsToReach = 1000
	// eventuallyTimeout bounds the wait for a condition that becomes true by itself.
	eventuallyTimeout = 20 * time.Second
)

// platformSite is a simulated platform on which fronts can be started. It has a store,
// engines of the service "llm", and shops: instances of the plain service "shop".
type platformSite struct {
	t            *testing.T
	store        *store.Store
	storeAddress string
	engines      []*worker.Worker
	shops        []*worker.Worker
	// version is that of the last published configuration.
	version int64
	// customers is the list of customers in the configuration; without it, callers need no key.
	customers []map[string]any
	// maxAttempts is that of the resumable route.
	maxAttempts int
	// frontCount is the number of fronts started.
	frontCount int
	// refuseWhenFull is FrontConfig.RefuseWhenFull of fronts that are started.
	refuseWhenFull bool
	// logger receives the lines of all fronts; nil discards them.
	logger *zap.Logger
}

func newPlatformSite(t *testing.T) *platformSite {
	s := &platformSite{t: t, store: store.New(), maxAttempts: 2}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	s.configure()
	s.engines = append(s.engines, s.startEndpoint("engine-1", "llm", true), s.startEndpoint("engine-2", "llm", true))
	s.shops = append(s.shops, s.startEndpoint("shop-1", "shop", false), s.startEndpoint("shop-2", "shop", false))
	return s
}

// configure publishes a configuration with four routes, one of each kind, and further
// idempotent routes with the given path prefixes.
func (s *platformSite) configure(extraPrefixes ...string) {
	s.version += 3
	routes := []map[string]any{
		{"name": "chat", "hostname": chatHost, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 8000, "service": "llm", "max_attempts": 1, "stateful": true, "retention_s": 60.0, "sticky": true},
		{"name": "survey", "hostname": chatHost, "path_prefix": "/survey/", "kind": "streaming", "timeout_ms": 8000, "service": "llm", "max_attempts": s.maxAttempts, "resumable": true},
		{"name": "look", "hostname": chatHost, "path_prefix": "/look/", "kind": "safe", "timeout_ms": 8000, "service": "shop", "max_attempts": 2},
		{"name": "pay", "hostname": chatHost, "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 8000, "service": "shop", "max_attempts": 1},
	}
	for _, prefix := range extraPrefixes {
		routes = append(routes, map[string]any{"name": prefix, "hostname": chatHost, "path_prefix": prefix, "kind": "safe", "service": "shop"})
	}
	configuration := map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": "llm", "max_conns": 50, "engine": map[string]any{"slots": 4, "chunk_tokens": 13}}, {"name": "shop", "max_conns": 50}},
		"limits":   map[string]any{"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if s.customers != nil {
		configuration["tenants"] = s.customers
		routes[2]["anonymous"] = true
	}
	text, err := json.Marshal(configuration)
	require.NoError(s.t, err)
	s.store.Put("keyed.op", "config", text)
}

// startEndpoint starts a simulated endpoint and announces it as ready.
func (s *platformSite) startEndpoint(id, service string, engine bool) *worker.Worker {
	w := worker.New(id, engine)
	server := httptest.NewServer(w)
	s.t.Cleanup(server.Close)
	s.announce(id, service, strings.TrimPrefix(server.URL, "http://"), "ready")
	return w
}

// announce writes the entry of an endpoint of version v1 to the store.
func (s *platformSite) announce(id, service, address, state string) {
	s.announceVersion(id, service, "v1", address, state)
}

// announceVersion writes the entry of an endpoint to the store.
func (s *platformSite) announceVersion(id, service, version, address, state string) {
	s.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","version":%q,"slots":4,"state":%q,"cold_left_ms":0,"seq":1}`, service, address, version, state))
}

// startEngine starts a simulated engine of a software version and announces it as ready.
func (s *platformSite) startEngine(id, version string) *worker.Worker {
	w := worker.New(id, true)
	w.SetVersion(version)
	server := httptest.NewServer(w)
	s.t.Cleanup(server.Close)
	s.announceVersion(id, "llm", version, strings.TrimPrefix(server.URL, "http://"), "ready")
	return w
}

// testFront is a running front.
type testFront struct {
	callerAddress string
	readyAddress  string
	stop          context.CancelFunc
	done          chan error
}

// startFront starts a front and waits until it is ready.
func (s *platformSite) startFront() *testFront {
	f := s.launchFront()
	f.waitUntilReady(s.t)
	return f
}

// launchFront starts a front.
func (s *platformSite) launchFront() *testFront {
	s.frontCount++
	c := daemon.FrontConfig{
		Name: fmt.Sprintf("front-%d", s.frontCount), Domain: "a", CallerAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		StoreAddress: s.storeAddress, Shards: siteShards, Processors: 1, GracePeriod: 4 * time.Second, RefuseWhenFull: s.refuseWhenFull, Logger: s.logger,
	}
	f, err := daemon.NewFront(c)
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	running := &testFront{callerAddress: f.CallerAddress(), readyAddress: f.ReadyAddress(), stop: cancel, done: make(chan error, 1)}
	go func() { running.done <- f.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		<-running.done
	})
	return running
}

// waitUntilReady waits until the front reports that it is ready.
func (f *testFront) waitUntilReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + f.readyAddress + "/api/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, eventuallyTimeout, 20*time.Millisecond)
}

// send sends a request and returns the status, header and whole body of the response;
// header holds names and values in turn.
func (f *testFront) send(t *testing.T, method, path, id, body string, header ...string) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+f.callerAddress+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = chatHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}
