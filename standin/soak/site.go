package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/standin/store"
	"github.com/lavendervale/lavendervale/standin/web"
)

const (
	// engineCount and serviceCount are the numbers of endpoints of each kind.
	engineCount, serviceCount = 7, 4
	engineService             = "pod-llm"
	plainService              = "trade-app"
)

// domains holds the failure domains of the site.
var domains = []string{"khomas-a", "khomas-b", "khomas-c"}

// site is a deployment on loopback: the store, endpoints and fronts.
type site struct {
	dir      string
	observer *observer
	store    *store.Store
	fronts   []*front
	engines  []*endpoint
	services []*endpoint
	done     chan struct{}
	stop     context.CancelFunc
	// lateEntries is set if FaultLateEntry is allowed.
	lateEntries bool
	// mu guards the fields below.
	mu      sync.Mutex
	log     *os.File
	changes int
	// storeEnds is when the last fault of the store ends.
	storeEnds time.Time
}

// newSite starts the store and the endpoints and prepares the fronts.
func newSite(config Config, dir string) (*site, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Errorf("start site", KindSystem, "%w", err)
	}
	logFile, err := os.Create(filepath.Join(dir, "soak.log"))
	if err != nil {
		return nil, Errorf("start site", KindSystem, "%w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Errorf("start site", KindSystem, "%w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &site{dir: dir, observer: newObserver(), store: store.New(), done: make(chan struct{}), stop: stop, log: logFile, lateEntries: slices.Contains(config.Faults, FaultLateEntry)}
	go func() { _ = web.Serve(ctx, listener, s.store) }()
	s.configure()
	for i := range engineCount + serviceCount {
		id, service, streaming := fmt.Sprintf("i-engine%d", i), engineService, true
		if i >= engineCount {
			id, service, streaming = fmt.Sprintf("i-app%d", i-engineCount), plainService, false
		}
		e, err := newEndpoint(s, id, service, domains[i%len(domains)], streaming, config.Seed+uint64(i)<<32)
		if err != nil {
			s.close()
			return nil, err
		}
		if streaming {
			s.engines = append(s.engines, e)
		} else {
			s.services = append(s.services, e)
		}
	}
	go s.beat()
	for i := range config.Fronts {
		f, err := newFront(s, config, i, listener.Addr().String())
		if err != nil {
			s.close()
			return nil, err
		}
		s.fronts = append(s.fronts, f)
	}
	return s, nil
}

// endpoints returns all endpoints.
func (s *site) endpoints() []*endpoint {
	return append(append([]*endpoint(nil), s.engines...), s.services...)
}

// beat writes the entries of the endpoints, also while the store refuses the fronts, and forgets
// old ones from time to time.
func (s *site) beat() {
	for n := 1; ; n++ {
		select {
		case <-s.done:
			return
		case <-time.After(heartbeat):
		}
		for _, e := range s.endpoints() {
			e.announce()
		}
		if n%8 == 0 {
			s.store.Compact("keyed.servers")
		}
	}
}

// version returns the number of the newest configuration.
func (s *site) version() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes
}

// configure publishes a configuration with one route more.
func (s *site) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes++
	route := func(name, prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "hostname": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "max_attempts": 1}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	stream := func(name, prefix string, stateful, resumable bool, attempts int) map[string]any {
		return route(name, prefix, "streaming", engineService, map[string]any{"max_attempts": attempts, "stateful": stateful, "retention_s": retention.Seconds(), "sticky": true, "resumable": resumable, "gap_aim_ms": 150})
	}
	routes := []map[string]any{
		stream("lot-quote", "/quote/", true, false, 1),
		stream("season-tally", "/tally/", false, true, 3),
		stream("long-story", "/story/", false, false, 1),
		route("price-alert", "/alert/", "safe", plainService, map[string]any{"timeout_ms": 1200, "max_attempts": 2}),
		route("pay-harvester", "/pay/", "unsafe", plainService, nil),
	}
	for n := range s.changes {
		routes = append(routes, route(fmt.Sprintf("since-%d", n+1), fmt.Sprintf("/since/%d/", n+1), "safe", plainService, map[string]any{"timeout_ms": 1200, "max_attempts": 2}))
	}
	data, _ := json.Marshal(map[string]any{
		"version": 3 * s.changes,
		"routes":  routes,
		"services": []map[string]any{
			{"name": engineService, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": slots, "kv_capacity": 90990, "chunk_tokens": chunkTokens}},
			{"name": plainService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"tenants": []map[string]any{
			{"name": usualCustomer, "api_keys": []string{keyOf(usualCustomer)}},
			{"name": floodCustomer, "api_keys": []string{keyOf(floodCustomer)}, "rate_per_s": floodRate, "burst": floodRate},
		},
		"limits": map[string]any{"max_header_bytes": maxHeadBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.store.Put("keyed.op", "config", data)
}

// spoilStore makes the store fail for a while.
func (s *site) spoilStore(f store.Fault, latency, span time.Duration) {
	ends := time.Now().Add(span)
	s.mu.Lock()
	if ends.After(s.storeEnds) {
		s.storeEnds = ends
	}
	s.mu.Unlock()
	s.store.SetFault(f)
	s.store.SetLatency(latency)
	time.Sleep(span)
	s.mu.Lock()
	last := !time.Now().Before(s.storeEnds)
	s.mu.Unlock()
	if last {
		s.store.SetFault(store.NoFault)
		s.store.SetLatency(0)
	}
}

// storeCalm reports whether the store serves normally.
func (s *site) storeCalm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().After(s.storeEnds)
}

// logf writes a line to the log of the run.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.log, "%8.3f "+format+"\n", append([]any{time.Since(s.observer.began).Seconds()}, args...)...)
}

// close ends the store and the endpoints.
func (s *site) close() {
	close(s.done)
	for _, e := range s.endpoints() {
		e.crash()
		e.relay.Close()
	}
	for _, f := range s.fronts {
		f.relay.Close()
	}
	s.stop()
	_ = s.log.Close()
}
