package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/session"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// dialTimeout bounds the connection to another front.
	dialTimeout = 300 * time.Millisecond
	// answerTimeout bounds the wait for a front's first answer.
	answerTimeout = 400 * time.Millisecond
	// pingTimeout bounds the wait for a sign of life of a front that did not answer.
	pingTimeout = 150 * time.Millisecond
	// slowPingTimeout is the same for a front that still gossips: a process with a quota
	// of its processor stands still for up to a tenth of a second, several times over.
	slowPingTimeout = 600 * time.Millisecond
	// distrustTime is how long a front that did not answer is not asked.
	distrustTime = 600 * time.Millisecond
	// copies is the number of other fronts that hold a record during an outage.
	copies = 3
	// minCopies is the number that must have taken the record.
	minCopies = 2
	// maxPortTries bounds the ports that are tried when the system chooses one.
	maxPortTries = 20
	// adoptInterval is the time between two looks for copies whose front is gone.
	adoptInterval = 500 * time.Millisecond
)

// Config describes a Mesh.
type Config struct {
	// Name is the name of this front.
	Name string
	// Domain is its failure domain.
	Domain string
	// Incarnation is the number of its life.
	Incarnation uint64
	// Weight is its processor share, for the spread of shards.
	Weight float64
	// Address is where it listens to other fronts, over TCP and UDP.
	Address string
	// Shards is the number of shards of the log.
	Shards int
	// Directory takes the load of other fronts.
	Directory *endpoint.Directory
	// StoreAway returns for how long this front has not reached the store.
	StoreAway func() time.Duration
	// Logger takes what happens between fronts.
	Logger *zap.Logger
}

// Store makes calls of the platform's store for other fronts.
type Store interface {
	// Direct makes one call without an intermediary.
	Direct(ctx context.Context, method, target string, body []byte) (int, []byte, error)
}

// Mesh is this front among the others.
type Mesh struct {
	config   Config
	table    *table
	crashes  *crashes
	held     *held
	sessions *session.Pool
	packets  net.PacketConn
	listener net.Listener
	sequence atomic.Uint64
	leaving  atomic.Bool
	starting atomic.Bool
	started  chan struct{}
	homes    *turn.ShardSet
	store    Store
}

// New opens the sockets of a mesh.
func New(c Config) (*Mesh, error) {
	listener, packets, err := openSockets(c.Address)
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	m := &Mesh{
		started: make(chan struct{}),
		config:  c, table: newTable(c.Name, c.Weight), crashes: newCrashes(), held: newHeld(), packets: packets, listener: listener,
		sessions: session.New(session.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}}),
	}
	m.starting.Store(true)
	return m, nil
}

// openSockets opens the sockets for connections and datagrams on one port; when the
// system chooses it, another choice may be needed for a port that is free for both.
func openSockets(address string) (net.Listener, net.PacketConn, error) {
	const op = "listen to fronts"
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, Errorf(op, KindUnreachable, "%w", err)
	}
	for try := 1; ; try++ {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, Errorf(op, KindUnreachable, "%w", err)
		}
		packets, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return listener, packets, nil
		}
		_ = listener.Close()
		if port != "0" || try == maxPortTries {
			return nil, nil, Errorf(op, KindUnreachable, "%w", err)
		}
	}
}

// Attach gives the mesh what it serves to other fronts; it must be called before Run.
func (m *Mesh) Attach(h *turn.ShardSet, s Store) { m.homes, m.store = h, s }

// Address returns where the mesh listens.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// Learn notes the address of another front.
func (m *Mesh) Learn(name, address string) { m.table.learn(name, address, time.Now()) }

// Alive returns the number of other fronts that are heard of.
func (m *Mesh) Alive() int { return len(m.table.alive(time.Now())) }

// Known returns the number of other fronts that are registered or heard of.
func (m *Mesh) Known() int { return m.table.known() }

// Leave tells the others to give the shards of this front to others.
func (m *Mesh) Leave() { m.leaving.Store(true) }

// Crashed notes that an endpoint ended while it ran an attempt of a request.
func (m *Mesh) Crashed(request, attempt uint64) { m.crashes.add(request, attempt, time.Now()) }

// Banned reports whether a request must not run any more.
func (m *Mesh) Banned(request uint64) bool { return m.crashes.banned(request) }

// Run gossips and serves until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { m.gossip(ctx) })
	work.Go(m.listenGossip)
	work.Go(func() { m.serve(ctx) })
	work.Go(func() { m.adoptOrphans(ctx) })
	<-ctx.Done()
	_ = m.listener.Close()
	time.AfterFunc(gossipInterval, func() { _ = m.packets.Close() })
	work.Wait()
	m.sessions.Close()
}

// Started tells the others that this front has loaded its shards.
func (m *Mesh) Started() {
	if m.starting.CompareAndSwap(true, false) {
		close(m.started)
	}
}

// Home reports whether a shard belongs to this front.
func (m *Mesh) Home(shard int) bool { return m.homeOf(shard).name == m.config.Name }

// Own returns the shards that will belong to this front once all have started.
func (m *Mesh) Own() []int {
	var out []int
	now := time.Now()
	for s := range m.config.Shards {
		if m.table.home(s, now, true, true).name == m.config.Name {
			out = append(out, s)
		}
	}
	return out
}
