package soak

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// memoryMB is the limit of resident memory of a front.
	memoryMB = 154
	// spareFiles is by how many open files a front may exceed its level at the end of a run.
	spareFiles = 100
)

// ending is how a process of a front ended, or what it did not do.
type ending struct {
	// started tells in which way the process was started.
	started string
	status  syscall.WaitStatus
	// running is set while the process has not ended.
	running bool
	// ran is how long the process ran.
	ran time.Duration
	// killed is set if the schedule sent SIGKILL.
	killed bool
	// stopped is set if the schedule sent SIGTERM.
	stopped bool
	// ready is set if the process had become ready, and so had installed its handlers.
	ready bool
	// overdue is set if the process still ran after the grace period.
	overdue bool
	// unready is set if the process did not become ready in time.
	unready bool
}

// fault returns what is wrong about the ending, or "".
func (e ending) fault() string {
	describe := func(text string) string {
		return fmt.Sprintf("%s, %s after its start (started: %s)", text, e.ran.Round(time.Millisecond), e.started)
	}
	switch {
	case e.unready:
		return describe("is not ready")
	case e.overdue:
		return describe("has not ended within the grace period")
	case e.running || e.killed && e.status.Signaled() && e.status.Signal() == syscall.SIGKILL:
		return ""
	case e.status.Signaled() && e.status.Signal() == syscall.SIGTERM && e.stopped && !e.ready:
		return ""
	case e.status.Signaled():
		return describe(fmt.Sprintf("was ended by the signal %q", e.status.Signal()))
	case e.status.ExitStatus() != 0:
		return describe(fmt.Sprintf("exited with code %d", e.status.ExitStatus()))
	case !e.stopped:
		return describe("exited by itself")
	}
	return ""
}

// level is what a process holds of the machine: open files now, and the most resident memory so far.
type level struct{ files, peakMB int }

// memoryFault returns what is wrong about the memory of a process, or "".
func (l level) memoryFault() string {
	if l.peakMB > memoryMB {
		return fmt.Sprintf("held %d MB of memory, allowed are %d", l.peakMB, memoryMB)
	}
	return ""
}

// filesFault returns what is wrong about the level after the callers have gone, or "". before is the
// level when the process became ready.
func (l level) filesFault(before level) string {
	if l.files > before.files+spareFiles {
		return fmt.Sprintf("holds %d open files after its callers have gone, %d when it became ready", l.files, before.files)
	}
	return ""
}
