package entry

import (
	"context"
	"time"

	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
)

const (
	// publishWait bounds the wait for a publication to be decided on.
	publishWait = 10 * time.Second
	// publishPoll is the time between two looks at the decision.
	publishPoll = 50 * time.Millisecond
)

// Publish appends a configuration made from a version and waits until the
// order of the log has decided on it; it returns its version, or an error of
// configuration.KindConflict or KindInvalid.
func (e *Entry) Publish(ctx context.Context, p Publication) (int64, error) {
	const op = "publish configuration"
	if _, err := e.config.Configurations.Parse(p.Text); err != nil {
		return 0, configuration.Errorf(op, configuration.KindInvalid, "%w", err)
	}
	if have := e.config.Configurations.Version(); p.Base != have {
		return 0, configuration.Errorf(op, configuration.KindConflict, "made from version %d, but %d is in force", p.Base, have)
	}
	data, err := e.config.Records.Encode(p)
	if err != nil {
		return 0, configuration.Errorf(op, configuration.KindInvalid, "%w", err)
	}
	offset, err := e.config.Log.Append(ctx, ConfigurationStream, data)
	if err != nil {
		return 0, publishError(op, err)
	}
	return e.awaitDecision(ctx, offset, p)
}

// publishError tells whether a publication may yet come into force.
func publishError(op string, err error) error {
	if fleet.KindOf(err) == fleet.KindUnknown {
		return configuration.Errorf(op, configuration.KindUnavailable, "log did not answer, the publication may yet come into force: %w", err)
	}
	return configuration.Errorf(op, configuration.KindUnavailable, "log did not take it: %w", err)
}

// awaitDecision returns the version that a publication has got.
func (e *Entry) awaitDecision(ctx context.Context, offset int64, p Publication) (int64, error) {
	const op = "publish configuration"
	ctx, cancel := context.WithTimeout(ctx, publishWait)
	defer cancel()
	t := time.NewTicker(publishPoll)
	defer t.Stop()
	for {
		if applied, ok := e.config.Configurations.Decision(offset); ok && applied.Record.Text() == p.Text {
			return applied.Record.Version(), applied.Err
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return 0, configuration.Errorf(op, configuration.KindUnavailable, "the publication at offset %d is in the log, but this entry has not read it yet", offset)
		}
	}
}
