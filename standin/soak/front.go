package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/lavendervale/lavendervale/standin/wire"
)

const (
	// restartDelay is the time until a process that has ended starts again.
	restartDelay = 300 * time.Millisecond
	// grace is the time that a process has to end after SIGTERM.
	grace = 8 * time.Second
	// watchInterval is the time between two looks at a process.
	watchInterval = 100 * time.Millisecond
	// keptLines is the number of log lines that are kept of a process that failed.
	keptLines = 50
)

// front is a front of the site with its processes, one after the other or overlapping.
type front struct {
	site                           *site
	config                         Config
	name                           string
	callers, ready, peers, metrics string
	settings, text                 string
	relay                          *wire.Relay
	watchers                       sync.WaitGroup
	// mu guards the fields below.
	mu      sync.Mutex
	current *process
	live    map[*process]bool
	count   int
	closed  bool
	// harmedUntil is when the last fault of the connections to the store ends.
	harmedUntil time.Time
}

// launch tells in which way a process is started.
type launch struct {
	name     string
	pipeSpan time.Duration
	// partial is the part of the settings that the file holds for partialSpan.
	partial     float64
	partialSpan time.Duration
}

// network is the loopback network of the fronts, so that no port is taken by another process.
var network = fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))

// newFront writes the settings of a front.
func newFront(s *site, config Config, index int, storeAddress string) (*front, error) {
	relay, err := wire.New(storeAddress)
	if err != nil {
		return nil, Errorf("start front", KindSystem, "%w", err)
	}
	f := &front{site: s, config: config, name: fmt.Sprintf("front-%d", index), relay: relay, live: map[*process]bool{}}
	addresses, err := freeAddresses(fmt.Sprintf("%s.%d", network, index+1), 4)
	if err != nil {
		return nil, err
	}
	f.callers, f.ready, f.peers, f.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	f.settings = filepath.Join(s.dir, f.name+".ini")
	f.text = fmt.Sprintf(`[process]
role = front
name = %s
domain = %s
grace = %s
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

[log]
level = info
format = json
`, f.name, domains[index%len(domains)], grace, memoryMB, f.callers, f.ready, f.peers, f.metrics, relay.Address())
	return f, f.writeSettings(1)
}

// writeSettings writes the first part of the settings file.
func (f *front) writeSettings(part float64) error {
	if err := os.WriteFile(f.settings, []byte(f.text[:int(part*float64(len(f.text)))]), 0o600); err != nil {
		return Errorf("write settings", KindSystem, "%w", err)
	}
	return nil
}

// freeAddresses returns addresses of a loopback IP whose ports are free for TCP and UDP.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range 50 {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, Errorf("find ports", KindSystem, "%w", err)
		}
		defer func() { _ = listener.Close() }()
		packets, err := net.ListenPacket("udp", listener.Addr().String())
		if err != nil {
			continue
		}
		_ = packets.Close()
		if addresses = append(addresses, listener.Addr().String()); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, Errorf("find ports", KindSystem, "no %d ports are free for TCP and UDP", count)
}

// start starts a process, which becomes the current one, unless another one has followed after.
func (f *front) start(how launch, after *process) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.current != after {
		return nil
	}
	if f.livingLocked() > 0 {
		how.name += " beside a predecessor"
	}
	if how.partialSpan > 0 {
		if err := f.writeSettings(how.partial); err != nil {
			return err
		}
		time.AfterFunc(how.partialSpan, func() { _ = f.writeSettings(1) })
	}
	f.count++
	name := fmt.Sprintf("%s.%d", f.name, f.count)
	p, err := startProcess(f.config.Binary, f.settings, name, how.name, filepath.Join(f.site.dir, name+".log"), how.pipeSpan)
	if err != nil {
		return err
	}
	f.current, f.live[p] = p, true
	f.site.logf("start %s (%s)", name, how.name)
	f.watchers.Go(func() { f.watch(p) })
	return nil
}

// process returns the current process.
func (f *front) process() *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// currentName returns the name of the only process that lives, or "".
func (f *front) currentName() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.livingLocked() != 1 {
		return ""
	}
	return f.current.name
}

// livingLocked returns the number of processes that have not ended. f.mu must be held.
func (f *front) livingLocked() (count int) {
	for p := range f.live {
		if !p.ended() {
			count++
		}
	}
	return count
}

// isReady asks the front whether it is ready.
func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// harm notes that the connections to the store are harmed for a while.
func (f *front) harm(span time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if ends := time.Now().Add(span); ends.After(f.harmedUntil) {
		f.harmedUntil = ends
	}
}

func (f *front) harmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.harmedUntil)
}

// watch follows a process to its end, checks it, and starts the next one.
func (f *front) watch(p *process) {
	unready, draining, looks, overMemory := time.Duration(0), time.Duration(0), 0, false
	for ended := false; !ended; {
		select {
		case <-p.done:
			ended = true
			continue
		case <-time.After(watchInterval):
		}
		if !p.runs() {
			continue
		}
		if looks++; looks%5 == 0 && !overMemory {
			if wrong := p.measure().memoryFault(); wrong != "" {
				overMemory = true
				f.site.observer.report("FAULT", "%s %s", p.name, wrong)
			}
		}
		if p.ending().stopped {
			if draining += watchInterval; draining > grace+f.config.GraceSlack {
				e := p.ending()
				e.overdue = true
				f.check(p, e)
				p.signal(syscall.SIGKILL)
				<-p.done
			}
			continue
		}
		if p.isReady() {
			continue
		}
		if f.isReady() {
			p.becomeReady()
			f.site.logf("%s is ready", p.name)
		} else if f.site.storeCalm() && !f.harmed() {
			if unready += watchInterval; unready == f.config.ReadyTime {
				e := p.ending()
				e.unready = true
				f.check(p, e)
			}
		}
	}
	e := p.ending()
	f.site.logf("%s has ended: %s", p.name, p.cmd.ProcessState)
	f.check(p, e)
	f.mu.Lock()
	delete(f.live, p)
	f.mu.Unlock()
	p.mu.Lock()
	delay := max(restartDelay, p.stay)
	p.mu.Unlock()
	for down := time.Duration(0); down < delay && f.isDownAfter(p); down += watchInterval {
		time.Sleep(watchInterval)
	}
	if err := f.start(launch{name: "again"}, p); err != nil {
		f.site.observer.report("FAULT", "%s can't be started again: %v", f.name, err)
	}
}

// isDownAfter reports whether no process has followed p yet, and one may.
func (f *front) isDownAfter(p *process) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current == p && !f.closed
}

// check reports what is wrong about the ending of a process, and keeps the end of its log.
func (f *front) check(p *process, e ending) {
	wrong := e.fault()
	if wrong == "" {
		return
	}
	f.site.observer.report("FAULT", "%s %s", p.name, wrong)
	_ = os.WriteFile(p.logPath+".last", []byte(p.lastLines(keptLines)+"\n"), 0o600)
}

// close stops the front and waits until its processes have ended.
func (f *front) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	if p := f.process(); p != nil {
		p.signal(syscall.SIGTERM)
	}
	f.watchers.Wait()
}
