package mesh

import (
	"context"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/lavendervale/lavendervale/adapter/frame"
	"github.com/lavendervale/lavendervale/adapter/session"
	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/turn"
)

// exchange is a request to another front with its replies, on a stream of its own.
type exchange struct {
	mesh   *Mesh
	target target
	stream *yamux.Stream
	reader *frame.Reader
	// detachContext keeps the end of the request's context from closing the stream.
	detachContext func() bool
}

// openExchange sends a request to a front. When it fails before ctx ends, it probes the
// front. Its errors are of KindUnreachable.
func (m *Mesh) openExchange(ctx context.Context, t target, r *meshpb.Request) (*exchange, error) {
	r.From = m.config.Name
	stream, err := m.sessions.Open(ctx, t.address)
	var detach func() bool
	if err == nil {
		// A write waits while the front reads nothing, also if it responds to pings.
		detach = context.AfterFunc(ctx, func() { session.AbortStream(stream) })
		if err = frame.NewWriter(stream).Write(r); err != nil {
			detach()
			_ = stream.Close()
		}
	}
	if err != nil {
		if ctx.Err() == nil {
			m.probe(t)
		}
		return nil, Errorf("request to front "+t.name, KindUnreachable, "%w", err)
	}
	return &exchange{mesh: m, target: t, stream: stream, reader: frame.NewReader(stream), detachContext: detach}, nil
}

// probe pings a front that did not answer and reports whether it responded. If not,
// the session to it is closed, which fails all requests on it, and the front gets no
// requests for suspendDuration.
func (m *Mesh) probe(t target) bool {
	if m.sessions.PingOrClose(t.address, m.peers.pingTimeoutFor(t.name, time.Now())) {
		return true
	}
	m.peers.suspend(t.name, time.Now().Add(suspendDuration))
	return false
}

// readReply waits at most timeout for the next reply. A failure that the front reports
// is a *turn.Error; any other failure, a timeout too, is of KindUnreachable.
func (x *exchange) readReply(timeout time.Duration) (*meshpb.Reply, error) {
	if err := x.stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, Errorf("request to front "+x.target.name, KindUnreachable, "%w", err)
	}
	reply := &meshpb.Reply{}
	if err := x.reader.Read(reply); err != nil {
		return nil, Errorf("request to front "+x.target.name, KindUnreachable, "%w", err)
	}
	if fault := reply.GetFault(); fault != nil {
		return nil, turn.Errorf("front "+x.target.name, turn.Kind(fault.GetKind()), "%s", fault.GetMessage())
	}
	return reply, nil
}

func (x *exchange) close() {
	x.detachContext()
	_ = x.stream.Close()
}

// roundTrip sends a request that has one reply and returns it. When the front does not
// reply within timeout but responds to a ping, the error is of turn.KindUnavailable, so
// that the caller does not take the front for lost.
func (m *Mesh) roundTrip(ctx context.Context, t target, r *meshpb.Request, timeout time.Duration) (*meshpb.Reply, error) {
	x, err := m.openExchange(ctx, t, r)
	if err != nil {
		return nil, err
	}
	defer x.close()
	reply, err := x.readReply(timeout)
	if err != nil && ctx.Err() == nil && isUnreachable(err) && m.probe(t) {
		err = turn.Errorf("request to front "+t.name, turn.KindUnavailable, "the front responds to pings but did not answer: %w", err)
	}
	return reply, err
}

// roundTripWhileAlive sends a request that has one reply and waits for it up to
// handleTimeout, or until the front stops responding to pings.
func (m *Mesh) roundTripWhileAlive(ctx context.Context, t target, r *meshpb.Request) error {
	x, err := m.openExchange(ctx, t, r)
	if err != nil {
		return err
	}
	defer x.close()
	_, err = x.readReplyWhileAlive()
	return err
}

// readReplyWhileAlive waits for the next reply up to handleTimeout, or until the front stops
// responding to pings. The end of the request's context ends it as well.
func (x *exchange) readReplyWhileAlive() (*meshpb.Reply, error) {
	type result struct {
		reply *meshpb.Reply
		err   error
	}
	results := make(chan result, 1)
	go func() {
		reply, err := x.readReply(handleTimeout)
		results <- result{reply: reply, err: err}
	}()
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case r := <-results:
			return r.reply, r.err
		case <-ticker.C:
			if !x.mesh.probe(x.target) {
				return nil, Errorf("request to front "+x.target.name, KindUnreachable, "the front does not respond to pings")
			}
		}
	}
}

// isUnreachable reports whether a request failed without a reply of the front, as
// opposed to a failure that the front reported.
func isUnreachable(err error) bool {
	_, ok := err.(*Error)
	return ok
}
