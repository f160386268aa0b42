package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

const (
	host = "ficu95.example"
	// memoryMB is the memory of a front of the site omuti.
	memoryMB = 154
	// startTimeout bounds the start of a front.
	startTimeout = 20 * time.Second
)

// site is a small deployment: the platform's store, servers and fronts as processes.
type site struct {
	record  *record
	store   *platformStore
	address string
	folder  string
	fronts  []*front
	closers []func()
}

// record is record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.2f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func newSite(r *record, retention time.Duration) (*site, error) {
	folder, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return nil, err
	}
	s := &site{record: r, store: newPlatformStore(retention), folder: folder}
	s.closers = append(s.closers, func() { _ = os.RemoveAll(folder) })
	s.address, err = s.serve(s.store)
	return s, err
}

// serve serves a stand-in on a free port of loopback and returns its address.
func (s *site) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener) }()
	s.closers = append(s.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// close ends all processes that the site has started.
func (s *site) close() {
	for _, f := range s.fronts {
		f.kill()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// limits are those that the example of the site's configuration has.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

// configure publishes a configuration.
func (s *site) configure(version int, routes, services []map[string]any) {
	s.store.put("keyed.op", "config", map[string]any{"version": version, "routes": routes, "services": services, "limits": limits()})
}

func engineService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 8, "kv_capacity": 90990, "chunk_tokens": 13}}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}
}

// register registers a server and keeps its entry fresh.
func (s *site) register(id, service, address string, slots int) {
	started := time.Now().UnixMilli()
	put := func(seq int) {
		s.store.put("keyed.servers", id, map[string]any{"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots,
			"state": "ready", "cold_left_ms": 0, "seq": seq, "born": started})
	}
	put(1)
	stop := make(chan struct{})
	s.closers = append(s.closers, func() { close(stop) })
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
				put(seq)
			}
		}
	}()
}

// front is a process of the role front.
type front struct {
	name, zone, settings, callers, ready, metrics string
	command                                       *exec.Cmd
	log                                           string
	done                                          chan struct{}
}

// freePorts returns ports that are free at an address of loopback.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// addFront starts a front with the template of the deploy file, filled in as the platform does.
func (s *site) addFront(name, zone string) (*front, error) {
	// An address of its own, so that no other connection takes a port before the front does.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return ip + ":" + strconv.Itoa(ports[i]) }
	f := &front{name: name, zone: zone, settings: filepath.Join(s.folder, name+".ini"), log: filepath.Join(s.folder, name+".log"), callers: at(0), ready: at(1), metrics: at(3)}
	settings := fmt.Sprintf(`[process]
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
`, name, zone, memoryMB, at(0), at(1), at(2), at(3), s.address)
	if err := os.WriteFile(f.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	s.fronts = append(s.fronts, f)
	return f, f.start()
}

func (f *front) start() error {
	out, err := os.OpenFile(f.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	f.command = exec.Command("target/lavendervaled", "run")
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERVALE_BOOT=" + f.settings}
	f.command.Stdout, f.command.Stderr = out, out
	if err := f.command.Start(); err != nil {
		return err
	}
	command, done := f.command, make(chan struct{})
	f.done = done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// awaitReady waits until the front answers its readiness check with 200.
func (f *front) awaitReady() error {
	for began := time.Now(); time.Since(began) < startTimeout; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + f.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("front %s is not ready after %s", f.name, startTimeout)
}

// kill ends the process with SIGKILL.
func (f *front) kill() {
	if f.command == nil || f.command.Process == nil {
		return
	}
	_ = f.command.Process.Signal(syscall.SIGKILL)
	<-f.done
}

func (f *front) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

// residentKB returns the resident memory of the process and its peak.
func (f *front) residentKB() (now, peak int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			now, _ = strconv.Atoi(fields[1])
		case "VmHWM:":
			peak, _ = strconv.Atoi(fields[1])
		}
	}
	return now, peak
}

// warnings writes the lines of the front's log above the level info to the record, at most some.
func (f *front) warnings(r *record, most int) {
	file, err := os.Open(f.log)
	if err != nil {
		return
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for n := 0; scanner.Scan() && n < most; {
		var line struct {
			Level string `json:"level"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Level != "info" && line.Level != "INFO" {
			r.line("log of %s: %.400s", f.name, scanner.Text())
			n++
		}
	}
}
