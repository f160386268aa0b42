package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host                       = "ficu95.example"
	modelService, plainService = "huvo11a", "wuno96b"
	// memoryMB is the memory of a front of the site sheet.
	memoryMB = 154
	// fronts and models are the numbers of machines and workers of the site sheet.
	fronts, models, plains = 8, 9, 7
	// maxBody and maxHead are the limits of the configuration that the bench shows (wire).
	maxBody, maxHead = 4_194_304, 16_384
)

var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
	runs    []run
}

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%7.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

func (r *record) ran(n run) {
	r.mu.Lock()
	r.runs = append(r.runs, n)
	r.mu.Unlock()
	r.sampled(n.ID)("run     %s at %s previous=%s after=%s body of %d bytes", shortened(n.ID), n.Worker, shortened(n.Previous), n.After, n.Bytes)
}

// sampled returns logf, or for all but a few of the requests with long identifiers a function that writes
// nothing: there are tens of thousands of them.
func (r *record) sampled(id string) func(format string, args ...any) {
	if len(id) > 1000 && !strings.HasPrefix(id, "00") {
		return func(string, ...any) {}
	}
	return r.logf
}

// runOf returns the last run of a request.
func (r *record) runOf(id string) (run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := len(r.runs) - 1; i >= 0; i-- {
		if r.runs[i].ID == id {
			return r.runs[i], true
		}
	}
	return run{}, false
}

// site is a small deployment on loopback.
type site struct {
	root, dir, storeAddress string
	record                  *record
	store                   *store
	fronts                  []*front
	workers                 []*worker
	stopped                 chan struct{}
	stopOnce                sync.Once
	config                  config
	// mu guards workers.
	mu sync.Mutex
}

// config is what sets a case's site apart.
type config struct {
	// resumable is set if the route that keeps turns is resumable too.
	resumable bool
	// bare makes streams end with their connection.
	bare   bool
	events int
	gap    time.Duration
	fronts int
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// newSite starts the site, and returns false if it isn't ready in time.
func newSite(root, dir string, out io.Writer, c config) (*site, bool) {
	s := &site{root: root, dir: dir, record: &record{out: out, started: time.Now()}, store: newStore(), stopped: make(chan struct{})}
	l := listen(network + ".200")
	s.storeAddress = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s.store}).Serve(l) }()
	s.store.put("keyed.op", "config", mustJSON(map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "keeps", "hostname": host, "path_prefix": "/keeps/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0, "service": modelService, "max_attempts": 1, "stateful": true, "retention_s": 60.0, "sticky": true, "resumable": c.resumable, "gap_aim_ms": 150},
			{"name": "goeson", "hostname": host, "path_prefix": "/goeson/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": modelService, "max_attempts": 1, "stateful": false, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_aim_ms": 150},
			{"name": "alert", "hostname": host, "path_prefix": "/alert/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 120, "priority": 2, "service": plainService, "max_attempts": 2},
		},
		"services": []map[string]any{
			{"name": modelService, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 8, "kv_capacity": 90990, "kv_token_bytes": 35136, "chunk_tokens": 13, "models": []map[string]any{{"name": "m"}}}},
			{"name": plainService, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": maxHead, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}))
	s.config = c
	for i := range models + plains {
		service := modelService
		if i >= models {
			service = plainService
		}
		s.startWorker(service)
	}
	go s.beat()
	count := fronts
	if c.fronts > 0 {
		count = c.fronts
	}
	for i := range count {
		s.fronts = append(s.fronts, newFront(s, i, zones[i%len(zones)]))
	}
	for _, f := range s.fronts {
		f.start()
		go func() {
			for {
				select {
				case <-s.stopped:
					return
				case <-time.After(50 * time.Millisecond):
				}
				f.guard()
			}
		}()
	}
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, f := range s.fronts {
			if f.isReady() {
				ready++
			}
		}
		if ready == len(s.fronts) {
			time.Sleep(time.Second)
			s.record.logf("%d fronts are ready", ready)
			return s, true
		}
	}
	return s, false
}

// startWorker starts a worker of a service.
func (s *site) startWorker(service string) *worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.workers)
	w := &worker{id: fmt.Sprintf("i-%02d", i), service: service, slots: 8, zone: zones[i%len(zones)], events: s.config.events, gap: s.config.gap, bare: s.config.bare, record: s.record, started: time.Now(), state: "ready", told: map[string]bool{}}
	if service == plainService {
		w.slots = 6
	}
	l := listen(fmt.Sprintf("%s.%d", network, 100+i))
	w.address, w.server = l.Addr().String(), &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	s.workers = append(s.workers, w)
	s.beatOnce(w)
	return w
}

// beatOnce writes the entry of a worker that has not left.
func (s *site) beatOnce(w *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.state == "" {
		return
	}
	w.seq++
	s.store.put("keyed.servers", w.id, mustJSON(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"cold_left_ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq": w.seq, "born": w.started.UnixMilli(),
	}))
}

// beat writes the entries of the workers, as they do themselves.
func (s *site) beat() {
	for {
		s.mu.Lock()
		workers := s.workers[:len(s.workers):len(s.workers)]
		s.mu.Unlock()
		for _, w := range workers {
			s.beatOnce(w)
		}
		select {
		case <-s.stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// longest is the time after which a case ends in any event.
const longest = 115 * time.Second

// endEarly ends the processes of the site when the case is asked to stop or takes too long.
func (s *site) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	s.record.logf("the case ends early")
	s.stop()
	os.Exit(notRun)
}

// stop ends all processes of the site.
func (s *site) stop() {
	s.stopOnce.Do(func() { close(s.stopped) })
	var stopping sync.WaitGroup
	for _, f := range s.fronts {
		stopping.Go(f.stop)
	}
	stopping.Wait()
	if os.Getenv("KEEP") == "" {
		return
	}
	fmt.Println("logs in", s.dir)
}

func mustJSON(v any) []byte {
	data, err := json.Marshal(v)
	must(err)
	return data
}

// reply is what a client got.
type reply struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// whole reports whether a client got a success to its end.
func (r reply) whole() bool { return r.err == nil && r.status == http.StatusOK }

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("%d, broken off: %v", r.status, r.err)
	}
	if r.status != http.StatusOK {
		return fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.body))
	}
	return "200, whole"
}

// newID returns a request identifier.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answerTime is how long a client waits for an answer beyond its deadline.
const answerTime = 6 * time.Second

// newClient returns a client that keeps its connections, or opens one for each request.
func newClient(keeps bool) *http.Client {
	return &http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: !keeps, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}
}

// send sends one request on a connection of its own and logs it and its answer.
func (s *site) send(f *front, method, path, id string, body []byte, headers ...string) reply {
	return s.sendBy(newClient(false), f, method, path, id, body, nil, headers...)
}

// sendBy sends one request and calls onPart, if that is not nil, with what has been read of the answer so far.
func (s *site) sendBy(client *http.Client, f *front, method, path, id string, body []byte, onPart func(string), headers ...string) reply {
	started := time.Now()
	r, err := http.NewRequest(method, "http://"+f.callers+path, strings.NewReader(string(body)))
	must(err)
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	logf := s.record.sampled(id)
	logf("send    %s to %s: %s %s previous=%s after=%s body of %d bytes", shortened(id), f.name, method, path, shortened(r.Header.Get("Previous-Turn")), r.Header.Get("Last-Event-Id"), len(body))
	resp, err := client.Do(r)
	out := reply{err: err}
	if err == nil {
		out.status = resp.StatusCode
		part := make([]byte, 4096)
		for {
			n, err := resp.Body.Read(part)
			out.body += string(part[:n])
			if n > 0 && onPart != nil {
				onPart(out.body)
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				out.err = err
				break
			}
		}
		_ = resp.Body.Close()
	}
	out.took = time.Since(started)
	logf("answer  %s from %s: %s", shortened(id), f.name, out)
	return out
}
