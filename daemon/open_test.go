package daemon

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestListenersAreOpenedWhenTheirAddressesAreFree(t *testing.T) {
	inUse := fmt.Errorf("listen: %w", syscall.EADDRINUSE)
	stopped, denied := errors.New("stopped"), fmt.Errorf("listen: %w", syscall.EACCES)
	tests := []struct {
		name             string
		freeAfter        time.Duration
		stopAfter        time.Duration
		err, want        error
		elapsed          time.Duration
		warnings, errors int
	}{
		{name: "free", want: nil},
		{name: "free after five seconds", freeAfter: 5 * time.Second, err: inUse, elapsed: 5 * time.Second, warnings: 3},
		{name: "never free", freeAfter: time.Hour, err: inUse, want: inUse, elapsed: 10 * time.Second, warnings: 5, errors: 1},
		{name: "stopped meanwhile", freeAfter: time.Hour, stopAfter: 3050 * time.Millisecond, err: inUse, want: stopped, elapsed: 3050 * time.Millisecond, warnings: 2},
		{name: "other error", freeAfter: time.Hour, err: denied, want: denied},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancelCause(t.Context())
				if test.stopAfter > 0 {
					time.AfterFunc(test.stopAfter, func() { cancel(stopped) })
				}
				defer cancel(nil)
				core, lines := observer.New(zap.InfoLevel)
				began := time.Now()
				opened, err := openWhenFree(ctx, zap.New(core), 10*time.Second, func() (string, error) {
					if time.Since(began) < test.freeAfter {
						return "", test.err
					}
					return "opened", nil
				})
				require.ErrorIs(t, err, test.want)
				require.Equal(t, err == nil, opened == "opened")
				require.Equal(t, test.elapsed, time.Since(began))
				require.Equal(t, test.warnings, lines.FilterLevelExact(zap.WarnLevel).Len())
				require.Equal(t, test.errors, lines.FilterLevelExact(zap.ErrorLevel).Len())
			})
		})
	}
}
