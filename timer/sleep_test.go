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
		{name: "whole", timeout: time.Minute, sleep: time.Second, elapsed: time.Second},
		{name: "cut short", timeout: time.Second, sleep: time.Minute, elapsed: time.Second, err: context.DeadlineExceeded},
		{name: "nothing", timeout: time.Second},
		{name: "nothing, ended before", sleep: -time.Second, err: context.DeadlineExceeded},
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
