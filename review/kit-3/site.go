package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machineMB is the memory of a machine of class front.
const machineMB = 154

// site is a small deployment on loopback addresses: stand-ins and the project's own fronts.
type site struct {
	dir    string
	record *os.File
	began  time.Time
	born   time.Time
	store  *logStore
	// events is the number of events of a stream.
	events  int
	workers []*worker
	fronts  []*front
	mu      sync.Mutex
	runs    []run
}

// front is a machine with one process of the role front.
type front struct {
	site                           *site
	name, zone                     string
	ip                             string
	callers, ready, peers, metrics string
	settings                       string
	mu                             sync.Mutex
	process                        *exec.Cmd
	ended                          chan struct{}
	killed                         bool
	ownEnds                        int
}

func newSite(dir string) (*site, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	store, err := newLogStore()
	if err != nil {
		return nil, err
	}
	return &site{dir: temp, record: record, began: time.Now(), born: time.Now(), store: store, events: 6}, nil
}

// note writes a line of the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) ran(r run) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
}

// freePorts returns free ports of a loopback address.
func freePorts(ip string, count int) ([]string, error) {
	var out []string
	for range 100 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		p, err := net.ListenPacket("udp", l.Addr().String())
		if err != nil {
			continue
		}
		p.Close()
		if out = append(out, l.Addr().String()); len(out) == count {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no free ports on %s", ip)
}

func (s *site) newFront(number int, zone string) (*front, error) {
	f := &front{site: s, name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("127.0.%d.%d", 30+os.Getpid()%200, number)}
	ports, err := freePorts(f.ip, 4)
	if err != nil {
		return nil, err
	}
	f.callers, f.ready, f.peers, f.metrics = ports[0], ports[1], ports[2], ports[3]
	f.settings = filepath.Join(s.dir, f.name+".ini")
	text := fmt.Sprintf(`[process]
role = front
name = %s
domain = %s
grace = 8s
memory = %d
processors = 0.8

[listen]
callers = %s
ready = %s
peers = %s
metrics = %s

[store]
address = %s
shards = 12
writes = 800
record_bytes = 262144

[platform]
contracts = base,drain,config,cost,recover,agent,stream,engine,platform

[log]
level = info
format = json
`, f.name, zone, machineMB, f.callers, f.ready, f.peers, f.metrics, s.store.addr)
	return f, os.WriteFile(f.settings, []byte(text), 0o600)
}

func (f *front) start() error {
	log, err := os.OpenFile(filepath.Join(f.site.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lavendervaled", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.site.dir, "LANG=C", "LAVENDERVALE_BOOT=" + f.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	f.process, f.ended, f.killed = cmd, make(chan struct{}), false
	ended := f.ended
	f.mu.Unlock()
	f.site.note("%s starts, pid %d", f.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		f.mu.Lock()
		if !f.killed {
			f.ownEnds++
			f.site.note("%s ended by itself: %v", f.name, err)
		}
		f.mu.Unlock()
		close(ended)
		log.Close()
	}()
	return nil
}

// signal sends a signal to the process; one that ends it is no end of its own.
func (f *front) signal(sig syscall.Signal) {
	f.mu.Lock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		f.killed = true
	}
	process := f.process
	f.mu.Unlock()
	if process != nil {
		_ = process.Process.Signal(sig)
	}
	f.site.note("%s gets signal %v", f.name, sig)
}

func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + f.ready + "/api/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *front) awaitReady(limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if f.isReady() {
			return true
		}
	}
	return false
}

// anonymousMB returns the memory of the process without the pages of its files.
func (f *front) anonymousMB() float64 {
	f.mu.Lock()
	process := f.process
	f.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		return 0
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// configure publishes a configuration like those of a small deployment.
func (s *site) configure(version int, resumableTurns bool) {
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-turn", "hostname": "site.example", "path_prefix": "/turn/", "kind": "streaming", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 0, "service": "llm", "max_attempts": 1, "stateful": true, "retention_s": 60.0, "sticky": true, "resumable": resumableTurns, "gap_aim_ms": 150},
			{"name": "r-safe", "hostname": "site.example", "path_prefix": "/safe/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 120, "priority": 2, "service": "app", "max_attempts": 3},
			{"name": "r-file", "hostname": "site.example", "path_prefix": "/file/", "kind": "safe", "timeout_ms": 12000, "target_latency_ms": 4000, "priority": 2, "service": "app", "max_attempts": 1},
			{"name": "r-pay", "hostname": "site.example", "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 2, "service": "app", "max_attempts": 1},
		},
		"services": []map[string]any{
			{"name": "llm", "health_path": "/health", "max_conns": 150, "engine": map[string]any{"slots": 8, "kv_capacity": engineTokens, "chunk_tokens": tokensAnEvent}},
			{"name": "app", "health_path": "/health", "max_conns": 110},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.store.put("keyed.op", "config", value)
	s.note("configuration %d is published", version)
}

// open starts fronts in three zones, model workers and plain workers, and waits until all are ready.
func (s *site) open(fronts, models, apps int, resumableTurns bool) error {
	s.configure(1, resumableTurns)
	zones := []string{"a", "b", "c"}
	for i := range models + apps {
		service, slots := "llm", 8
		if i >= models {
			service, slots = "app", 6
		}
		w, err := s.newWorker(fmt.Sprintf("i-%s-%d", service, i), service, zones[i%3], slots, i < models)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for i := range fronts {
		f, err := s.newFront(i+1, zones[i%3])
		if err != nil {
			return err
		}
		s.fronts = append(s.fronts, f)
		if err := f.start(); err != nil {
			return err
		}
	}
	for _, f := range s.fronts {
		if !f.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s isn't ready in time", f.name)
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// close ends all processes.
func (s *site) close() {
	for _, f := range s.fronts {
		f.signal(syscall.SIGCONT)
		f.signal(syscall.SIGKILL)
	}
	for _, f := range s.fronts {
		<-f.ended
	}
	for _, w := range s.workers {
		w.stop()
	}
	_ = s.store.server.Close()
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// event is one event that a client has received.
type event struct{ id, data string }

// answer is what a client has received.
type answer struct {
	status int
	stamp  string
	events []event
	body   string
	whole  bool
	err    error
}

// turn is the request of a turn.
type turn struct {
	id, program, session, previous, input string
	after, resumes                        string
	prompt                                int
	budget                                int
}

// send sends a turn to a front. onEvent is called after each event; it ends the client attempt, by closing
// its connection, when it returns false.
func (s *site) send(f *front, t turn, onEvent func(n int) bool) answer {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	client := http.Client{Transport: transport, Timeout: 3200 * time.Millisecond}
	req, err := http.NewRequest(http.MethodPost, "http://"+f.callers+"/turn/x", strings.NewReader(t.input))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "site.example"
	h := req.Header
	h.Set("Request-Id", t.id)
	h.Set("Model", "m")
	h.Set("Deadline-Ms", "3000")
	h.Set("Program-Id", t.program)
	h.Set("Session-Id", t.session)
	h.Set("Program-Deadline-Ms", "60000")
	h.Set("Token-Usage", fmt.Sprintf("%d,%d", t.prompt, tokensAnEvent*s.events))
	if t.budget > 0 {
		h.Set("Token-Budget", strconv.Itoa(t.budget))
	}
	for name, value := range map[string]string{"Previous-Turn": t.previous, "Last-Event-Id": t.after, "Resumes": t.resumes} {
		if value != "" {
			h.Set(name, value)
		}
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	a := answer{status: resp.StatusCode, stamp: resp.Header.Get("Response-Stamp")}
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		a.body = strings.TrimSpace(string(body))
		return a
	}
	lines := bufio.NewReader(resp.Body)
	var e event
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.whole, a.err = err == io.EOF, err
			return a
		}
		line = strings.TrimRight(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			e.id = line[4:]
		case strings.HasPrefix(line, "data: "):
			e.data = line[6:]
		case line == "":
			a.events = append(a.events, e)
			e = event{}
			if onEvent != nil && !onEvent(len(a.events)) {
				a.err = fmt.Errorf("the client's connection is reset")
				return a
			}
		}
	}
}
