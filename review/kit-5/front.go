package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// network is the loopback network of the site.
var network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))

// front is a front machine with its process.
type front struct {
	name, zone, ip, callers, ready, settings string
	site                                     *site
	mu                                       sync.Mutex
	cmd                                      *exec.Cmd
	stopped                                  bool
	// peakMB is the most anonymous memory that any process of the machine held, in MiB, and overs how
	// often a process was killed for it.
	peakMB float64
	overs  int
	ended  int
	done   sync.WaitGroup
}

// fill fills deploy/front.ini in, as DEPLOY.md says.
func fill(text string, values map[string]string) string {
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		value, ok := values[m[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		return values[strings.Trim(s, "{}")]
	})
}

func newFront(s *site, index int, zone string) *front {
	ip := fmt.Sprintf("%s.%d", network, index+1)
	f := &front{site: s, name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone, ip: ip, callers: ip + ":8149", ready: ip + ":8141"}
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "front.ini"))
	must(err)
	text := fill(string(template), map[string]string{
		"node": f.name, "zone": zone, "bounds.grace_s": "8", "limits.memory_mb": strconv.Itoa(memoryMB), "limits.cpu_share": "0.8",
		"listen.front": f.callers, "listen.ready": f.ready, "ip": ip, "port_range.0": "7380", "platform.address": s.storeAddress,
		"platform.parts": "12", "platform.writes_per_s": "800", "platform.record_bytes": strconv.Itoa(recordBytes),
		"contracts": "base,drain,config,cost,recover,agent,stream,engine,platform",
	})
	f.settings = filepath.Join(s.dir, f.name+".ini")
	must(os.WriteFile(f.settings, []byte(text), 0o600))
	return f
}

// start starts the process of the machine, and starts it again whenever it ends, as the platform does.
func (f *front) start() {
	log, err := os.OpenFile(filepath.Join(f.site.dir, f.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(filepath.Join(f.site.root, "target", "lavendervaled"), "run")
	cmd.Env = append(os.Environ(), "LAVENDERVALE_BOOT="+f.settings)
	cmd.Stdout, cmd.Stderr, cmd.Dir = log, log, f.site.root
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	must(cmd.Start())
	f.cmd = cmd
	f.done.Add(1)
	go func() {
		defer f.done.Done()
		_ = cmd.Wait()
		_ = log.Close()
		f.mu.Lock()
		f.ended++
		again := !f.stopped
		f.mu.Unlock()
		if again {
			f.site.record.logf("process of %s has ended: %s", f.name, cmd.ProcessState)
			time.Sleep(300 * time.Millisecond)
			f.start()
		}
	}()
}

// signal sends a signal to the process of the machine.
func (f *front) signal(sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd != nil {
		_ = f.cmd.Process.Signal(sig)
	}
}

var anonymous = regexp.MustCompile(`RssAnon:\s+(\d+) kB`)

// memory returns the anonymous memory of the process in MiB. Pages of the program's file don't count.
func (f *front) memory() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	m := anonymous.FindSubmatch(status)
	if m == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(m[1]))
	mb := float64(kb) / 1024
	f.peakMB = max(f.peakMB, mb)
	return mb
}

// guard kills the process when it holds more memory than its machine has, as DEPLOY.md says.
func (f *front) guard() {
	if mb := f.memory(); mb > memoryMB {
		f.mu.Lock()
		f.overs++
		f.mu.Unlock()
		f.site.record.logf("%s holds %.0f MiB of %d MiB: killed", f.name, mb, memoryMB)
		f.signal(syscall.SIGKILL)
		time.Sleep(100 * time.Millisecond)
	}
}

// isReady asks the machine whether it is ready.
func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// stop ends the process for good.
func (f *front) stop() {
	f.mu.Lock()
	f.stopped = true
	f.mu.Unlock()
	f.signal(syscall.SIGKILL)
	f.done.Wait()
}

// listen opens a port on a loopback address of the site.
func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	return l
}
