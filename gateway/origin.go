package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/origin"
	"github.com/lavendervale/lavendervale/route"
)

// resumedVersion returns the software version that began the stream that the request resumes,
// and sends the request to the service that did. It is empty if any version may serve the
// request: it begins a stream, or no more than one version can have begun it. It is an error if
// several may have and none is known to.
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
			return found.Version, nil
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

// recordOrigin begins to record that the current target may begin the stream. The origin is
// copied to other instances if another version could serve a caller that resumes the stream.
func (s *streaming) recordOrigin(ctx context.Context) {
	if s.lastEventID != "" || s.request.ID == "" || s.route.RetryPolicy() != route.Resumable {
		return
	}
	s.originSequence++
	o := origin.Origin{Attempt: s.request.ID, Service: s.service, Version: s.target.Registration().Version, Sequence: s.originSequence}
	if !s.Directory.SeveralVersions(s.service, time.Now()) {
		s.Origins.RecordOrigin(ctx, o, false)
		return
	}
	recorded := make(chan struct{})
	s.originRecorded = recorded
	go func() {
		defer close(recorded)
		s.Origins.RecordOrigin(ctx, o, true)
	}()
}

// pinVersion keeps the stream at the version of the current target, which has sent the first
// event. It waits until the origin is recorded: the caller may resume what it has received.
func (s *streaming) pinVersion(ctx context.Context) {
	if s.version == "" {
		s.version = s.target.Registration().Version
	}
	if s.originRecorded == nil {
		return
	}
	started := time.Now()
	select {
	case <-s.originRecorded:
	case <-ctx.Done():
	}
	if waited := time.Since(started); waited > slowOriginRecord {
		s.Logger.Warn("recording the origin of a stream took long", zap.String("request", s.request.ID), zap.Duration("waited", waited))
	}
}

// slowOriginRecord is the wait for the record of an origin from which it is logged.
const slowOriginRecord = 50 * time.Millisecond
