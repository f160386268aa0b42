package entry

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// instancesInterval is the time between two reads of the instance list.
	instancesInterval = time.Second
	// configurationInterval is the time between two reads of the configuration stream.
	configurationInterval = 500 * time.Millisecond
	// minReadSpacing is the least mean time between two reads of the same kind by all
	// entries together. It bounds the load on the platform however many entries run.
	minReadSpacing = 10 * time.Millisecond
	// maxEntriesPerRead bounds the log entries that one read returns.
	maxEntriesPerRead = 64
	// ConfigurationStream is the log stream that holds the published configurations.
	ConfigurationStream = "configuration"
)

// poll calls step every interval until ctx ends. The time between two calls grows with the
// number of entries, which bounds the rate of all entries together.
func (e *Entry) poll(ctx context.Context, interval time.Duration, step func(ctx context.Context)) {
	for ctx.Err() == nil {
		step(ctx)
		_ = timer.Sleep(ctx, max(interval, time.Duration(e.members.CountByRole(fleet.EntryRole))*minReadSpacing))
	}
}

func (e *Entry) pollInstances(ctx context.Context) {
	e.poll(ctx, instancesInterval, func(ctx context.Context) {
		instances, err := e.config.InstanceLister.Instances(ctx)
		if err != nil {
			e.config.Logger.Debug("reading the instance list failed", zap.Error(err))
			return
		}
		e.members.Update(instances, time.Now())
	})
}

func (e *Entry) pollConfiguration(ctx context.Context) {
	cursor := &configurationCursor{}
	e.poll(ctx, configurationInterval, func(ctx context.Context) {
		if err := e.readConfiguration(ctx, cursor); err != nil {
			cursor.unverified = true
			e.config.Logger.Debug("reading the configuration stream failed", zap.Error(err))
		}
	})
}

// configurationCursor is the position of an entry in the configuration stream, with what
// tells whether the log has restarted with lower offsets since.
type configurationCursor struct {
	nextOffset int64
	// firstOffset is the first retained offset of the latest page.
	firstOffset int64
	// last is the log entry before nextOffset, nil if none was read.
	last *fleet.LogEntry
	// unverified is set after a failed read, since the log may have restarted meanwhile.
	unverified bool
}

// readConfiguration applies the publications in the stream from the cursor on and advances
// it. Expired offsets are skipped. When the log has restarted, the stream is read from its
// start; what it held before is already applied.
func (e *Entry) readConfiguration(ctx context.Context, cursor *configurationCursor) error {
	for {
		page, err := e.readConfigurationPage(ctx, cursor.nextOffset, maxEntriesPerRead)
		if err != nil {
			return err
		}
		restarted := page.NextOffset() < cursor.nextOffset || page.FirstOffset() < cursor.firstOffset
		if !restarted && (cursor.unverified || len(page.Entries()) > 0) {
			if restarted, err = e.lastEntryReplaced(ctx, cursor); err != nil {
				return err
			}
		}
		if restarted {
			*cursor = configurationCursor{}
			continue
		}
		cursor.unverified = false
		cursor.firstOffset = page.FirstOffset()
		if len(page.Entries()) == 0 {
			cursor.nextOffset = max(cursor.nextOffset, page.FirstOffset())
			return nil
		}
		for _, entry := range page.Entries() {
			e.applyPublication(entry)
			cursor.nextOffset, cursor.last = entry.Offset()+1, &entry
		}
		if cursor.nextOffset >= page.NextOffset() {
			return nil
		}
	}
}

// lastEntryReplaced reports whether the log holds another entry in the place of the last one
// that was read, as a log does that has restarted and is as long as before or longer. Only
// new entries or a failed read are a reason to ask, because the entry is read again for it.
func (e *Entry) lastEntryReplaced(ctx context.Context, cursor *configurationCursor) (bool, error) {
	if cursor.last == nil {
		return false, nil
	}
	page, err := e.readConfigurationPage(ctx, cursor.last.Offset(), 1)
	if err != nil || len(page.Entries()) == 0 {
		return false, err
	}
	found := page.Entries()[0]
	if found.Offset() != cursor.last.Offset() {
		return false, nil
	}
	return !found.AppendedAt().Equal(cursor.last.AppendedAt()) || !bytes.Equal(found.Data(), cursor.last.Data()), nil
}

// readConfigurationPage reads the configuration stream. When the offset has expired, the page
// begins with the first retained one.
func (e *Entry) readConfigurationPage(ctx context.Context, offset int64, limit int) (fleet.LogPage, error) {
	page, err := e.config.Log.Read(ctx, ConfigurationStream, offset, limit)
	if err != nil && fleet.KindOf(err) != fleet.KindExpired {
		return fleet.LogPage{}, err
	}
	return page, nil
}

// applyPublication applies one log entry. An entry that is malformed or refused is logged
// and skipped.
func (e *Entry) applyPublication(entry fleet.LogEntry) {
	publication, err := e.config.PublicationCodec.Decode(entry.Data())
	if err != nil {
		e.config.Logger.Error("decoding a publication failed", zap.Int64("offset", entry.Offset()), zap.Error(err))
		return
	}
	record := configuration.NewRecord(configuration.RecordConfig{
		Offset: entry.Offset(), Base: publication.Base, Author: publication.Author, Text: publication.Text, Time: entry.AppendedAt(),
	})
	if err := e.config.Configurations.Apply(record); err != nil {
		e.config.Logger.Warn("publication refused", zap.Int64("offset", entry.Offset()), zap.Error(err))
		return
	}
	version := e.config.Configurations.Version()
	if decision, ok := e.config.Configurations.DecisionAt(entry.Offset()); ok {
		version = decision.Record.Version()
	}
	e.config.Logger.Info("configuration in force", zap.Int64("version", version), zap.Int64("offset", entry.Offset()), zap.String("author", publication.Author))
}
