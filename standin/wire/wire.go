package wire

import (
	"io"
	"net"
	"sync"
	"time"
)

// Relay accepts TCP connections on a loopback address and relays each of them over a new
// connection to a target address. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	// mu guards the fields below.
	mu            sync.Mutex
	targetAddress string
	// disconnected means that new connections are closed as soon as they are accepted.
	disconnected bool
	// newSilence and delay apply to new connections; delay also to open ones.
	newSilence silence
	delay      time.Duration
	// openPairs is the set of pairs that are being relayed.
	openPairs  map[*connPair]bool
	goroutines sync.WaitGroup
}

// silence tells in which directions the data of a connection is discarded.
type silence struct{ toTarget, toClient bool }

// connPair is a connection from a client and the connection to the target that relays
// it.
type connPair struct {
	client, target *net.TCPConn
	// mu guards silence.
	mu      sync.Mutex
	silence silence
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

// SetTarget sets the address that new connections are relayed to.
func (r *Relay) SetTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetAddress = address
}

// SetDelay delays all later data in both directions.
func (r *Relay) SetDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

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

// Reset resets all open connections. New ones are relayed normally.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.openPairs {
		p.reset()
	}
}

// Restore relays new connections normally again after Disconnect or Silence, without a delay.
func (r *Relay) Restore() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disconnected, r.newSilence, r.delay = false, silence{}, 0
}

// Blackhole discards all further data of the open connections, in both directions and
// without closing them. It can't be undone for these connections. New connections are
// relayed normally.
func (r *Relay) Blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.openPairs {
		p.discard(silence{toTarget: true, toClient: true})
	}
}

// Silence discards all further data in the named directions, of open connections for good and
// of new ones until Restore is called. A connection that lost data ends with a reset.
func (r *Relay) Silence(toTarget, toClient bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newSilence = silence{toTarget: toTarget, toClient: toClient}
	for p := range r.openPairs {
		p.discard(r.newSilence)
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
		r.relayConn(client.(*net.TCPConn))
	}
}

// relayConn connects a client to the target and starts to relay. It closes the client
// while the relay is disconnected or if the target can't be reached.
func (r *Relay) relayConn(client *net.TCPConn) {
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
	p := &connPair{client: client, target: target.(*net.TCPConn), silence: r.newSilence}
	r.openPairs[p] = true
	r.goroutines.Add(2)
	go r.copyBytes(p, p.client, p.target, func(s silence) bool { return s.toTarget })
	go r.copyBytes(p, p.target, p.client, func(s silence) bool { return s.toClient })
}

// copyBytes relays one direction of a pair until either connection is closed, and then
// closes both. If src was reset, or data was lost, both are reset.
func (r *Relay) copyBytes(p *connPair, src, dst *net.TCPConn, discards func(silence) bool) {
	defer r.goroutines.Done()
	_, err := io.Copy(&pairWriter{relay: r, pair: p, dst: dst, discards: discards}, &pairReader{src: src})
	if err != nil || p.lossy() {
		p.reset()
	} else {
		p.close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.openPairs, p)
}

func (p *connPair) discard(s silence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silence.toTarget = p.silence.toTarget || s.toTarget
	p.silence.toClient = p.silence.toClient || s.toClient
}

// lossy reports whether data of the pair is discarded.
func (p *connPair) lossy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silence != silence{}
}

func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.target.Close()
}

func (p *connPair) reset() {
	_ = p.client.SetLinger(0)
	_ = p.target.SetLinger(0)
	p.close()
}

// pairReader hides all methods of a connection except Read, so that data passes through Write
// of pairWriter.
type pairReader struct{ src io.Reader }

// Read reads from the connection.
func (r *pairReader) Read(b []byte) (int, error) { return r.src.Read(b) }

// pairWriter writes to one connection of a pair, or discards the data in a silent direction.
type pairWriter struct {
	relay    *Relay
	pair     *connPair
	dst      io.Writer
	discards func(silence) bool
}

// Write writes b to the connection after the delay of the relay. If the direction is silent, it
// discards b and reports success.
func (w *pairWriter) Write(b []byte) (int, error) {
	w.relay.mu.Lock()
	delay := w.relay.delay
	w.relay.mu.Unlock()
	time.Sleep(delay)
	w.pair.mu.Lock()
	silent := w.discards(w.pair.silence)
	w.pair.mu.Unlock()
	if silent {
		return len(b), nil
	}
	return w.dst.Write(b)
}
