package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/origin"
)

// resumedVersion returns the software version that began the stream that the request resumes,
// and sends the request to the service that did. It is empty if any version may serve the
// request: it begins a stream, or no more than one version is known that can have begun it. It is an
// error if several may have and none is known to.
func (c *call) resumedVersion(ctx context.Context) (string, error) {
	const op = "resume stream"
	if c.request.LastEventID == "" {
		return "", nil
	}
	var searchErr error
	if c.request.Resumes != "" {
		found, ok, err := c.Origins.FindOrigin(ctx, c.request.Resumes)
		if ok && c.route.Uses(found.Service) {
			c.service = found.Service
			if found.Version != "" {
				return found.Version, nil
			}
		}
		searchErr = err
	}
	if !c.Directory.SeveralVersions(c.service, time.Now()) {
		return "", nil
	}
	if searchErr != nil {
		return "", Errorf(op, KindNotSent, "several software versions serve or may have served, and it is not known which began attempt %q: %w", c.request.Resumes, searchErr)
	}
	return "", Errorf(op, KindNotSent, "several software versions serve or may have served, and no instance knows which began attempt %q", c.request.Resumes)
}

// originRecord is what has been recorded of the stream's origin for one attempt.
type originRecord struct {
	// done is closed when the origin has been recorded.
	done chan struct{}
	// version is the recorded version, or empty if it was not confirmed; valid once done is closed.
	version string
}

// recordOrigin begins to record that the current target may begin the stream, on a connection that was
// opened at openedAt. The origin is copied to other instances if another version could serve a
// caller that resumes the stream. It names no version unless that of the connection is confirmed, for
// which the registrations are read again if several versions serve.
func (s *streaming) recordOrigin(ctx context.Context, openedAt time.Time) {
	s.openedAt = openedAt
	if s.lastEventID != "" || s.request.ID == "" {
		return
	}
	s.originSequence++
	o := origin.Origin{Attempt: s.request.ID, Service: s.service, Sequence: s.originSequence}
	t, copied := s.target, s.Directory.SeveralVersions(s.service, time.Now())
	record := &originRecord{done: make(chan struct{})}
	s.origin = record
	put := func() {
		defer close(record.done)
		if s.Directory.VersionConfirmed(t, openedAt) {
			o.Version = t.Registration().Version
		}
		record.version = o.Version
		s.Origins.RecordOrigin(ctx, o, copied)
	}
	if !copied {
		put()
		return
	}
	go func() {
		if !s.Directory.VersionConfirmed(t, openedAt) {
			s.readRegistrations(ctx, originReadTimeout)
		}
		put()
	}()
}

// pinVersion keeps the stream at the version of the current target, which has sent the first
// event. It waits until the origin is recorded: the caller may resume what it has received.
func (s *streaming) pinVersion(ctx context.Context) {
	if s.origin == nil {
		s.pinIfConfirmed(ctx)
		return
	}
	started := time.Now()
	select {
	case <-s.origin.done:
	case <-ctx.Done():
	}
	if waited := time.Since(started); waited > slowOriginRecord {
		s.Logger.Warn("recording the origin of a stream took long", zap.String("request", s.request.ID), zap.Duration("waited", waited))
	}
	s.pinIfConfirmed(ctx)
	if s.version == "" && s.Directory.SeveralVersions(s.service, time.Now()) {
		s.Metrics.unconfirmed.WithLabelValues("begun").Inc()
		s.logUnconfirmed("stream begun at an endpoint whose version is not confirmed")
	}
}

// pinIfConfirmed keeps the stream at the version of the current target, which has sent an event, if
// that is confirmed for its connection, and records it if it was not yet.
func (s *streaming) pinIfConfirmed(ctx context.Context) {
	version := s.target.Registration().Version
	if s.version != "" || version == "" || s.openedAt.IsZero() || !s.Directory.VersionConfirmed(s.target, s.openedAt) {
		return
	}
	s.version = version
	if s.origin == nil {
		return
	}
	select {
	case <-s.origin.done:
	default:
		// The request has ended.
		return
	}
	if s.origin.version != "" {
		return
	}
	s.originSequence++
	o := origin.Origin{Attempt: s.request.ID, Service: s.service, Version: s.version, Sequence: s.originSequence}
	copied := s.Directory.SeveralVersions(s.service, time.Now())
	go s.Origins.RecordOrigin(ctx, o, copied)
}

const (
	// slowOriginRecord is the wait for the record of an origin from which it is logged.
	slowOriginRecord = 50 * time.Millisecond
	// originReadTimeout bounds the wait for a read of the registrations before an origin is
	// recorded, which holds back the first event.
	originReadTimeout = 50 * time.Millisecond
)
