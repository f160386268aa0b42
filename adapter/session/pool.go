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
)

// Pool opens sessions to addresses when they are first needed and closes idle ones. Its
// methods are safe for concurrent use.
type Pool struct {
	config PoolConfig
	// mu guards slots and closed; it is not held while a connection is set up.
	mu sync.Mutex
	// slots holds the slot of each address.
	slots  map[string]*slot
	closed bool
	// done is closed by Close.
	done chan struct{}
}

// PoolConfig describes a Pool.
type PoolConfig struct {
	// Dial connects to an address; nil stands for plain TCP. Its context ends after
	// dialTimeout.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// slot holds the session to one address.
type slot struct {
	// lock guards the other fields: who has sent a value holds it until receiving one. It
	// is held while the connection is set up, so that concurrent requests share one
	// session; unlike a mutex, a context can end the wait for it.
	lock chan struct{}
	// session is nil until a connection succeeds and after one has failed. It may be closed
	// already; Open replaces it then.
	session *yamux.Session
	// lastOpenAt is when a stream was last requested, or when the slot was created.
	lastOpenAt time.Time
	// removed is set once the slot is no longer in the pool; no session is set then.
	removed bool
}

func newSlot() *slot {
	return &slot{lock: make(chan struct{}, 1), lastOpenAt: time.Now()}
}

// acquire locks the slot, or returns the error of ctx when it ends first.
func (s *slot) acquire(ctx context.Context) error {
	select {
	case s.lock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// tryAcquire locks the slot, or returns false when it is locked.
func (s *slot) tryAcquire() bool {
	select {
	case s.lock <- struct{}{}:
		return true
	default:
		return false
	}
}

func (s *slot) release() { <-s.lock }

// NewPool returns a pool without sessions. Close ends its goroutine, which closes idle
// sessions.
func NewPool(c PoolConfig) *Pool {
	if c.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Pool{config: c, slots: map[string]*slot{}, done: make(chan struct{})}
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
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, s := range p.slots {
		if s.closeIfIdle(now) {
			delete(p.slots, address)
		}
	}
}

// closeIfIdle closes the session if it has no streams and the last one was opened at least
// idleTimeout ago, and reports whether it did. A slot whose connection is being set up is
// not idle.
func (s *slot) closeIfIdle(now time.Time) bool {
	if !s.tryAcquire() {
		return false
	}
	defer s.release()
	if now.Sub(s.lastOpenAt) < idleTimeout || (s.session != nil && s.session.NumStreams() > 0) {
		return false
	}
	s.closeLocked()
	return true
}

// PingOrClose pings the process at an address and reports whether it responded within
// timeout. If not, the session is closed, which fails the requests on it. Without a
// session to the address the result is false.
func (p *Pool) PingOrClose(address string, timeout time.Duration) bool {
	p.mu.Lock()
	s, ok := p.slots[address]
	p.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.acquire(ctx) != nil {
		return false
	}
	session := s.session
	s.release()
	if session == nil {
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
	_ = session.Close()
	return false
}

// Close closes all sessions. Later calls of Open fail.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		close(p.done)
	}
	p.closed = true
	slots := p.slots
	p.slots = map[string]*slot{}
	p.mu.Unlock()
	for _, s := range slots {
		s.close()
	}
}

// CloseSession closes the session to an address, if there is one.
func (p *Pool) CloseSession(address string) {
	p.mu.Lock()
	s, ok := p.slots[address]
	delete(p.slots, address)
	p.mu.Unlock()
	if ok {
		s.close()
	}
}

// SessionCount returns the number of addresses with a session. An address whose connection
// is being set up or has failed counts until it has been idle for idleTimeout.
func (p *Pool) SessionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots)
}

// close closes the session of a slot that has been removed from the pool. It waits for a
// connection that is being set up.
func (s *slot) close() {
	s.lock <- struct{}{}
	defer s.release()
	s.closeLocked()
}

func (s *slot) closeLocked() {
	s.removed = true
	if s.session != nil {
		_ = s.session.Close()
	}
}

// Open opens a stream to an address. It sets up a new session when there is none or the
// old one opens no streams.
func (p *Pool) Open(ctx context.Context, address string) (*yamux.Stream, error) {
	s, err := p.acquireSlot(ctx, address)
	if err != nil {
		return nil, err
	}
	defer s.release()
	s.lastOpenAt = time.Now()
	if s.session != nil {
		stream, err := s.session.OpenStream()
		if err == nil {
			return stream, nil
		}
		_ = s.session.Close()
		s.session = nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	session, err := yamux.Client(conn, YamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(err)
	}
	s.session = session
	stream, err := session.OpenStream()
	return stream, trace.Wrap(err)
}

// acquireSlot locks the slot of an address. A slot that has been removed during the wait is
// replaced, since the pool would never close a session in it.
func (p *Pool) acquireSlot(ctx context.Context, address string) (*slot, error) {
	for {
		s, err := p.slotFor(address)
		if err != nil {
			return nil, err
		}
		if err := s.acquire(ctx); err != nil {
			return nil, trace.Wrap(err)
		}
		if !s.removed {
			return s, nil
		}
		s.release()
	}
}

// slotFor returns the slot of an address, a new one if needed.
func (p *Pool) slotFor(address string) (*slot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, trace.ConnectionProblem(nil, "session pool is closed")
	}
	s, ok := p.slots[address]
	if !ok {
		s = newSlot()
		p.slots[address] = s
	}
	return s, nil
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
