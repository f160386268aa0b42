package peer

import (
	"context"
	"net"

	"github.com/hashicorp/yamux"

	"github.com/lavendervale/lavendervale/adapter/frame"
	"github.com/lavendervale/lavendervale/adapter/session"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/program"
)

// Pool asks other processes over one session each.
type Pool struct {
	name     string
	sessions *session.Pool
}

// PoolConfig describes a Pool.
type PoolConfig struct {
	// Name is the name of this instance.
	Name string
	// Dial connects to an address, net.Dialer when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewPool returns a pool without sessions.
func NewPool(c PoolConfig) *Pool {
	return &Pool{name: c.Name, sessions: session.New(session.Config{Dial: c.Dial})}
}

// Close ends all sessions.
func (p *Pool) Close() { p.sessions.Close() }

// Forget ends the session to an address.
func (p *Pool) Forget(address string) { p.sessions.Forget(address) }

// Sessions returns the number of addresses with a session.
func (p *Pool) Sessions() int { return p.sessions.Sessions() }

// exchange is one request under way.
type exchange struct {
	stream *yamux.Stream
	reader *frame.Reader
	stop   func() bool
}

// open sends a request on a new stream; an error of program.NotRun means that
// nothing was sent.
func (p *Pool) open(ctx context.Context, address string, req *peerpb.Request) (*exchange, error) {
	const op = "reach instance"
	stream, err := p.sessions.Open(ctx, address)
	if err != nil {
		return nil, linkError(op, program.NotRun, err)
	}
	req.From = p.name
	if err := frame.NewWriter(stream).Write(req); err != nil {
		_ = stream.Close()
		return nil, linkError(op, program.InDoubt, err)
	}
	x := &exchange{stream: stream, reader: frame.NewReader(stream)}
	x.stop = context.AfterFunc(ctx, func() { session.HangUp(stream) })
	return x, nil
}

// next reads the next reply; a fault becomes its error.
func (x *exchange) next(reply *peerpb.Reply) error {
	if err := x.reader.Read(reply); err != nil {
		return linkError("read answer", program.InDoubt, err)
	}
	if f := reply.GetFault(); f != nil {
		return toFault(f)
	}
	return nil
}

// nextText reads the next reply of a stream of text; it returns nil when the
// reply is no text but the result.
func (x *exchange) nextText(reply *peerpb.Reply) ([]byte, error) {
	text, err := readReply(x.reader, reply)
	if err != nil {
		return nil, linkError("read answer", program.InDoubt, err)
	}
	if f := reply.GetFault(); f != nil {
		return nil, toFault(f)
	}
	return text, nil
}

func (x *exchange) close() {
	x.stop()
	_ = x.stream.Close()
}

func linkError(op string, outcome program.Outcome, err error) error {
	return program.NewError(program.ErrorConfig{Op: op, Kind: program.KindUnavailable, Outcome: outcome, Err: err})
}

// ask sends a request and returns its only reply.
func (p *Pool) ask(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	x, err := p.open(ctx, address, req)
	if err != nil {
		return nil, err
	}
	defer x.close()
	reply := &peerpb.Reply{}
	if err := x.next(reply); err != nil {
		return nil, err
	}
	return reply, nil
}
