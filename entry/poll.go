package entry

import (
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
	nextOffset := int64(0)
	e.poll(ctx, configurationInterval, func(ctx context.Context) {
		var err error
		if nextOffset, err = e.readConfiguration(ctx, nextOffset); err != nil {
			e.config.Logger.Debug("reading the configuration stream failed", zap.Error(err))
		}
	})
}

// readConfiguration applies the publications in the stream from nextOffset on and returns
// the offset to continue from. Expired offsets are skipped.
func (e *Entry) readConfiguration(ctx context.Context, nextOffset int64) (int64, error) {
	for {
		page, err := e.config.Log.Read(ctx, ConfigurationStream, nextOffset, maxEntriesPerRead)
		if err != nil && fleet.KindOf(err) != fleet.KindExpired {
			return nextOffset, err
		}
		if page.NextOffset() < nextOffset {
			// The log restarted with lower offsets; what it held before is already applied.
			nextOffset = 0
			continue
		}
		if len(page.Entries()) == 0 {
			return max(nextOffset, page.FirstOffset()), nil
		}
		for _, entry := range page.Entries() {
			e.applyPublication(entry)
			nextOffset = entry.Offset() + 1
		}
	}
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
