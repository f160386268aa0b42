package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/standin/wire"
	"github.com/lavendervale/lavendervale/standin/worker"
)

const (
	// heartbeat is the time between two entries of an endpoint in the store.
	heartbeat = 1200 * time.Millisecond
	// slots is the number of requests that an endpoint names as its capacity, maxRunning that
	// which it accepts.
	slots, maxRunning = 8, 24
	// drainTime is how long an endpoint serves after it has said that it leaves.
	drainTime = 2500 * time.Millisecond
	// slowest and fastest bound the factor by which the speed of an engine changes.
	slowest, fastest = 0.4, 2.5
	// excuseTime is how long before its end the runs of an endpoint are disrupted by it.
	excuseTime = 5 * time.Second
)

// mood is a way in which an endpoint spoils a share of its answers.
type mood uint8

const (
	moodHealthy mood = iota
	moodBreak
	moodCut
	moodUnframed
	moodLate
)

// endpoint is a stand-in of an endpoint behind a relay. Each of its incarnations is a server of
// its own.
type endpoint struct {
	site         *site
	service      string
	streaming    bool
	domain       string
	relay        *wire.Relay
	mu           sync.Mutex
	id           string
	version      string
	incarnation  int
	born         int64
	seq          int
	state        string
	moodNow      mood
	moodEnds     time.Time
	speed        float64
	speedEnds    time.Time
	random       *rand.Rand
	worker       *worker.Worker
	server       *http.Server
	away         bool
	awaySince    time.Time
	running      int
	conns        map[*endpointConn]bool
	disruptedAt  []time.Time
	replacements int
}

// endpointConn is a connection to an endpoint.
type endpointConn struct {
	*net.TCPConn
	// mu guards the fields below.
	mu sync.Mutex
	// busy means that a request runs, unframed that its answer ends with the connection.
	busy, unframed bool
	// late is a copy of an earlier answer that is still to be sent.
	late []byte
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// connListener wraps the connections that a listener accepts.
type connListener struct {
	net.Listener
	endpoint *endpoint
}

// Accept returns the next connection as an endpointConn.
func (l connListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &endpointConn{TCPConn: conn.(*net.TCPConn)}
	l.endpoint.mu.Lock()
	defer l.endpoint.mu.Unlock()
	l.endpoint.conns[c] = true
	return c, nil
}

// newEndpoint starts an endpoint with the software version v1.
func newEndpoint(s *site, id, service, domain string, streaming bool, seed uint64) (*endpoint, error) {
	relay, err := wire.New("127.0.0.1:1")
	if err != nil {
		return nil, Errorf("start endpoint", KindSystem, "%w", err)
	}
	e := &endpoint{
		site: s, id: id, service: service, domain: domain, streaming: streaming, relay: relay, version: "v1",
		random: rand.New(rand.NewPCG(seed, 7)), away: true,
	}
	return e, e.begin(id, "v1", false)
}

// begin starts an incarnation, whose entry may be late by a heartbeat at most.
func (e *endpoint) begin(id, version string, late bool) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Errorf("start endpoint", KindSystem, "%w", err)
	}
	e.mu.Lock()
	e.id, e.version, e.state, e.seq, e.born = id, version, "ready", 0, time.Now().UnixMilli()
	e.incarnation++
	name := fmt.Sprintf("%s.%d", id, e.incarnation)
	e.worker = worker.New(id, e.streaming)
	e.worker.RespondWith(func(out http.ResponseWriter, r *http.Request, body string) { e.respond(name, version, out, r, body) })
	e.conns, e.away = map[*endpointConn]bool{}, false
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve), ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}, ErrorLog: quietLog}
	server := e.server
	e.mu.Unlock()
	e.relay.SetTarget(listener.Addr().String())
	go func() { _ = server.Serve(connListener{listener, e}) }()
	if !late {
		e.announce()
	}
	return nil
}

// announce writes the entry of the endpoint, or deletes it after three intervals of silence.
func (e *endpoint) announce() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.away {
		if time.Since(e.awaySince) > 3*heartbeat {
			e.site.store.Put("keyed.servers", e.id, nil)
		}
		return
	}
	e.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.relay.Address(), "zone": e.domain, "version": e.version, "slots": slots, "state": e.state, "cold_left_ms": 0, "seq": e.seq, "born": e.born,
	})
	e.site.store.Put("keyed.servers", e.id, entry)
}

// crash ends the incarnation with all its connections, some of them by a reset.
func (e *endpoint) crash() {
	e.mu.Lock()
	if e.away {
		e.mu.Unlock()
		return
	}
	server := e.server
	e.away, e.awaySince = true, time.Now()
	e.disruptedAt = append(e.disruptedAt, e.awaySince)
	reset := e.random.IntN(2) == 0
	for c := range e.conns {
		c.mu.Lock()
		if reset || c.unframed {
			_ = c.SetLinger(0)
		}
		c.mu.Unlock()
		_ = c.TCPConn.Close()
	}
	e.mu.Unlock()
	// Close waits for Accept, which locks the endpoint.
	_ = server.Close()
}

// leave says that the endpoint leaves, and ends the incarnation when its requests have ended.
func (e *endpoint) leave() {
	e.mu.Lock()
	if e.away {
		e.mu.Unlock()
		return
	}
	e.state = "draining"
	e.worker.Leave()
	server, id, incarnation := e.server, e.id, e.incarnation
	e.mu.Unlock()
	e.announce()
	time.Sleep(drainTime)
	ctx, cancel := context.WithTimeout(context.Background(), usualDeadline)
	defer cancel()
	_ = server.Shutdown(ctx)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation == incarnation && !e.away {
		e.away, e.awaySince = true, time.Now()
		e.disruptedAt = append(e.disruptedAt, e.awaySince)
		e.site.store.Put("keyed.servers", id, nil)
	}
}

// returnAs starts the next incarnation, if the endpoint is away.
func (e *endpoint) returnAs(newID, newVersion bool) error {
	e.mu.Lock()
	id, version, away := e.id, e.version, e.away
	if away && newID {
		e.replacements++
		e.site.store.Put("keyed.servers", id, nil)
		base, _, _ := strings.Cut(id, "-r")
		id = fmt.Sprintf("%s-r%d", base, e.replacements)
	}
	if newVersion {
		n, _ := strconv.Atoi(strings.TrimPrefix(version, "v"))
		version = fmt.Sprintf("v%d", n+1)
	}
	late := e.random.IntN(3) == 0 && e.site.lateEntries
	e.mu.Unlock()
	if !away {
		return nil
	}
	return e.begin(id, version, late)
}

// disrupted notes that the connections of the endpoint are harmed.
func (e *endpoint) disrupted() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disruptedAt = append(e.disruptedAt, time.Now())
}

// excuses returns whether a run at a time met a disruption of the endpoint.
func (e *endpoint) excuses(at time.Time) func() bool {
	return func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, d := range e.disruptedAt {
			if after := d.Sub(at); after > -excuseTime && after < excuseTime {
				return true
			}
		}
		return false
	}
}

// setMood makes the endpoint spoil a share of its answers for a while.
func (e *endpoint) setMood(m mood, span time.Duration) {
	e.disrupted()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moodNow, e.moodEnds = m, time.Now().Add(span)
}

// setSpeed changes the speed of the endpoint by a factor for a while.
func (e *endpoint) setSpeed(factor float64, span time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.speed, e.speedEnds = factor, time.Now().Add(span)
}

// serve serves a request with the worker, unless too many run.
func (e *endpoint) serve(out http.ResponseWriter, r *http.Request) {
	c := r.Context().Value(connKey{}).(*endpointConn)
	e.mu.Lock()
	w, id, full := e.worker, e.id, e.running >= maxRunning
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
	}()
	c.begin()
	defer c.end()
	switch {
	case r.URL.Path == "/health":
		out.Header().Set("Instance-Id", id)
	case full:
		out.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		out.Header().Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.ServeHTTP(out, r)
	}
}

// begin marks the connection as busy and sends a late copy that is still due.
func (c *endpointConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	if c.late != nil {
		_, _ = c.TCPConn.Write(c.late)
		c.late = nil
	}
}

func (c *endpointConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// repeatLater sends a copy of an answer while the connection is idle, or else before the next answer.
func (c *endpointConn) repeatLater(copied string, after time.Duration) {
	c.mu.Lock()
	c.late = []byte(copied)
	c.mu.Unlock()
	time.AfterFunc(after, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.busy && c.late != nil {
			_, _ = c.TCPConn.Write(c.late)
			c.late = nil
		}
	})
}

// name returns the name of the current incarnation.
func (e *endpoint) name() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprintf("%s.%d", e.id, e.incarnation)
}
