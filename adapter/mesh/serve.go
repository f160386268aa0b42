package mesh

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/frame"
	"github.com/lavendervale/lavendervale/adapter/session"
	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// requestTimeout bounds the wait for the request of a new stream.
	requestTimeout = 5 * time.Second
	// serveTimeout bounds the work for one request of another front.
	serveTimeout = 10 * time.Second
)

// serve answers other fronts until ctx ends.
func (m *Mesh) serve(ctx context.Context) {
	for {
		conn, err := m.listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.config.Logger.Error("front not accepted", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go m.serveConn(ctx, conn)
	}
}

func (m *Mesh) serveConn(ctx context.Context, conn net.Conn) {
	s, err := yamux.Server(conn, session.Options())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	for {
		stream, err := s.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(ctx, stream)
	}
}

func (m *Mesh) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	r := &meshpb.Request{}
	if err := frame.NewReader(stream).Read(r); err != nil {
		m.config.Logger.Debug("request of a front can't be read", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	a := answerer{mesh: m, out: frame.NewWriter(stream)}
	if err := a.answer(ctx, r); err != nil {
		m.config.Logger.Debug("answer to a front can't be written", zap.String("front", r.GetFrom()), zap.Error(err))
	}
}

// answerer answers one request.
type answerer struct {
	mesh *Mesh
	out  *frame.Writer
}

func (a answerer) answer(ctx context.Context, r *meshpb.Request) error {
	m := a.mesh
	switch {
	case r.GetBegin() != nil:
		return a.begin(ctx, r.GetBegin())
	case r.GetEnd() != nil:
		return a.done(m.homes.End(ctx, endRequest(r.GetEnd())))
	case r.GetFind() != nil:
		return a.find(ctx, r.GetFind())
	case r.GetStore() != nil:
		return a.storeCall(ctx, r.GetStore())
	case r.GetCopies() != nil:
		return a.copies(ctx, r.GetFrom(), r.GetCopies())
	case r.GetFetch() != nil:
		list := m.held.list(int(r.GetFetch().GetShard()))
		return a.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Copies{Copies: &meshpb.Copies{Records: list}}})
	}
	return a.fault(turn.Errorf("answer front", turn.KindUnavailable, "request is not known"))
}

func (a answerer) fault(err error) error {
	return a.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Fault{Fault: &meshpb.Fault{Kind: uint32(turn.KindOf(err)), Message: err.Error()}}})
}

func (a answerer) done(err error) error {
	if err != nil {
		return a.fault(err)
	}
	return a.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Done{Done: &meshpb.Done{}}})
}

func (a answerer) begin(ctx context.Context, b *meshpb.Begin) error {
	t, err := a.mesh.homes.Begin(ctx, turn.BeginRequest{
		Program: b.GetProgram(), Session: b.GetSession(), Attempt: b.GetAttempt(), Previous: b.GetPrevious(),
		BudgetTokens: b.GetBudget(), MaxTokens: b.GetTokens(),
	})
	if err != nil {
		return a.fault(err)
	}
	opened := &meshpb.Opened{Text: t.Text(), Endpoint: t.Endpoint()}
	if err := a.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Opened{Opened: opened}}); err != nil {
		return err
	}
	return a.done(t.Wait(ctx))
}

func endRequest(e *meshpb.End) turn.EndRequest {
	r := turn.EndRequest{Program: e.GetProgram(), Session: e.GetSession(), Attempt: e.GetAttempt(), DeliveredTokens: e.GetTokens(), Endpoint: e.GetEndpoint()}
	if e.GetKeep() {
		r.Completed = &turn.CompletedTurn{Previous: e.GetPrevious(), Text: e.GetText(), RetentionMS: e.GetRetentionMs()}
	}
	return r
}

func (a answerer) find(ctx context.Context, f *meshpb.Find) error {
	shards := make([]int, len(f.GetShards()))
	for i, s := range f.GetShards() {
		shards[i] = int(s)
	}
	text, ok, err := a.mesh.findHere(ctx, f.GetTurn(), shards)
	if err != nil {
		return a.fault(err)
	}
	if !ok {
		return a.done(nil)
	}
	return a.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Opened{Opened: &meshpb.Opened{Text: text}}})
}

func (a answerer) storeCall(ctx context.Context, c *meshpb.StoreCall) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	status, body, err := a.mesh.store.Direct(ctx, c.GetMethod(), c.GetTarget(), c.GetBody())
	if err != nil {
		return a.fault(turn.Errorf("relay store call", turn.KindUnknown, "%w", err))
	}
	return a.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Store{Store: &meshpb.StoreReply{Status: uint32(status), Body: body}}})
}

func (a answerer) copies(ctx context.Context, from string, c *meshpb.Copies) error {
	shard := int(c.GetShard())
	if c.GetAdopt() {
		return a.done(a.mesh.homes.AppendReplicas(ctx, shard, c.GetRecords()))
	}
	if c.GetSettled() {
		a.mesh.held.drop(shard, c.GetRecords())
		return a.done(nil)
	}
	if !a.mesh.held.put(from, shard, c.GetRecords(), time.Now()) {
		return a.fault(turn.Errorf("hold copies", turn.KindUnavailable, "no room for more copies"))
	}
	return a.done(nil)
}
