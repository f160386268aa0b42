package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/timer"
)

func TestSleep(t *testing.T) {
	tests := []struct {
		name    string
		timeout time.Duration
		sleep   time.Duration
		elapsed time.Duration
		err     error
	}{
		{name: "full duration", timeout: time.Minute, sleep: time.Second, elapsed: time.Second},
		{name: "context ends first", timeout: time.Second, sleep: time.Minute, elapsed: time.Second, err: context.DeadlineExceeded},
		{name: "zero duration", timeout: time.Second},
		{name: "context already ended", sleep: -time.Second, err: context.DeadlineExceeded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				started := time.Now()
				require.ErrorIs(t, timer.Sleep(ctx, test.sleep), test.err)
				require.Equal(t, test.elapsed, time.Since(started))
			})
		})
	}
}
