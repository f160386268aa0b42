package session

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
)

const (
	// dialTimeout bounds the setup of a connection.
	dialTimeout = time.Second
	// keepAliveInterval is the time between two pings on a session.
	keepAliveInterval = time.Second
	// connectionWriteTimeout bounds the wait for the reply to a ping and for a write.
	// Together with keepAliveInterval it bounds how long a session to a process that
	// does not respond stays open.
	connectionWriteTimeout = 1500 * time.Millisecond
	// idleTimeout is how long a session without streams stays open after the last
	// stream was opened.
	idleTimeout = 10 * time.Second
	// idleCheckInterval is the time between two searches for idle sessions.
	idleCheckInterval = time.Second
	// streamWindowBytes is the receive window of one stream.
	streamWindowBytes = 1 << 20
	// maxOpening is how many calls of OpenStream a session has under way at most, and so
	// how many goroutines a process that accepts no streams holds up.
	maxOpening = 64
)

// Pool opens sessions to addresses when they are first needed and closes idle ones. Its
// methods are safe for concurrent use.
type Pool struct {
	config PoolConfig
	// mu guards connections, closed, and fields of each connection; it is not held while
	// a connection or a stream is set up, or while a session is closed.
	mu sync.Mutex
	// connections holds the connection to each address, set up or being set up.
	connections map[string]*connection
	closed      bool
	// done is closed by Close.
	done chan struct{}
	// dials counts the dials under way.
	dials sync.WaitGroup
}

// PoolConfig describes a Pool.
type PoolConfig struct {
	// Dial connects to an address; nil stands for plain TCP. Its context ends after
	// dialTimeout, or when the session is closed, and Dial must return then.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// connection is a session to an address, or the dial that sets it up. The dial belongs to
// no request: all requests to the address wait for it, each within its own context.
type connection struct {
	// cancelDial ends the context of the dial.
	cancelDial context.CancelFunc
	// decided is closed, under the lock of the pool, once session or err is set; they
	// don't change afterwards. A connection leaves the pool at the latest when err is set.
	decided chan struct{}
	session *yamux.Session
	err     error
	// opening holds a value for each call of OpenStream that has not returned; some
	// outlast their requests.
	opening chan struct{}
	// lastOpenAt is when a stream was last requested. It is guarded by the lock of the pool.
	lastOpenAt time.Time
}

// NewPool returns a pool without sessions. Close ends its goroutine, which closes idle
// sessions.
func NewPool(c PoolConfig) *Pool {
	if c.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Pool{config: c, connections: map[string]*connection{}, done: make(chan struct{})}
	go p.closeIdlePeriodically()
	return p
}

// closeIdlePeriodically closes idle sessions until Close, so that keep-alive pings are
// sent only on sessions in use.
func (p *Pool) closeIdlePeriodically() {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-ticker.C:
			p.closeIdle(now)
		}
	}
}

func (p *Pool) closeIdle(now time.Time) {
	var idle []*connection
	p.mu.Lock()
	for address, c := range p.connections {
		if c.idle(now) {
			delete(p.connections, address)
			idle = append(idle, c)
		}
	}
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.session.Close()
	}
}

// idle reports whether the session has no streams and the last one was requested at least
// idleTimeout ago; the lock of the pool must be held. A connection being set up is not idle.
func (c *connection) idle(now time.Time) bool {
	return c.isDecided() && now.Sub(c.lastOpenAt) >= idleTimeout && c.session.NumStreams() == 0
}

// PingOrClose pings the process at an address and reports whether it responded within
// timeout, which includes the wait for a connection being set up. If not, the session is
// closed, which fails the requests on it. Without a session to the address the result is
// false.
func (p *Pool) PingOrClose(address string, timeout time.Duration) bool {
	p.mu.Lock()
	c, ok := p.connections[address]
	p.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	session, err := c.wait(ctx)
	if err != nil {
		return false
	}
	pingResult := make(chan error, 1)
	go func() {
		_, err := session.Ping()
		pingResult <- err
	}()
	select {
	case err := <-pingResult:
		if err == nil {
			return true
		}
	case <-ctx.Done():
	}
	p.remove(address, c)
	return false
}

// Close closes all sessions and ends the dials under way. Later calls of Open fail.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		close(p.done)
	}
	p.closed = true
	connections := p.connections
	p.connections = map[string]*connection{}
	for _, c := range connections {
		c.cancel()
	}
	p.mu.Unlock()
	for _, c := range connections {
		c.closeSession()
	}
	p.dials.Wait()
}

// CloseSession closes the session to an address, if there is one. Requests that wait for
// its connection fail.
func (p *Pool) CloseSession(address string) {
	p.mu.Lock()
	c, ok := p.connections[address]
	p.mu.Unlock()
	if ok {
		p.remove(address, c)
	}
}

// SessionCount returns the number of addresses with a session or a connection being set up.
func (p *Pool) SessionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// remove takes a connection out of the pool, unless it has left already, and closes it.
func (p *Pool) remove(address string, c *connection) {
	p.mu.Lock()
	if p.connections[address] == c {
		delete(p.connections, address)
	}
	c.cancel()
	p.mu.Unlock()
	c.closeSession()
}

// Open opens a stream to an address. It sets up a new session when there is none or the
// old one opens no streams. It returns the error of ctx if that ends first; a connection
// being set up is left to later requests.
func (p *Pool) Open(ctx context.Context, address string) (*yamux.Stream, error) {
	for {
		c, reused, err := p.connectionTo(address)
		if err != nil {
			return nil, err
		}
		stream, err := c.open(ctx)
		if err == nil {
			return stream, nil
		}
		if ctx.Err() != nil {
			return nil, trace.Wrap(err)
		}
		p.remove(address, c)
		if !reused {
			return nil, trace.Wrap(err)
		}
	}
}

// connectionTo returns the connection to an address and reports whether it is set up. If
// there is none, a dial is begun.
func (p *Pool) connectionTo(address string) (c *connection, isSetUp bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, trace.ConnectionProblem(nil, "session pool is closed")
	}
	c, ok := p.connections[address]
	if !ok {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		c = &connection{cancelDial: cancel, decided: make(chan struct{}), opening: make(chan struct{}, maxOpening)}
		p.connections[address] = c
		p.dials.Go(func() {
			defer cancel()
			p.dial(ctx, address, c)
		})
	}
	c.lastOpenAt = time.Now()
	return c, c.isDecided(), nil
}

// dial sets up a connection. If it has left the pool meanwhile, the session is closed, as
// nothing else would.
func (p *Pool) dial(ctx context.Context, address string, c *connection) {
	session, err := p.dialSession(ctx, address)
	p.mu.Lock()
	wanted := !c.isDecided()
	if wanted {
		c.decide(session, err)
		if err != nil {
			delete(p.connections, address)
		}
	}
	p.mu.Unlock()
	if !wanted && session != nil {
		_ = session.Close()
	}
}

func (p *Pool) dialSession(ctx context.Context, address string) (*yamux.Session, error) {
	conn, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	session, err := yamux.Client(conn, YamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(err)
	}
	return session, nil
}

// decide sets the result of the dial; the lock of the pool must be held.
func (c *connection) decide(session *yamux.Session, err error) {
	c.session, c.err = session, err
	close(c.decided)
}

func (c *connection) isDecided() bool {
	select {
	case <-c.decided:
		return true
	default:
		return false
	}
}

// cancel ends the dial and fails the requests that wait for it, if it is under way; the
// lock of the pool must be held.
func (c *connection) cancel() {
	if !c.isDecided() {
		c.cancelDial()
		c.decide(nil, trace.ConnectionProblem(nil, "session was closed while its connection was set up"))
	}
}

// closeSession closes the session of a connection that has left the pool.
func (c *connection) closeSession() {
	if c.session != nil {
		_ = c.session.Close()
	}
}

// wait returns the session once it is set up.
func (c *connection) wait(ctx context.Context) (*yamux.Session, error) {
	select {
	case <-c.decided:
		return c.session, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// open opens a stream once the session is set up. OpenStream waits while the other side
// accepts no streams; its call goes on when ctx ends, and the stream is aborted then.
func (c *connection) open(ctx context.Context) (*yamux.Stream, error) {
	session, err := c.wait(ctx)
	if err != nil {
		return nil, err
	}
	select {
	case c.opening <- struct{}{}:
	case <-session.CloseChan():
		return nil, yamux.ErrSessionShutdown
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	type result struct {
		stream *yamux.Stream
		err    error
	}
	// Without a buffer, either the request or the goroutine has the stream.
	opened := make(chan result)
	go func() {
		stream, err := session.OpenStream()
		<-c.opening
		select {
		case opened <- result{stream, err}:
		case <-ctx.Done():
			if err == nil {
				AbortStream(stream)
			}
		}
	}()
	select {
	case r := <-opened:
		return r.stream, r.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// YamuxConfig returns the configuration of both ends of a session.
func YamuxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = connectionWriteTimeout
	// 0 disables this timeout, which closes the whole session when one stream is not
	// acknowledged.
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = streamWindowBytes
	c.LogOutput = io.Discard
	return c
}

// AbortStream ends a stream in both directions: pending and later reads fail, unlike
// after Close alone, which ends only the writing side.
func AbortStream(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now())
	_ = stream.Close()
}
