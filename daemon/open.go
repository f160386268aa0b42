package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	// openRetryInterval is the time between two tries to open the listeners.
	openRetryInterval = 100 * time.Millisecond
	// openReportInterval is the time between two log lines on addresses that are in use.
	openReportInterval = 2 * time.Second
	// openMargin is how much longer than a stopping process may live the next one waits for its
	// addresses.
	openMargin = 2 * time.Second
)

// Open is like New, but while an address is in use it tries again until ctx ends, for
// somewhat longer than Config.StopTimeout: another process on it may be about to end.
func Open(ctx context.Context, c Config) (Process, error) {
	stopTimeout := c.StopTimeout
	if stopTimeout == 0 {
		stopTimeout = DefaultStopTimeout
	}
	return openWhenFree(ctx, c.Logger, stopTimeout+openMargin, func() (Process, error) { return New(c) })
}

// OpenFront is like NewFront, but while an address is in use it tries again until ctx ends, for
// somewhat longer than FrontConfig.GracePeriod: another process on it may be about to end.
func OpenFront(ctx context.Context, c FrontConfig) (*Front, error) {
	return openWhenFree(ctx, c.Logger, c.GracePeriod+openMargin, func() (*Front, error) { return NewFront(c) })
}

// openWhenFree repeats open while its error is that an address is in use, until timeout has
// passed or ctx ends. Between two tries no listener is open, so nobody waits for an answer.
func openWhenFree[T any](ctx context.Context, log *zap.Logger, timeout time.Duration, open func() (T, error)) (T, error) {
	if log == nil {
		log = zap.NewNop()
	}
	var reported time.Time
	for started := time.Now(); ; {
		opened, err := open()
		if !errors.Is(err, syscall.EADDRINUSE) {
			return opened, err
		}
		waited := time.Since(started)
		if waited >= timeout {
			log.Error("an address stays in use", zap.Error(err), zap.Duration("waited", waited))
			return opened, err
		}
		if time.Since(reported) >= openReportInterval {
			reported = time.Now()
			log.Warn("an address is in use, trying again", zap.Error(err), zap.Duration("waited", waited), zap.Duration("timeout", timeout))
		}
		if timer.Sleep(ctx, openRetryInterval) != nil {
			return opened, context.Cause(ctx)
		}
	}
}
