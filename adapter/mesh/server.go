package mesh

import (
	"context"
	"io"
	"math"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/frame"
	"github.com/lavendervale/lavendervale/adapter/session"
	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// readRequestTimeout bounds the wait for the request on a new stream.
	readRequestTimeout = 5 * time.Second
	// handleTimeout bounds the handling of one request of another front.
	handleTimeout = 10 * time.Second
)

// serve accepts connections of other fronts until ctx ends.
func (m *Mesh) serve(ctx context.Context) {
	for {
		conn, err := m.listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			m.config.Logger.Error("accepting a connection of a front failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go m.serveConn(ctx, conn)
	}
}

func (m *Mesh) serveConn(ctx context.Context, conn net.Conn) {
	s, err := yamux.Server(conn, session.YamuxConfig())
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
	_ = stream.SetReadDeadline(time.Now().Add(readRequestTimeout))
	request := &meshpb.Request{}
	if err := frame.NewReader(stream).Read(request); err != nil {
		m.config.Logger.Debug("reading the request of a front failed", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handleTimeout)
	defer cancel()
	if request.GetEnd() == nil {
		go cancelAtEnd(stream, cancel)
	}
	handler := requestHandler{mesh: m, out: frame.NewWriter(stream)}
	if err := handler.handle(ctx, request); err != nil {
		m.config.Logger.Debug("writing a reply to a front failed", zap.String("front", request.GetFrom()), zap.Error(err))
	}
}

// cancelAtEnd calls cancel once the other front has closed its side of a stream that carries
// nothing after the request. The end of an attempt is recorded all the same.
func cancelAtEnd(stream *yamux.Stream, cancel context.CancelFunc) {
	defer cancel()
	if err := stream.SetReadDeadline(time.Time{}); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, stream)
}

// requestHandler handles one request of another front and writes the replies.
type requestHandler struct {
	mesh *Mesh
	out  *frame.Writer
}

// handle dispatches a request by its body. Failures to serve it are replied as a Fault;
// the error is only that of writing the reply.
func (h requestHandler) handle(ctx context.Context, r *meshpb.Request) error {
	m := h.mesh
	if err := m.checkShards(r); err != nil {
		return h.replyFault(err)
	}
	switch {
	case r.GetBegin() != nil:
		return h.handleBegin(ctx, r.GetBegin())
	case r.GetEnd() != nil:
		return h.replyDone(m.shardSet.End(ctx, endRequest(r.GetEnd())))
	case r.GetFind() != nil:
		return h.handleFind(ctx, r.GetFind())
	case r.GetStore() != nil:
		return h.handleStoreCall(ctx, r.GetStore())
	case r.GetCopies() != nil:
		return h.handleCopies(ctx, r.GetFrom(), r.GetCopies())
	case r.GetTakePermit() != nil:
		return h.handleTakePermit(r.GetTakePermit())
	case r.GetTakeQuota() != nil:
		return h.handleTakeQuota(r.GetTakeQuota())
	case r.GetKeepOrigin() != nil:
		m.origins.Put(originFromProto(r.GetKeepOrigin().GetOrigin()), time.Now())
		return h.replyDone(nil)
	case r.GetFindOrigin() != nil:
		return h.handleFindOrigin(r.GetFindOrigin())
	case r.GetKeepTranscript() != nil:
		state := m.transcripts.Keep(partFromProto(r.GetKeepTranscript().GetPart()), time.Now())
		return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_TranscriptState{TranscriptState: &meshpb.TranscriptState{Generation: state.Generation, Length: uint64(state.Length), Writer: state.Writer}}})
	case r.GetFindTranscript() != nil:
		return h.handleFindTranscript(r.GetFindTranscript())
	case r.GetFetch() != nil:
		records := m.replicas.forShard(int(r.GetFetch().GetShard()))
		return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Copies{Copies: &meshpb.Copies{Records: records}}})
	}
	return h.replyFault(turn.Errorf("handle request of a front", turn.KindUnavailable, "unknown request type"))
}

// checkShards returns an error of turn.KindUnavailable when a request names a shard that
// does not exist.
func (m *Mesh) checkShards(r *meshpb.Request) error {
	shards := slices.Concat(r.GetFind().GetShards(), []uint32{r.GetCopies().GetShard(), r.GetFetch().GetShard()})
	if greatest := slices.Max(shards); int64(greatest) >= int64(m.config.Shards) {
		return turn.Errorf("handle request of a front", turn.KindUnavailable, "shard %d does not exist: there are %d", greatest, m.config.Shards)
	}
	return nil
}

func (h requestHandler) replyFault(err error) error {
	return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Fault{Fault: &meshpb.Fault{Kind: uint32(turn.KindOf(err)), Message: err.Error()}}})
}

// replyDone replies Done, or a Fault when err is not nil.
func (h requestHandler) replyDone(err error) error {
	if err != nil {
		return h.replyFault(err)
	}
	return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Done{Done: &meshpb.Done{}}})
}

// handleBegin replies Opened when the attempt is admitted, and then whether its record
// became durable.
func (h requestHandler) handleBegin(ctx context.Context, b *meshpb.Begin) error {
	if h.mesh.waitSettled(ctx) {
		if home := h.mesh.homeOfShard(turn.ShardOf(b.GetProgram(), h.mesh.config.Shards)); home.name != h.mesh.config.Name {
			return h.replyFault(turn.Errorf("begin turn", turn.KindUnavailable, "front %s is the home of the program", home.name))
		}
	}
	t, err := h.mesh.shardSet.Begin(ctx, turn.BeginRequest{
		Program: b.GetProgram(), Session: b.GetSession(), Attempt: b.GetAttempt(), Previous: b.GetPrevious(),
		BudgetTokens: b.GetBudget(), MaxTokens: b.GetTokens(), Lease: b.GetLease(),
	})
	if err != nil {
		return h.replyFault(err)
	}
	opened := &meshpb.Opened{Text: t.Text(), Endpoint: t.Endpoint(), Begun: t.Begun(), WaitedMs: uint32(min(math.MaxUint32, t.Waited().Milliseconds()))}
	if err := h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Opened{Opened: opened}}); err != nil {
		return err
	}
	return h.replyDone(t.Wait(ctx))
}

func endRequest(e *meshpb.End) turn.EndRequest {
	r := turn.EndRequest{Program: e.GetProgram(), Session: e.GetSession(), Attempt: e.GetAttempt(), DeliveredTokens: e.GetTokens(), Endpoint: e.GetEndpoint()}
	if e.GetKeep() {
		r.Completed = &turn.CompletedTurn{Previous: e.GetPrevious(), Text: e.GetText(), RetentionMS: e.GetRetentionMs()}
	}
	return r
}

// handleFind replies Opened with the conversation, or Done when the turn is not found.
func (h requestHandler) handleFind(ctx context.Context, f *meshpb.Find) error {
	shards := make([]int, len(f.GetShards()))
	for i, s := range f.GetShards() {
		shards[i] = int(s)
	}
	text, ok, err := h.mesh.findLocal(ctx, f.GetTurn(), shards)
	if err != nil {
		return h.replyFault(err)
	}
	if !ok {
		return h.replyDone(nil)
	}
	return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Opened{Opened: &meshpb.Opened{Text: text}}})
}

// handleStoreCall makes a store call for a front that can't reach the store. A failed
// call may have taken effect, so the Fault is of turn.KindUnknown.
func (h requestHandler) handleStoreCall(ctx context.Context, c *meshpb.StoreCall) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	status, body, err := h.mesh.store.Direct(ctx, c.GetMethod(), c.GetTarget(), c.GetBody())
	if err != nil {
		return h.replyFault(turn.Errorf("relay store call", turn.KindUnknown, "%w", err))
	}
	return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Store{Store: &meshpb.StoreReply{Status: uint32(status), Body: body}}})
}

// handleCopies stores replicas, deletes those whose records are in the log, or appends
// records to the log as the home of their shard.
func (h requestHandler) handleCopies(ctx context.Context, from string, c *meshpb.Copies) error {
	shard := int(c.GetShard())
	if c.GetAdopt() {
		return h.replyDone(h.mesh.shardSet.AppendReplicas(ctx, shard, c.GetRecords()))
	}
	if c.GetSettled() {
		h.mesh.replicas.remove(shard, c.GetRecords())
		return h.replyDone(nil)
	}
	if !h.mesh.replicas.add(from, shard, c.GetRecords(), time.Now()) {
		return h.replyFault(turn.Errorf("store replicas", turn.KindUnavailable, "the space for replicas is used up"))
	}
	return h.replyDone(nil)
}
