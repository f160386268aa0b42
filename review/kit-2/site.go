package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// errCannotRun is the error of a case that couldn't run.
var errCannotRun = errors.New("the case can't run")

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// The routes of the configuration.
const (
	host        = "ficu95.example"
	lotPrefix   = "/lohu930/"
	tallyPrefix = "/pufi791/"
	payPrefix   = "/pule252/"
	bothPrefix  = "/bothx11/"
	maxBody     = 4194304
	maxHeader   = 16384
)

// site is a small deployment.
type site struct {
	dir, network string
	record       *record
	store        *store
	workers      []*worker
	traders      []*trader
	fronts       []*front
	names        int
	mu           sync.Mutex
}

// newSite starts the stand-ins of the platform, writes the configuration and starts the machines.
func newSite(rec *record, fronts int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, record: rec}
	for range 20 {
		s.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", s.network+".20:8149")
		if err == nil {
			_ = l.Close()
			break
		}
	}
	if s.store, err = newStore(s.network + ".2"); err != nil {
		return nil, err
	}
	s.store.put("keyed.op", "config", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-lot", "hostname": host, "path_prefix": lotPrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0, "service": "huvo11a", "max_attempts": 1, "stateful": true, "retention_s": 60.0, "sticky": true, "resumable": false, "gap_aim_ms": 150},
			{"name": "r-tally", "hostname": host, "path_prefix": tallyPrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "huvo11a", "max_attempts": 1, "stateful": false, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_aim_ms": 150},
			{"name": "r-both", "hostname": host, "path_prefix": bothPrefix, "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "huvo11a", "max_attempts": 1, "stateful": true, "retention_s": 60.0, "sticky": true, "resumable": true, "gap_aim_ms": 150},
			{"name": "r-pay", "hostname": host, "path_prefix": payPrefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "wuno96b", "max_attempts": 2},
		},
		"services": []map[string]any{
			{"name": "huvo11a", "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 8, "kv_capacity": 90990, "kv_token_bytes": 35136, "link_mbps": 1500000.0, "moves": true, "backups": true, "chunk_tokens": tokensPerEvent, "most": 12,
				"pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": "wuno96b", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max_header_bytes": maxHeader, "max_body_bytes": maxBody, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	zones := []string{"a", "b", "c"}
	for i := range 6 {
		w, err := newWorker(s.store, rec, s.network+".3", fmt.Sprintf("i-model-%d", i), "huvo11a", zones[i%3], 8, true)
		if err != nil {
			return nil, err
		}
		s.workers = append(s.workers, w)
	}
	for i := range 5 {
		w, err := newTrader(s.store, rec, s.network+".4", fmt.Sprintf("i-trade-%d", i), "wuno96b", zones[i%3], 6)
		if err != nil {
			return nil, err
		}
		s.traders = append(s.traders, w)
	}
	for i := range fronts {
		f, err := newFront(s, i, zones[i%3])
		if err != nil {
			return nil, err
		}
		s.fronts = append(s.fronts, f)
		if err := f.start(); err != nil {
			return nil, err
		}
	}
	return s, s.awaitReady(20 * time.Second)
}

// awaitReady waits until all machines are ready.
func (s *site) awaitReady(most time.Duration) error {
	for until := time.Now().Add(most); time.Now().Before(until); time.Sleep(readyEvery) {
		ready := 0
		for _, f := range s.fronts {
			if f.isReady() {
				ready++
			}
		}
		if ready == len(s.fronts) {
			s.record.printf("all machines are ready")
			return nil
		}
	}
	return fmt.Errorf("%w: not all machines are ready after %s", errCannotRun, most)
}

// close ends all processes.
func (s *site) close() {
	for _, f := range s.fronts {
		f.close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(s.dir, "*"))
		for _, path := range logs {
			data, _ := os.ReadFile(path)
			_ = os.WriteFile(filepath.Join(keep, filepath.Base(path)), data, 0o600)
		}
	}
	_ = os.RemoveAll(s.dir)
}

// newID returns an identifier as clients choose it.
func (s *site) newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// pick returns a machine as the platform picks one for a new connection.
func (s *site) pick() *front { return s.fronts[rand.IntN(len(s.fronts))] }

// request is one client attempt.
type request struct {
	method, path string
	headers      map[string]string
	body         []byte
	deadline     time.Duration
	// cutAfter is the number of events after which the connection is reset; 0 is never.
	cutAfter int
	// client sends the attempt, nil for a new connection of its own.
	client *http.Client
	// unnamed leaves out the identifier.
	unnamed bool
	// quiet leaves the attempt out of the record.
	quiet bool
}

// reply is what a client saw.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	// events is the number of whole events, and whole is set if the answer ended as complete.
	events int
	whole  bool
	err    error
}

// send sends an attempt to a machine on a new connection and reads the answer.
func (s *site) send(f *front, r request) reply {
	out := reply{id: s.newID()}
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+f.callers+r.path, strings.NewReader(string(r.body)))
	if err != nil {
		out.err = err
		return out
	}
	req.Host = host
	req.Header.Set("Request-Id", out.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(r.deadline.Milliseconds()))
	for name, value := range r.headers {
		req.Header.Set(name, value)
	}
	if r.unnamed {
		req.Header.Del("Request-Id")
	}
	client := r.client
	if client == nil {
		client = newClient()
		defer client.CloseIdleConnections()
	}
	if r.method == http.MethodPost {
		// Without this, net/http sends a request again on its own when a kept connection is closed.
		req.GetBody = nil
	}
	if !r.quiet {
		s.record.printf("send %s to %s: %s %s, body of %d bytes, program %s, previous %q", out.id, f.name, r.method, r.path, len(r.body), short(r.headers["Program-Id"]), r.headers["Previous-Turn"])
	}
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
	} else {
		out.status, out.header = resp.StatusCode, resp.Header
		var data []byte
		data, out.err = readBody(resp.Body, r.cutAfter)
		_ = resp.Body.Close()
		out.body = string(data)
		out.whole = out.err == nil
		out.events = strings.Count(out.body, "\n\n")
	}
	if !r.quiet {
		s.record.printf("answer to %s: %s", out.id, out)
	}
	return out
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
}

// errCut ends an answer after some events.
var errCut = errors.New("the connection was reset")

func readBody(body io.Reader, cutAfter int) ([]byte, error) {
	if cutAfter == 0 {
		return io.ReadAll(body)
	}
	var data []byte
	part := make([]byte, 64)
	for strings.Count(string(data), "\n\n") < cutAfter {
		n, err := body.Read(part)
		if data = append(data, part[:n]...); err != nil {
			return data, err
		}
	}
	return data, errCut
}

func short(text string) string {
	if len(text) > 24 {
		return text[:24] + "..."
	}
	return text
}

func (r reply) String() string {
	text := fmt.Sprintf("status %d, %d events, whole %t", r.status, r.events, r.whole)
	if r.status >= 300 {
		text += ", " + short(strings.TrimSpace(r.body))
	}
	if r.err != nil {
		text += ", " + r.err.Error()
	}
	return text
}

// served reports whether a turn was answered whole.
func (r reply) served() bool {
	return r.status == http.StatusOK && r.whole && r.events == eventsPerTurn
}

// turnRequest is a turn of a program on the route that keeps conversations.
func turnRequest(program, session, previous string, budget int, body []byte) request {
	headers := map[string]string{
		"Program-Id": program, "Session-Id": session, "Program-Deadline-Ms": "20000", "Token-Budget": fmt.Sprint(budget),
		"Token-Usage": fmt.Sprintf("1166,%d", maxTurnTokens), "Model": "m", "Prompt-Prefix": "5c1e07a2:512," + session[:8] + ":654",
	}
	if previous != "" {
		headers["Previous-Turn"] = previous
	}
	return request{method: http.MethodPost, path: lotPrefix + "2f", headers: headers, body: body, deadline: 3 * time.Second}
}

// outcome is what became of an ordinary program.
type outcome struct {
	begunAt  time.Time
	complete bool
	// asked and served count the turns that were sent and those that were answered whole.
	asked, served int
}

// playProgram plays an ordinary program of four turns on connections that it keeps. A turn is tried up
// to three times, with two attempts each.
func (s *site) playProgram() outcome {
	client := newClient()
	defer client.CloseIdleConnections()
	program, session, previous := s.newID(), s.newID(), ""
	out := outcome{begunAt: time.Now()}
	for range 4 {
		done := false
		out.asked++
		for try := 0; try < 6 && !done; try++ {
			r := turnRequest(program, session, previous, 20*maxTurnTokens, []byte(strings.Repeat("grade and moisture. ", 215)))
			r.client = client
			got := s.send(s.pick(), r)
			if got.served() {
				previous, done = got.id, true
				out.served++
				break
			}
			switch got.status {
			case 400, 401, 402, 403, 404, 413:
				return out
			}
			time.Sleep(time.Duration(100+rand.IntN(300)) * time.Millisecond)
		}
		if !done {
			return out
		}
	}
	out.complete = true
	return out
}

// ordinary plays ordinary programs, one begun every gap, until ctx ends, and returns what became of them.
func (s *site) ordinary(ctx context.Context, gap time.Duration) func() []outcome {
	var all []outcome
	var mu sync.Mutex
	var playing sync.WaitGroup
	playing.Go(func() {
		for ctx.Err() == nil {
			playing.Go(func() {
				o := s.playProgram()
				s.record.printf("an ordinary program has ended, complete %t", o.complete)
				mu.Lock()
				all = append(all, o)
				mu.Unlock()
			})
			time.Sleep(gap)
		}
	})
	return func() []outcome {
		playing.Wait()
		return all
	}
}
