package soak

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settingsPathEnv is the environment variable that names the settings file of a process.
const settingsPathEnv = "LAVENDERVALE_BOOT"

// process is a process of a front.
type process struct {
	name, started, logPath string
	cmd                    *exec.Cmd
	startedAt              time.Time
	done                   chan struct{}
	// mu guards the fields below.
	mu sync.Mutex
	// killed and stopped are set once the process was sent SIGKILL and SIGTERM.
	killed, stopped bool
	paused          int
	ready           bool
	// stay is how long the front is down after the process, zero for the usual time.
	stay time.Duration
	// before is the level when the process became ready, held the last one.
	before, held level
}

// startProcess starts the binary with a settings file. If pipeSpan is not zero, its standard
// output is a pipe whose reader closes after that.
func startProcess(binary, settings, name, started, logPath string, pipeSpan time.Duration) (*process, error) {
	logFile, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Errorf("start front", KindSystem, "%w", err)
	}
	defer func() { _ = logFile.Close() }()
	p := &process{name: name, started: started, logPath: logPath, cmd: exec.Command(binary, "run"), done: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsPathEnv + "=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	// The processes end with the soak, however it ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var reader, writer *os.File
	if pipeSpan > 0 {
		if reader, writer, err = os.Pipe(); err != nil {
			return nil, Errorf("start front", KindSystem, "%w", err)
		}
		p.cmd.Stdout = writer
	}
	p.startedAt = time.Now()
	err = p.cmd.Start()
	if writer != nil {
		_ = writer.Close()
		go drain(reader, logPath, pipeSpan)
	}
	if err != nil {
		return nil, Errorf("start front", KindSystem, "%w", err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// drain copies the output of a process to its log file for a while and then closes the pipe.
func drain(reader *os.File, logPath string, span time.Duration) {
	time.AfterFunc(span, func() { _ = reader.Close() })
	logFile, err := os.OpenFile(logPath, os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer func() { _ = logFile.Close() }()
	_, _ = io.Copy(logFile, reader)
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal that the schedule draws.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended() {
		return
	}
	switch {
	case s == syscall.SIGKILL:
		p.killed = true
	case s == syscall.SIGTERM:
		p.stopped = true
	}
	_ = p.cmd.Process.Signal(s)
}

// pause stops the process for a while; pauses may overlap.
func (p *process) pause(span time.Duration) {
	change := func(by int, s syscall.Signal) {
		p.mu.Lock()
		p.paused += by
		still := p.paused > 0
		p.mu.Unlock()
		if by > 0 || !still {
			p.signal(s)
		}
	}
	change(1, syscall.SIGSTOP)
	time.Sleep(span)
	change(-1, syscall.SIGCONT)
}

// becomeReady notes that the process is ready, and what it holds.
func (p *process) becomeReady() {
	held := p.measure()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready, p.before = true, held
}

func (p *process) isReady() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// runs reports whether the process runs and is not paused.
func (p *process) runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ended() && p.paused == 0
}

// ending returns how the process ended, or how it is now.
func (p *process) ending() ending {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := ending{started: p.started, running: !p.ended(), ran: time.Since(p.startedAt), killed: p.killed, stopped: p.stopped, ready: p.ready}
	if !e.running {
		e.status, _ = p.cmd.ProcessState.Sys().(syscall.WaitStatus)
	}
	return e
}

// measure returns what the process holds of the machine.
func (p *process) measure() level {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	var l level
	if entries, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil {
		l.files = len(entries)
	}
	data, _ := os.ReadFile(filepath.Join(dir, "status"))
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			l.peakMB = (kb + 1023) / 1024
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held = level{files: l.files, peakMB: max(p.held.peakMB, l.peakMB)}
	return p.held
}

// lastLines returns the end of the log of the process.
func (p *process) lastLines(count int) string {
	data, _ := os.ReadFile(p.logPath)
	lines := strings.Split(strings.TrimRight(string(data), "\n"), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}
