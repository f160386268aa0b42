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
	// quarantineStream is the stream of the platform's log that holds crash events.
	quarantineStream = "quarantine"
	// quarantinePageSize is the number of entries of that stream in one read.
	quarantinePageSize = 256
)

// crashLog is the platform's log, as a crashTracker uses it.
type crashLog interface {
	// Append adds an entry to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries of a stream, starting at the offset from. Its
	// error is of fleet.KindExpired when that offset has been trimmed; the page then
	// still has the first offset of the stream.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.LogPage, error)
}

// crashTracker tracks which requests crash engines. All homes reach the same verdicts:
// each appends its crash events to the quarantine stream and applies those of all homes.
type crashTracker struct {
	verdicts *quarantine.List
	log      crashLog
	logger   *zap.Logger
	// mu guards nextOffset, the offset of the first entry that was not read yet.
	mu         sync.Mutex
	nextOffset int64
}

func newCrashTracker(log crashLog, logger *zap.Logger) *crashTracker {
	return &crashTracker{verdicts: quarantine.NewList(), log: log, logger: logger}
}

// Verdict returns what the crash events read so far say about running a request.
func (c *crashTracker) Verdict(request program.Digest) quarantine.Verdict {
	return c.verdicts.Verdict(request)
}

// Report appends a crash event to the quarantine stream. It does not retry: after an
// error the event may have been appended, and a second one would count as another crash.
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

// follow applies new events at an interval until ctx ends.
func (c *crashTracker) follow(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		if err := c.readNew(ctx); err != nil {
			c.logger.Debug("reading the quarantine stream failed", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readNew applies all events that were not read yet.
func (c *crashTracker) readNew(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		page, err := c.log.Read(ctx, quarantineStream, c.nextOffset, quarantinePageSize)
		if err != nil && fleet.KindOf(err) != fleet.KindExpired {
			return err
		}
		if len(page.Entries()) == 0 {
			c.nextOffset = max(c.nextOffset, page.FirstOffset())
			return nil
		}
		for _, entry := range page.Entries() {
			c.nextOffset = entry.Offset() + 1
			event, err := record.DecodeCrash(entry.Data())
			if err != nil {
				c.logger.Error("decoding a crash event failed", zap.Int64("offset", entry.Offset()), zap.Error(err))
				continue
			}
			c.verdicts.Apply(event)
		}
	}
}
