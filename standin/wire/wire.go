package wire

import (
	"io"
	"net"
	"sync"
)

// Relay accepts TCP connections on a loopback address and relays each of them over a new
// connection to a target address. It is safe for concurrent use.
type Relay struct {
	listener      net.Listener
	targetAddress string
	// mu guards disconnected and openPairs.
	mu sync.Mutex
	// disconnected means that new connections are closed as soon as they are accepted.
	disconnected bool
	// openPairs is the set of pairs that are being relayed.
	openPairs  map[*connPair]bool
	goroutines sync.WaitGroup
}

// connPair is a connection from a client and the connection to the target that relays
// it.
type connPair struct {
	client net.Conn
	target net.Conn
	// mu guards blackholed.
	mu sync.Mutex
	// blackholed means that the data of both directions is discarded.
	blackholed bool
}

// New starts a relay to a target address, on a free port of the loopback interface. The
// caller must close it.
func New(targetAddress string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, targetAddress: targetAddress, openPairs: map[*connPair]bool{}}
	r.goroutines.Add(1)
	go r.acceptLoop()
	return r, nil
}

// Address returns the IP address and port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Disconnect closes all connections, and new ones as soon as they are accepted, until
// Restore is called.
func (r *Relay) Disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = true
	for p := range r.openPairs {
		p.close()
	}
}

// Restore relays new connections again after Disconnect.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected = false
}

// Blackhole discards all further data of the open connections, in both directions and
// without closing them. It cannot be undone for these connections. New connections are
// relayed normally.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.openPairs {
		p.mu.Lock()
		p.blackholed = true
		p.mu.Unlock()
	}
}

// Close stops the relay, closes its connections and waits for its goroutines to end.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Disconnect()
	r.goroutines.Wait()
}

func (r *Relay) acceptLoop() {
	defer r.goroutines.Done()
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.relayConn(client)
	}
}

// relayConn connects a client to the target and starts to relay. It closes the client
// while the relay is disconnected or if the target can't be reached.
func (r *Relay) relayConn(client net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target, err := net.Dial("tcp", r.targetAddress)
	if r.disconnected || err != nil {
		_ = client.Close()
		if err == nil {
			_ = target.Close()
		}
		return
	}
	p := &connPair{client: client, target: target}
	r.openPairs[p] = true
	r.goroutines.Add(2)
	go r.copyBytes(p, client, target)
	go r.copyBytes(p, target, client)
}

// copyBytes relays one direction of a pair until either connection is closed, and then
// closes both.
func (r *Relay) copyBytes(p *connPair, src, dst net.Conn) {
	defer r.goroutines.Done()
	_, _ = io.Copy(&pairWriter{pair: p, dst: dst}, src)
	p.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openPairs, p)
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.target.Close()
}

// pairWriter writes to one connection of a pair, or discards the data if the pair is
// blackholed.
type pairWriter struct {
	pair *connPair
	dst  net.Conn
}

// Write writes b to the connection. If the pair is blackholed, it discards b and reports
// success.
func (w *pairWriter) Write(b []byte) (int, error) {
	w.pair.mu.Lock()
	blackholed := w.pair.blackholed
	w.pair.mu.Unlock()
	if blackholed {
		return len(b), nil
	}
	return w.dst.Write(b)
}
