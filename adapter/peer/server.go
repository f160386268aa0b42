package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/frame"
	"github.com/lavendervale/lavendervale/adapter/session"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// readRequestTimeout bounds the wait for the request on a new stream.
	readRequestTimeout = 10 * time.Second
	// maxStreamsPerSession bounds the requests in progress on one session; streams
	// beyond it are closed without a reply.
	maxStreamsPerSession = 16_384
)

// Home runs programs; *home.Home implements it. The kind and the outcome of a
// *program.Error are passed on to the other process.
type Home interface {
	// Start creates a program.
	Start(ctx context.Context, r home.StartRequest) (home.StartResult, error)
	// Call runs a call and passes its text to sink in pieces.
	Call(ctx context.Context, h program.Handle, c program.Call, sink home.Sink) (home.CallResult, error)
	// End finishes a program, or cancels it when cancel is set.
	End(ctx context.Context, h program.Handle, cancel bool) (home.EndResult, error)
	// Read returns the state of a program.
	Read(ctx context.Context, h program.Handle) (home.View, error)
	// Transfer moves budget between a parent and its child and returns the tokens moved.
	Transfer(ctx context.Context, t home.BudgetTransfer) (int64, error)
}

// ServiceRunner makes the calls of the plain service beside this process. The kind of an
// *order.Error is passed on to the other process.
type ServiceRunner interface {
	// Run makes a call, an order at most once.
	Run(ctx context.Context, r order.Request) (order.Reply, error)
	// Query returns the reply to an order that has run. One that has not run is refused
	// from then on, so that it certainly does not run later.
	Query(ctx context.Context, r order.Request) (order.Reply, error)
}

// HeartbeatHandler receives the heartbeats of entries.
type HeartbeatHandler interface {
	// Beat applies the configurations, service instances and committers in a heartbeat
	// of the instance from, and returns the reply with the load of this process.
	Beat(from string, b membership.Heartbeat) membership.HeartbeatReply
}

// Server handles the requests of other processes.
type Server struct {
	config ServerConfig
	// activeRequests counts the streams that are being served.
	activeRequests sync.WaitGroup
}

// ServerConfig describes a Server.
type ServerConfig struct {
	// Home runs the programs of this process; nil refuses requests for programs.
	Home Home
	// ServiceRunner makes service calls; nil refuses them as not run.
	ServiceRunner ServiceRunner
	// HeartbeatHandler receives heartbeats; required.
	HeartbeatHandler HeartbeatHandler
	// Committer appends records for other processes; nil refuses such requests.
	Committer Committer
	// Codec decodes the records to append; required with Committer.
	Codec history.Codec
	// Logger receives the failures of streams at debug level; nil discards them.
	Logger *zap.Logger
}

// NewServer returns a server that handles requests once Serve is called.
func NewServer(c ServerConfig) *Server {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	return &Server{config: c}
}

// Serve accepts connections on a listener until ctx ends, then closes the listener and
// returns nil. Requests in progress continue; each session is closed when no request of
// the server is left. The error is that of accepting a connection.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go s.serveConn(ctx, conn)
	}
}

// Wait waits until no request is in progress.
func (s *Server) Wait() { s.activeRequests.Wait() }

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	muxSession, err := yamux.Server(conn, session.YamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer muxSession.Close()
	stop := context.AfterFunc(ctx, func() {
		s.activeRequests.Wait()
		_ = muxSession.Close()
	})
	defer stop()
	for {
		stream, err := muxSession.AcceptStream()
		if err != nil {
			return
		}
		if muxSession.NumStreams() > maxStreamsPerSession {
			_ = stream.Close()
			continue
		}
		s.activeRequests.Add(1)
		go s.serveStream(stream)
	}
}

// serveStream reads the request of a stream and handles it. Its context is independent of
// that of Serve, so that requests in progress complete at a stop. The context ends when
// the client closes the stream: a client sends nothing after its request, so the next
// read returns only at the end of the stream.
func (s *Server) serveStream(stream *yamux.Stream) {
	defer s.activeRequests.Done()
	defer stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(readRequestTimeout))
	request := &peerpb.Request{}
	if err := frame.NewReader(stream).Read(request); err != nil {
		s.config.Logger.Debug("reading a request of another process failed", zap.Error(err))
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		var oneByte [1]byte
		_, _ = stream.Read(oneByte[:])
	}()
	handler := &requestHandler{server: s, replies: frame.NewWriter(stream)}
	if err := handler.handle(ctx, request); err != nil {
		s.config.Logger.Debug("writing a reply to another process failed", zap.Error(err))
	}
}
