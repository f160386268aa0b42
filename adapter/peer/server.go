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
	// requestTimeout bounds the wait for the request of a new stream.
	requestTimeout = 10 * time.Second
	// maxStreams bounds the requests under way on one session.
	maxStreams = 16_384
)

// Home runs programs; *home.Home is one.
type Home interface {
	// Start creates a program.
	Start(ctx context.Context, r home.StartRequest) (home.StartResult, error)
	// Call runs a call and streams its text.
	Call(ctx context.Context, h program.Handle, c program.Call, sink home.Sink) (home.CallResult, error)
	// End finishes or cancels a program.
	End(ctx context.Context, h program.Handle, cancel bool) (home.EndResult, error)
	// Read returns the state of a program.
	Read(ctx context.Context, h program.Handle) (home.View, error)
	// Transfer moves budget between a parent and a child.
	Transfer(ctx context.Context, t home.BudgetTransfer) (int64, error)
}

// Runner makes the calls of the service beside the process.
type Runner interface {
	// Run makes a call.
	Run(ctx context.Context, r order.Request) (order.Reply, error)
	// Query asks for the outcome of an order.
	Query(ctx context.Context, r order.Request) (order.Reply, error)
}

// Beats takes the heartbeats of entries.
type Beats interface {
	// Beat takes over the news and reports the load.
	Beat(from string, b membership.Beat) membership.Answer
}

// Server answers the requests of other processes.
type Server struct {
	config ServerConfig
	active sync.WaitGroup
}

// ServerConfig describes a Server.
type ServerConfig struct {
	// Home runs programs, nil when there is none.
	Home Home
	// Runner makes service calls, nil when there is no service.
	Runner Runner
	// Beats takes heartbeats.
	Beats Beats
	// Committer writes records for other processes, nil when there is none.
	Committer Committer
	// Codec reads the records of others.
	Codec history.Codec
	// Log takes what the server reports.
	Log *zap.Logger
}

// NewServer returns a server.
func NewServer(c ServerConfig) *Server {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return &Server{config: c}
}

// Serve answers on a listener until ctx ends, then lets requests end.
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

// Wait waits until no request is under way.
func (s *Server) Wait() { s.active.Wait() }

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, session.Options())
	if err != nil {
		_ = conn.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() {
		s.active.Wait()
		_ = session.Close()
	})
	defer stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		if session.NumStreams() > maxStreams {
			_ = stream.Close()
			continue
		}
		s.active.Add(1)
		go s.serveStream(stream)
	}
}

// serveStream reads a request and answers it; the end of the stream at the
// other side ends the request's context.
func (s *Server) serveStream(stream *yamux.Stream) {
	defer s.active.Done()
	defer stream.Close()
	_ = stream.SetReadDeadline(time.Now().Add(requestTimeout))
	request := &peerpb.Request{}
	if err := frame.NewReader(stream).Read(request); err != nil {
		s.config.Log.Debug("request can't be read", zap.Error(err))
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer cancel()
		var one [1]byte
		_, _ = stream.Read(one[:])
	}()
	a := &answerer{server: s, out: frame.NewWriter(stream)}
	if err := a.answer(ctx, request); err != nil {
		s.config.Log.Debug("answer can't be written", zap.Error(err))
	}
}
