package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/route"
)

const (
	// confirmTimeout bounds the wait for a read of the registrations before a stream is resumed.
	confirmTimeout = time.Second
	// maxConfirmReads bounds the reads that a request waits for before it is resumed.
	maxConfirmReads = 3
)

// errUnconfirmed ends an attempt to resume a stream on a connection to a process that may be of
// another software version than its endpoint was.
var errUnconfirmed = Errorf("resume stream", KindNotSent, "the software version of the endpoint is not confirmed")

// connectionRules returns which connections may carry a request of a route, and what is called with
// the one that is to.
func (s *streaming) connectionRules() (openedAfter time.Time, admit func(context.Context, time.Time) error) {
	if s.route.RetryPolicy() != route.Resumable {
		return time.Time{}, nil
	}
	return s.target.VersionSince(), s.admitConnection
}

// admitConnection lets an attempt that begins a stream pass. One that resumes a stream is not sent
// unless the process behind the connection is known to be of the version that began it.
func (s *streaming) admitConnection(ctx context.Context, openedAt time.Time) error {
	if s.lastEventID == "" && !s.headSent {
		s.recordOrigin(ctx, openedAt)
		return nil
	}
	s.openedAt = openedAt
	if s.confirmed() {
		return nil
	}
	if s.confirmReads < maxConfirmReads {
		s.confirmReads++
		s.readRegistrations(ctx, confirmTimeout)
	}
	if s.confirmed() {
		return nil
	}
	s.Metrics.unconfirmed.WithLabelValues("resumed").Inc()
	s.logUnconfirmed("stream not resumed at an endpoint whose version is not confirmed")
	return errUnconfirmed
}

// confirmed reports whether the process behind the current connection is of the version that began the
// stream. If that is unknown, no more than one may have served until the stream was resumed, or the
// connection opened.
func (s *streaming) confirmed() bool {
	if s.version != "" {
		return s.Directory.VersionConfirmed(s.target, s.openedAt)
	}
	at := s.resumedAt
	if s.openedAt.After(at) {
		at = s.openedAt
	}
	return s.Directory.OneVersionSince(s.service, at, time.Now())
}

// canJoin reports whether the stream, of which the caller has received a part, may go on at another
// endpoint: the version that began it is known, or no more than one version is. The attempt that
// sent that part has ended.
func (s *streaming) canJoin(ctx context.Context) bool {
	if s.version == "" && s.headSent {
		s.resumedAt = time.Now()
		s.readRegistrations(ctx, confirmTimeout)
		s.pinIfConfirmed(ctx)
	}
	return s.version != "" || !s.headSent || !s.Directory.SeveralVersions(s.service, time.Now())
}

// readRegistrations reads the registrations again, or gives up after a while.
func (s *streaming) readRegistrations(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	s.Registrations.ReadRegistrations(ctx)
}

func (s *streaming) logUnconfirmed(message string) {
	s.Logger.Info(message, zap.String("request", s.request.ID), zap.String("endpoint", s.target.ID()),
		zap.String("version", s.target.Registration().Version), zap.Int64("started", s.target.Registration().StartedUnixMS),
		zap.Duration("opened_before", time.Since(s.openedAt)))
}
