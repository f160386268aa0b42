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

// Pool sends requests to other processes, over one multiplexed session to each address.
// Its methods are safe for concurrent use.
type Pool struct {
	instanceName string
	sessions     *session.Pool
}

// PoolConfig describes a Pool.
type PoolConfig struct {
	// InstanceName is the name of this instance, sent with each request.
	InstanceName string
	// Dial connects to an address; nil stands for plain TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewPool returns a pool without sessions; Close releases it.
func NewPool(c PoolConfig) *Pool {
	return &Pool{instanceName: c.InstanceName, sessions: session.NewPool(session.PoolConfig{Dial: c.Dial})}
}

// Close closes all sessions, which fails the requests on them. Later requests fail.
func (p *Pool) Close() { p.sessions.Close() }

// CloseSession closes the session to an address, if there is one. The next request to the
// address opens a new one.
func (p *Pool) CloseSession(address string) { p.sessions.CloseSession(address) }

// SessionCount returns the number of addresses that the pool keeps a session for.
func (p *Pool) SessionCount() int { return p.sessions.SessionCount() }

// exchange is a request in progress with its replies, on a stream of its own.
type exchange struct {
	stream *yamux.Stream
	reader *frame.Reader
	// detachContext keeps the end of the request's context from closing the stream.
	detachContext func() bool
}

// openExchange sends a request on a new stream; the end of ctx aborts the stream. The
// error is of program.KindInvalid when the request can't be encoded. Its outcome is
// program.NotRun then and when no stream could be opened, and program.InDoubt when part of
// the request may have been sent.
func (p *Pool) openExchange(ctx context.Context, address string, req *peerpb.Request) (*exchange, error) {
	const op = "send request to instance"
	req.From = p.instanceName
	encoded, err := frame.Append(nil, req)
	if err != nil {
		return nil, program.Errorf(op, program.KindInvalid, "%w", err)
	}
	stream, err := p.sessions.Open(ctx, address)
	if err != nil {
		return nil, connectionError(op, program.NotRun, err)
	}
	x := &exchange{stream: stream, reader: frame.NewReader(stream)}
	x.detachContext = context.AfterFunc(ctx, func() { session.AbortStream(stream) })
	if _, err := stream.Write(encoded); err != nil {
		x.close()
		return nil, connectionError(op, program.InDoubt, err)
	}
	return x, nil
}

// readReply reads the next reply; a Fault is returned as the error that it stands for.
func (x *exchange) readReply(reply *peerpb.Reply) error {
	if err := x.reader.Read(reply); err != nil {
		return connectionError("read reply", program.InDoubt, err)
	}
	if fault := reply.GetFault(); fault != nil {
		return errorFromFault(fault)
	}
	return nil
}

// readText reads the next reply to a call. It returns a piece of text, valid until the
// next read, or nil when the reply is the result, which is then in reply.
func (x *exchange) readText(reply *peerpb.Reply) ([]byte, error) {
	text, err := readTextOrReply(x.reader, reply)
	if err != nil {
		return nil, connectionError("read reply", program.InDoubt, err)
	}
	if fault := reply.GetFault(); fault != nil {
		return nil, errorFromFault(fault)
	}
	return text, nil
}

func (x *exchange) close() {
	x.detachContext()
	_ = x.stream.Close()
}

// connectionError returns an error of program.KindUnavailable for a failed connection.
func connectionError(op string, outcome program.Outcome, err error) error {
	return program.NewError(program.ErrorConfig{Op: op, Kind: program.KindUnavailable, Outcome: outcome, Err: err})
}

// roundTrip sends a request and returns its only reply.
func (p *Pool) roundTrip(ctx context.Context, address string, req *peerpb.Request) (*peerpb.Reply, error) {
	x, err := p.openExchange(ctx, address, req)
	if err != nil {
		return nil, err
	}
	defer x.close()
	reply := &peerpb.Reply{}
	if err := x.readReply(reply); err != nil {
		return nil, err
	}
	return reply, nil
}
