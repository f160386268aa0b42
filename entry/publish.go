package entry

import (
	"context"
	"time"

	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
)

const (
	// publishTimeout bounds the wait until this entry has read an appended publication.
	publishTimeout = 10 * time.Second
	// publishPollInterval is the time between two checks for the decision.
	publishPollInterval = 50 * time.Millisecond
)

// Publish appends a configuration to the log, waits until this entry has read it back and
// returns its version. Concurrent publications are decided by their order in the log.
// Errors are of type *configuration.Error: KindInvalid when the text can't be parsed or
// encoded, KindConflict when the base is not the version in force, and KindUnavailable when
// the log fails or the decision is not known in time. In the last case, and when the log did
// not reply, the publication may still take effect.
func (e *Entry) Publish(ctx context.Context, publication Publication) (int64, error) {
	const op = "publish configuration"
	if _, err := e.config.Configurations.Parse(publication.Text); err != nil {
		return 0, configuration.Errorf(op, configuration.KindInvalid, "%w", err)
	}
	if inForce := e.config.Configurations.Version(); publication.Base != inForce {
		return 0, configuration.Errorf(op, configuration.KindConflict, "made from version %d, but %d is in force", publication.Base, inForce)
	}
	data, err := e.config.PublicationCodec.Encode(publication)
	if err != nil {
		return 0, configuration.Errorf(op, configuration.KindInvalid, "%w", err)
	}
	offset, err := e.config.Log.Append(ctx, ConfigurationStream, data)
	if err != nil {
		return 0, publishError(op, err)
	}
	return e.awaitDecision(ctx, offset, publication)
}

// publishError wraps a failed append and says whether the publication may still take effect.
func publishError(op string, err error) error {
	if fleet.KindOf(err) == fleet.KindUnknown {
		return configuration.Errorf(op, configuration.KindUnavailable, "the log did not reply, so the publication may still take effect: %w", err)
	}
	return configuration.Errorf(op, configuration.KindUnavailable, "the log did not accept the publication: %w", err)
}

// awaitDecision waits until the publication at an offset is applied or refused and returns
// its version or the reason for the refusal. The text is compared too, because after a
// restart of the log another publication may have had the same offset.
func (e *Entry) awaitDecision(ctx context.Context, offset int64, publication Publication) (int64, error) {
	const op = "publish configuration"
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	ticker := time.NewTicker(publishPollInterval)
	defer ticker.Stop()
	for {
		if decision, ok := e.config.Configurations.DecisionAt(offset); ok && decision.Record.Text() == publication.Text {
			return decision.Record.Version(), decision.Err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return 0, configuration.Errorf(op, configuration.KindUnavailable, "the publication at offset %d is in the log, but this entry did not read it in time", offset)
		}
	}
}
