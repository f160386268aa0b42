//go:build linux && cgo

package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// maxTracedStops bounds the stops of a traced process until the Go runtime has started.
const maxTracedStops = 10_000

// signalMasks matches a set of signals of a process that are ignored or have a handler.
var signalMasks = regexp.MustCompile(`(SigIgn|SigCgt):\s+([0-9a-f]+)`)

// traced is a process that stops at its exec, before its first instruction. All calls must come
// from the goroutine that has started it.
type traced struct {
	*exec.Cmd
	t *testing.T
}

// startTraced starts a process of this test binary, with SIGHUP ignored from before its exec on or not.
func startTraced(t *testing.T, ignored bool) traced {
	t.Helper()
	runtime.LockOSThread()
	t.Cleanup(runtime.UnlockOSThread)
	p := traced{t: t, Cmd: exec.Command(os.Args[0])}
	if ignored {
		p.Cmd = exec.Command("/bin/sh", "-c", `trap "" HUP; exec "$0"`, os.Args[0])
	}
	p.Env = append(os.Environ(), runSettingsEnv+"="+filepath.Join(t.TempDir(), "none"))
	p.SysProcAttr = &syscall.SysProcAttr{Ptrace: true}
	require.NoError(t, p.Start())
	t.Cleanup(func() {
		_ = p.Process.Kill()
		_ = p.Wait()
	})
	p.awaitStop(syscall.SIGTRAP)
	if ignored {
		require.NoError(t, syscall.PtraceCont(p.Process.Pid, 0))
		p.awaitStop(syscall.SIGTRAP)
	}
	return p
}

// awaitStop waits until the process stops at a signal.
func (p traced) awaitStop(signal syscall.Signal) {
	p.t.Helper()
	var status syscall.WaitStatus
	_, err := syscall.Wait4(p.Process.Pid, &status, 0, nil)
	require.NoError(p.t, err)
	require.True(p.t, status.Stopped() && status.StopSignal() == signal, "wait status %x", int(status))
}

// hangupHandling reports whether the process ignores SIGHUP, and whether it handles any signal.
func (p traced) hangupHandling() (ignored, handles bool) {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	require.NoError(p.t, err)
	masks := map[string]uint64{}
	for _, match := range signalMasks.FindAllStringSubmatch(string(status), -1) {
		masks[match[1]], err = strconv.ParseUint(match[2], 16, 64)
		require.NoError(p.t, err)
	}
	return masks["SigIgn"]&(1<<(syscall.SIGHUP-1)) != 0, masks["SigCgt"] != 0
}

// TestHangupIsIgnoredBeforeTheRuntimeStarts guards against an end by SIGHUP between the first code of
// the program and the handlers of the Go runtime, whose action for SIGHUP is to end the process.
func TestHangupIsIgnoredBeforeTheRuntimeStarts(t *testing.T) {
	p := startTraced(t, false)
	for range maxTracedStops {
		ignored, handles := p.hangupHandling()
		if ignored {
			return
		}
		require.False(t, handles, "the Go runtime handles signals and SIGHUP is not ignored")
		require.NoError(t, syscall.PtraceSyscall(p.Process.Pid, 0))
		p.awaitStop(syscall.SIGTRAP)
	}
	t.Fatal("the Go runtime did not start")
}

// TestHangupBeforeTheFirstInstruction shows the limit of what a process can do: SIGHUP before its first
// instruction ends it unless its starter ignores SIGHUP, which the exec keeps.
func TestHangupBeforeTheFirstInstruction(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		t.Run(fmt.Sprintf("ignored by the starter: %t", ignored), func(t *testing.T) {
			p := startTraced(t, ignored)
			require.NoError(t, p.Process.Signal(syscall.SIGHUP))
			require.NoError(t, syscall.PtraceCont(p.Process.Pid, 0))
			p.awaitStop(syscall.SIGHUP)
			require.NoError(t, syscall.PtraceSyscall(p.Process.Pid, int(syscall.SIGHUP)))
			if ignored {
				p.awaitStop(syscall.SIGTRAP)
				return
			}
			var status syscall.WaitStatus
			_, err := syscall.Wait4(p.Process.Pid, &status, 0, nil)
			require.NoError(t, err)
			require.True(t, status.Signaled() && status.Signal() == syscall.SIGHUP, "wait status %x", int(status))
		})
	}
}
