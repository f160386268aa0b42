package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
)

const (
	// quarantineStream is the stream of the log that crashes are reported on.
	quarantineStream   = "quarantine"
	quarantinePageSize = 256
)

// crashLog is what crashes need of the platform's log.
type crashLog interface {
	// Append adds data to a stream.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns entries of a stream from an offset on.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.Page, error)
}

// crashes follows the quarantine stream and reports to it.
type crashTracker struct {
	verdicts   *quarantine.List
	log        crashLog
	logger     *zap.Logger
	mu         sync.Mutex
	nextOffset int64
}

func newCrashTracker(log crashLog, logger *zap.Logger) *crashTracker {
	return &crashTracker{verdicts: quarantine.NewList(), log: log, logger: logger}
}

// Verdict returns what is known of a request.
func (c *crashTracker) Verdict(request program.Digest) quarantine.Verdict {
	return c.verdicts.Verdict(request)
}

// Report appends an event; an event that may have been appended is not
// appended again, since a second one would count twice.
func (c *crashTracker) Report(ctx context.Context, event quarantine.Event) error {
	data, err := record.EncodeCrash(event)
	if err != nil {
		return err
	}
	if _, err := c.log.Append(ctx, quarantineStream, data); err != nil {
		return err
	}
	return c.readNew(ctx)
}

// follow reads the stream at an interval until ctx ends.
func (c *crashTracker) follow(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := c.readNew(ctx); err != nil {
			c.logger.Debug("quarantine stream can't be read", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sync applies what the stream holds beyond what was read.
func (c *crashTracker) readNew(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		page, err := c.log.Read(ctx, quarantineStream, c.nextOffset, quarantinePageSize)
		if err != nil && fleet.KindOf(err) != fleet.KindExpired {
			return err
		}
		if len(page.Entries()) == 0 {
			c.nextOffset = max(c.nextOffset, page.First())
			return nil
		}
		for _, entry := range page.Entries() {
			c.nextOffset = entry.Offset() + 1
			event, err := record.DecodeCrash(entry.Data())
			if err != nil {
				c.logger.Error("crash can't be read", zap.Int64("offset", entry.Offset()), zap.Error(err))
				continue
			}
			c.verdicts.Apply(event)
		}
	}
}
