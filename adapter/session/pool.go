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
	dialTimeout = time.Second
	// keepAliveInterval and writeTimeout bound how long a connection can be
	// silent before it is given up.
	keepAliveInterval = time.Second
	writeTimeout      = 1500 * time.Millisecond
	// idleTime is how long a session without requests is kept, and idleCheck the
	// time between two searches for such sessions.
	idleTime  = 10 * time.Second
	idleCheck = time.Second
	// windowBytes is the receive window of one stream.
	windowBytes = 1 << 20
)

// Pool keeps one session to each process it has spoken to.
type Pool struct {
	config Config
	mu     sync.Mutex
	links  map[string]*link
	closed bool
	done   chan struct{}
}

// Config describes a Pool.
type Config struct {
	// Dial connects to an address, net.Dialer when nil.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// link is the session to one address; mu guards dialing.
type link struct {
	mu      sync.Mutex
	session *yamux.Session
	used    time.Time
}

// New returns a pool without sessions.
func New(c Config) *Pool {
	if c.Dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout}
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	p := &Pool{config: c, links: map[string]*link{}, done: make(chan struct{})}
	go p.clean()
	return p
}

// clean ends the sessions that have carried no request for some time, so that
// only those in use are kept alive.
func (p *Pool) clean() {
	t := time.NewTicker(idleCheck)
	defer t.Stop()
	for {
		select {
		case <-p.done:
			return
		case now := <-t.C:
			p.closeIdle(now)
		}
	}
}

func (p *Pool) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, l := range p.links {
		if l.idle(now) {
			delete(p.links, address)
			l.close()
		}
	}
}

// idle reports whether the session carries no request and has not for a while;
// one that is being dialed is not idle.
func (l *link) idle(now time.Time) bool {
	if !l.mu.TryLock() {
		return false
	}
	defer l.mu.Unlock()
	if now.Sub(l.used) < idleTime {
		return false
	}
	return l.session == nil || l.session.NumStreams() == 0
}

// Check asks for a sign of life of the process at an address and ends the session
// when none comes in time.
func (p *Pool) Check(address string, timeout time.Duration) bool {
	p.mu.Lock()
	l, ok := p.links[address]
	p.mu.Unlock()
	if !ok {
		return false
	}
	l.mu.Lock()
	s := l.session
	l.mu.Unlock()
	if s == nil {
		return false
	}
	answered := make(chan error, 1)
	go func() {
		_, err := s.Ping()
		answered <- err
	}()
	select {
	case err := <-answered:
		if err == nil {
			return true
		}
	case <-time.After(timeout):
	}
	_ = s.Close()
	return false
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	if !p.closed {
		close(p.done)
	}
	p.closed = true
	links := p.links
	p.links = map[string]*link{}
	p.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}

// Forget ends the session to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	l, ok := p.links[address]
	delete(p.links, address)
	p.mu.Unlock()
	if ok {
		l.close()
	}
}

// Sessions returns the number of addresses with a session.
func (p *Pool) Sessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		_ = l.session.Close()
	}
}

// Open opens a stream to an address, over a new session when needed.
func (p *Pool) Open(ctx context.Context, address string) (*yamux.Stream, error) {
	l, err := p.link(address)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used = time.Now()
	if l.session != nil {
		stream, err := l.session.OpenStream()
		if err == nil {
			return stream, nil
		}
		_ = l.session.Close()
		l.session = nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	session, err := yamux.Client(conn, Options())
	if err != nil {
		_ = conn.Close()
		return nil, trace.Wrap(err)
	}
	l.session = session
	stream, err := session.OpenStream()
	return stream, trace.Wrap(err)
}

func (p *Pool) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, trace.ConnectionProblem(nil, "pool is closed")
	}
	l, ok := p.links[address]
	if !ok {
		l = &link{used: time.Now()}
		p.links[address] = l
	}
	return l, nil
}

// Options returns the settings of a session.
func Options() *yamux.Config {
	c := yamux.DefaultConfig()
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = 0
	c.MaxStreamWindowSize = windowBytes
	c.LogOutput = io.Discard
	return c
}

// HangUp ends a stream in both directions.
func HangUp(stream *yamux.Stream) {
	_ = stream.SetReadDeadline(time.Now())
	_ = stream.Close()
}
