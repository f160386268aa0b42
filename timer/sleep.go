package timer

import (
	"context"
	"time"
)

// Sleep waits for d and returns nil, or returns ctx.Err() as soon as ctx ends. If d is 0 or
// negative, it returns ctx.Err() without waiting.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
