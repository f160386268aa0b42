package main

import (
	"fmt"
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
	// restartDelay is the platform's delay until an ended process starts again.
	restartDelay = 300 * time.Millisecond
	// memoryMB is memory_mb of the settings.
	memoryMB = 154
)

// front is a process of the deploy file's role "front".
type front struct {
	name, zone                      string
	callers, ready, peers, metrics  string
	binary, dir, settings, storeURL string
	shards                          int
	mu                              sync.Mutex
	cmd                             *exec.Cmd
	startedAt                       time.Time
	done                            chan struct{}
}

// freeAddresses returns addresses of a loopback IP with ports that are free for TCP and UDP, all different.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range 50 {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		packet, err := net.ListenPacket("udp", listener.Addr().String())
		if err != nil {
			continue
		}
		_ = packet.Close()
		if addresses = append(addresses, listener.Addr().String()); len(addresses) == count {
			return addresses, nil
		}
	}
	return nil, fmt.Errorf("no %d ports are free for TCP and UDP", count)
}

// newFront writes the settings of a front, whose machine has a loopback IP of its own.
func newFront(binary, dir, name, zone, ip, store string, shards int) (*front, error) {
	f := &front{name: name, zone: zone, binary: binary, dir: dir, storeURL: store, shards: shards}
	addresses, err := freeAddresses(ip, 4)
	if err != nil {
		return nil, err
	}
	f.callers, f.ready, f.peers, f.metrics = addresses[0], addresses[1], addresses[2], addresses[3]
	f.settings = filepath.Join(dir, name+".ini")
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
shards = %d
writes = 800

[log]
level = info
format = json
`, name, zone, memoryMB, f.callers, f.ready, f.peers, f.metrics, store, shards)
	return f, os.WriteFile(f.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (f *front) start() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.done != nil {
		select {
		case <-f.done:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(filepath.Join(f.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(f.binary, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERVALE_BOOT=" + f.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	f.cmd, f.startedAt, f.done = cmd, time.Now(), done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (f *front) signal(s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd != nil {
		_ = f.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (f *front) kill() {
	f.signal(syscall.SIGKILL)
	f.mu.Lock()
	done := f.done
	f.mu.Unlock()
	if done != nil {
		<-done
	}
}

// isReady asks the front whether it is ready, as the platform does.
func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + f.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all fronts are ready.
func awaitReady(fronts []*front, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, f := range fronts {
		for !f.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("front %s is not ready within %s", f.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// memory returns the resident memory of the process in MiB.
func (f *front) memory() float64 {
	f.mu.Lock()
	cmd := f.cmd
	f.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}
