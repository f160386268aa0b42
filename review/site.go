package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// site is a small deployment: the platform's store, workers and fronts.
type site struct {
	began   time.Time
	dir     string
	store   *store
	fronts  []*front
	engines []*worker
	apps    []*worker
	version int
	// moreRoutes are the routes that addRoute added.
	moreRoutes []map[string]any
	trouble    bool
	mu         sync.Mutex
	record     *os.File
}

// siteConfig tells how many processes of each kind a site has.
type siteConfig struct {
	fronts, engines, apps, shards int
	engineStep, appWork           time.Duration
}

var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

func newSite(binary, record string, trouble bool, c siteConfig) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{began: time.Now(), dir: dir, trouble: trouble}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if s.store, err = startStore(); err != nil {
		return nil, err
	}
	s.configure()
	for i := range c.engines {
		w, err := startWorker(s.store, fmt.Sprintf("i-engine%d", i), "pod-llm", zones[i%len(zones)], 8, true, c.engineStep)
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, w)
	}
	for i := range c.apps {
		w, err := startWorker(s.store, fmt.Sprintf("i-app%d", i), "trade-app", zones[i%len(zones)], 6, false, c.appWork)
		if err != nil {
			return nil, err
		}
		s.apps = append(s.apps, w)
	}
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for i := range c.fronts {
		f, err := newFront(binary, dir, fmt.Sprintf("front-%d", i), zones[i%len(zones)], fmt.Sprintf("%s.%d", network, i+1), s.store.address, c.shards)
		if err != nil {
			return nil, err
		}
		s.fronts = append(s.fronts, f)
		if err := f.start(); err != nil {
			return nil, err
		}
	}
	s.logf("deployment: %d fronts of %d MB, %d model workers, %d app workers, %d shards; trouble=%v", c.fronts, memoryMB, c.engines, c.apps, c.shards, trouble)
	return s, awaitReady(s.fronts, 15*time.Second)
}

// addRoute writes a configuration with one route more.
func (s *site) addRoute(route map[string]any) {
	s.moreRoutes = append(s.moreRoutes, route)
	s.configure()
}

// configure writes a configuration like that of the sheet.
func (s *site) configure() {
	s.version += 3
	config := map[string]any{
		"version": s.version,
		"routes": []map[string]any{
			{"name": "lot-quote", "hostname": host, "path_prefix": "/quote/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0, "service": "pod-llm", "max_attempts": 1, "stateful": true, "retention_s": 60.0, "sticky": true, "resumable": false, "gap_aim_ms": 150},
			{"name": "season-tally", "hostname": host, "path_prefix": "/tally/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "pod-llm", "max_attempts": 1, "stateful": false, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_aim_ms": 150},
			{"name": "price-alert", "hostname": host, "path_prefix": "/alert/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 120, "priority": 2, "service": "trade-app", "max_attempts": 2},
			{"name": "pay-harvester", "hostname": host, "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "trade-app", "max_attempts": 1},
			{"name": "book-truck", "hostname": host, "path_prefix": "/book/", "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 250, "priority": 2, "service": "trade-app", "max_attempts": 1},
		},
		"services": []map[string]any{
			{"name": "pod-llm", "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "kv_capacity": 90990, "chunk_tokens": chunkTokens}},
			{"name": "trade-app", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	config["routes"] = append(config["routes"].([]map[string]any), s.moreRoutes...)
	data, _ := json.Marshal(config)
	s.store.put("keyed.op", "config", data)
}

// close ends all processes that the site started.
func (s *site) close() {
	for _, f := range s.fronts {
		f.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.logf("logs are kept in a temporary folder")
		fmt.Println(s.dir)
	}
	_ = s.record.Close()
}

// logf writes a line to record.txt.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}
