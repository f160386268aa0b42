package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings of a machine of class front, as on the sheet of the site omuti.
const (
	memoryMB     = 154
	restartDelay = 500 * time.Millisecond
	watchEvery   = 20 * time.Millisecond
	readyEvery   = 200 * time.Millisecond
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
	resident    = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)
	peak        = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
)

// front is a machine of class front with one process of the deploy file's role.
type front struct {
	site                     *site
	name, zone, ip, settings string
	callers, ready           string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	started                  int
	closed                   bool
	held, running            bool
	// killedForMemory counts the kills by the platform; ownEnds those by the process itself.
	killedForMemory, ownEnds int
	expected                 bool
	peakKB                   int
	watchers                 sync.WaitGroup
}

// fill fills in the template of the deploy file.
func fill(text string, values map[string]string) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		value, ok := values[m[1]]
		if !ok {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string { return values[placeholder.FindStringSubmatch(s)[1]] })
}

// newFront writes the settings file of a machine.
func newFront(s *site, index int, zone string) (*front, error) {
	f := &front{site: s, name: fmt.Sprintf("front-%s-%d", zone, index), zone: zone, ip: fmt.Sprintf("%s.%d", s.network, 20+index)}
	f.callers, f.ready = f.ip+":8149", f.ip+":8141"
	template, err := os.ReadFile("deploy/front.ini")
	if err != nil {
		return nil, err
	}
	text := fill(string(template), map[string]string{
		"node": f.name, "zone": zone, "bounds.grace_s": "8", "limits.memory_mb": strconv.Itoa(memoryMB), "limits.cpu_share": "0.8",
		"listen.front": f.callers, "listen.ready": f.ready, "ip": f.ip, "port_range.0": "7380", "platform.address": s.store.address,
		"platform.parts": "12", "platform.writes_per_s": "800", "platform.record_bytes": strconv.Itoa(recordBytes),
		"contracts": "base,drain,config,cost,recover,agent,stream,engine,platform",
	})
	f.settings = filepath.Join(s.dir, f.name+".ini")
	return f, os.WriteFile(f.settings, []byte(text), 0o600)
}

// start starts the process of the machine with the command of the deploy file.
func (f *front) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.held || f.running {
		return nil
	}
	f.started++
	log, err := os.Create(filepath.Join(f.site.dir, fmt.Sprintf("%s.%d.log", f.name, f.started)))
	if err != nil {
		return err
	}
	cmd := exec.Command("target/lavendervaled", "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.site.dir, "LAVENDERVALE_BOOT=" + f.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.cmd, f.expected, f.running = cmd, false, true
	f.site.record.printf("start %s (process %d of the machine)", f.name, f.started)
	f.watchers.Go(func() { f.watch(cmd, log) })
	return nil
}

// watch acts as the platform: it kills a process that exceeds the memory of its machine, and starts
// the next one after an end.
func (f *front) watch(cmd *exec.Cmd, log *os.File) {
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	overMemory := false
	for ended := false; !ended; {
		select {
		case <-done:
			ended = true
			continue
		case <-time.After(watchEvery):
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
		if err != nil {
			continue
		}
		kb := number(resident, status)
		f.mu.Lock()
		f.peakKB = max(f.peakKB, number(peak, status))
		f.mu.Unlock()
		if kb > memoryMB<<10 && !overMemory {
			overMemory = true
			f.site.record.printf("%s: %d kB resident, over the %d MB of its machine: killed", f.name, kb, memoryMB)
			_ = cmd.Process.Kill()
		}
	}
	_ = log.Close()
	f.mu.Lock()
	f.running = false
	switch {
	case overMemory:
		f.killedForMemory++
	case !f.expected:
		f.ownEnds++
		f.site.record.printf("%s has ended by itself: %s", f.name, cmd.ProcessState)
	}
	f.mu.Unlock()
	time.Sleep(restartDelay)
	if err := f.start(); err != nil {
		f.site.record.printf("%s can't be started: %v", f.name, err)
	}
}

func number(pattern *regexp.Regexp, text []byte) int {
	m := pattern.FindSubmatch(text)
	if m == nil {
		return 0
	}
	n, _ := strconv.Atoi(string(m[1]))
	return n
}

// kill ends the process as a loss of power does. The next one starts once release is called.
func (f *front) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held, f.expected = true, true
	if f.cmd != nil {
		_ = f.cmd.Process.Kill()
	}
}

// release starts the machine again.
func (f *front) release() error {
	f.mu.Lock()
	f.held = false
	f.mu.Unlock()
	return f.start()
}

// isReady asks the machine as the platform does.
func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + f.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends the process of the machine.
func (f *front) close() {
	f.mu.Lock()
	f.closed, f.expected = true, true
	if f.cmd != nil {
		_ = f.cmd.Process.Kill()
	}
	f.mu.Unlock()
	f.watchers.Wait()
}
