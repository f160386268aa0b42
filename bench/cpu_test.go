package bench

import (
	"syscall"
	"time"
)

// cpuTime returns the user and system time that this process has used, or 0 if it
// is not available.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
