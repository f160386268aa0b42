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

// exchange is a request under way at another front.
type exchange struct {
	mesh   *Mesh
	target target
	stream *yamux.Stream
	reader *frame.Reader
	stop   func() bool
}

// open sends a request to a front.
func (m *Mesh) open(ctx context.Context, t target, r *meshpb.Request) (*exchange, error) {
	r.From = m.config.Name
	stream, err := m.sessions.Open(ctx, t.address)
	if err == nil {
		if err = frame.NewWriter(stream).Write(r); err != nil {
			_ = stream.Close()
		}
	}
	if err != nil {
		m.fail(t)
		return nil, Errorf("ask front "+t.name, KindUnreachable, "%w", err)
	}
	x := &exchange{mesh: m, target: t, stream: stream, reader: frame.NewReader(stream)}
	x.stop = context.AfterFunc(ctx, func() { session.HangUp(stream) })
	return x, nil
}

// fail looks whether a front that did not answer lives, and does not ask it for a
// moment if not: its session ends then with all requests that it carries.
func (m *Mesh) fail(t target) bool {
	if m.sessions.Check(t.address, m.table.patience(t.name, time.Now())) {
		return true
	}
	m.table.distrust(t.name, time.Now().Add(distrustTime))
	return false
}

// next reads an answer; a timeout speaks against the front.
func (x *exchange) next(timeout time.Duration) (*meshpb.Reply, error) {
	if err := x.stream.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, Errorf("ask front "+x.target.name, KindUnreachable, "%w", err)
	}
	reply := &meshpb.Reply{}
	if err := x.reader.Read(reply); err != nil {
		return nil, Errorf("ask front "+x.target.name, KindUnreachable, "%w", err)
	}
	if f := reply.GetFault(); f != nil {
		return nil, turn.Errorf("front "+x.target.name, turn.Kind(f.GetKind()), "%s", f.GetMessage())
	}
	return reply, nil
}

func (x *exchange) close() {
	x.stop()
	_ = x.stream.Close()
}

// ask sends a request and returns its only answer.
func (m *Mesh) ask(ctx context.Context, t target, r *meshpb.Request, timeout time.Duration) (*meshpb.Reply, error) {
	x, err := m.open(ctx, t, r)
	if err != nil {
		return nil, err
	}
	defer x.close()
	reply, err := x.next(timeout)
	if err != nil && ctx.Err() == nil && unreachable(err) && m.fail(t) {
		err = turn.Errorf("ask front "+t.name, turn.KindUnavailable, "it lives but does not answer: %w", err)
	}
	return reply, err
}

// askLong sends a request and waits for its only answer as long as the front lives.
func (m *Mesh) askLong(ctx context.Context, t target, r *meshpb.Request) error {
	x, err := m.open(ctx, t, r)
	if err != nil {
		return err
	}
	defer x.close()
	answered := make(chan error, 1)
	go func() {
		_, err := x.next(serveTimeout)
		answered <- err
	}()
	look := time.NewTicker(aliveInterval)
	defer look.Stop()
	for {
		select {
		case err := <-answered:
			return err
		case <-look.C:
			if !m.fail(t) {
				return Errorf("ask front "+t.name, KindUnreachable, "it gives no sign of life")
			}
		}
	}
}

// unreachable reports whether the front itself failed, not what it was asked for.
func unreachable(err error) bool {
	_, ok := err.(*Error)
	return ok
}
