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
	// listInterval is the time between two reads of the instance list.
	listInterval = time.Second
	// followInterval is the time between two reads of the configuration stream.
	followInterval = 500 * time.Millisecond
	// readSpacing is the least mean time between two reads of the same kind by
	// all entries together.
	readSpacing = 10 * time.Millisecond
	// followLimit bounds the entries of one read.
	followLimit = 64
	// ConfigurationStream is the stream that operators publish on.
	ConfigurationStream = "configuration"
)

// every calls f at an interval until ctx ends; the interval grows with the
// number of entries, so that the reads of all together are bounded.
func (e *Entry) every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		_ = timer.Sleep(ctx, max(interval, time.Duration(e.members.Count(fleet.EntryRole))*readSpacing))
	}
}

func (e *Entry) followInstances(ctx context.Context) {
	e.every(ctx, listInterval, func(ctx context.Context) {
		list, err := e.config.Lister.Instances(ctx)
		if err != nil {
			e.config.Logger.Debug("instance list can't be read", zap.Error(err))
			return
		}
		e.members.Update(list, time.Now())
	})
}

func (e *Entry) followConfiguration(ctx context.Context) {
	next := int64(0)
	e.every(ctx, followInterval, func(ctx context.Context) {
		var err error
		if next, err = e.readConfiguration(ctx, next); err != nil {
			e.config.Logger.Debug("configuration stream can't be read", zap.Error(err))
		}
	})
}

// readConfiguration applies what the stream holds from an offset on and
// returns the offset to go on from.
func (e *Entry) readConfiguration(ctx context.Context, next int64) (int64, error) {
	for {
		page, err := e.config.Log.Read(ctx, ConfigurationStream, next, followLimit)
		if err != nil && fleet.KindOf(err) != fleet.KindExpired {
			return next, err
		}
		if page.Next() < next {
			// The log has begun anew: what it held before is in force already.
			next = 0
			continue
		}
		if len(page.Entries()) == 0 {
			return max(next, page.First()), nil
		}
		for _, entry := range page.Entries() {
			e.applyPublication(entry)
			next = entry.Offset() + 1
		}
	}
}

func (e *Entry) applyPublication(entry fleet.Entry) {
	p, err := e.config.Records.Decode(entry.Data())
	if err != nil {
		e.config.Logger.Error("publication can't be read", zap.Int64("offset", entry.Offset()), zap.Error(err))
		return
	}
	r := configuration.NewRecord(configuration.RecordConfig{
		Offset: entry.Offset(), Base: p.Base, Author: p.Author, Text: p.Text, Time: entry.Time(),
	})
	if err := e.config.Configurations.Apply(r); err != nil {
		e.config.Logger.Warn("publication is not in force", zap.Int64("version", entry.Offset()), zap.Error(err))
		return
	}
	e.config.Logger.Info("configuration in force", zap.Int64("version", entry.Offset()), zap.String("author", p.Author))
}
