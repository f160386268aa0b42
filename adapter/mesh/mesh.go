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
	"github.com/lavendervale/lavendervale/origin"
	"github.com/lavendervale/lavendervale/permit"
	"github.com/lavendervale/lavendervale/quarantine"
	"github.com/lavendervale/lavendervale/transcript"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// dialTimeout bounds the connection setup to another front.
	dialTimeout = 300 * time.Millisecond
	// replyTimeout bounds the wait for the first reply of another front.
	replyTimeout = 400 * time.Millisecond
	// pingTimeout bounds the wait for the ping reply of a front that did not answer a
	// request.
	pingTimeout = 150 * time.Millisecond
	// slowPingTimeout replaces pingTimeout for a front that still gossips: a process that
	// exceeds its CPU quota is suspended for up to 100 ms, several times in a row.
	slowPingTimeout = 600 * time.Millisecond
	// suspendDuration is how long a front that did not respond to a ping gets no requests.
	suspendDuration = 600 * time.Millisecond
	// replicaCount is the number of other fronts that a record is sent to while the log
	// takes no appends.
	replicaCount = 3
	// minReplicas is the number of them that must have stored the record.
	minReplicas = 2
	// keepShardsAfter is how long the store must be unreachable for a front that leaves to stay
	// the home of its shards.
	keepShardsAfter = 300 * time.Millisecond
	// maxPortAttempts bounds the ports that are tried when the system chooses the port.
	maxPortAttempts = 20
	// orphanCheckInterval is the time between two searches for replicas whose front is no
	// longer alive.
	orphanCheckInterval = 500 * time.Millisecond
)

// Config describes a Mesh.
type Config struct {
	// Name is the name of this front, unique among the fronts.
	Name string
	// Domain is the failure domain of this front.
	Domain string
	// Incarnation numbers the starts of this front; each start has a greater number.
	Incarnation uint64
	// Weight is the number of processors that this front may use, fractions too; shards
	// are distributed in proportion.
	Weight float64
	// Address is the host and port to listen on for other fronts, over TCP and UDP. With
	// port 0 the system chooses the port.
	Address string
	// Shards is the number of shards of the log.
	Shards int
	// Directory provides the load of this front on the endpoints and receives that of
	// other fronts.
	Directory *endpoint.Directory
	// StoreUnreachableFor returns for how long this front has not reached the platform's
	// store, 0 when it does.
	StoreUnreachableFor func() time.Duration
	// Shares provides the use of customers at this front and receives that of other fronts; nil if
	// it is not shared.
	Shares ShareLedger
	// Logger receives the log lines of the mesh; required.
	Logger *zap.Logger
}

// Store makes calls to the platform's store on behalf of other fronts.
type Store interface {
	// Direct makes one call without a relay and returns the status and the body of the
	// answer.
	Direct(ctx context.Context, method, target string, body []byte) (int, []byte, error)
}

// Mesh connects this front to all others.
type Mesh struct {
	config   Config
	peers    *peerTable
	suspects *quarantine.Suspects
	replicas *replicaStore
	// permits issues the permits of the endpoints that this front is the issuer of.
	permits *permit.Issuer
	// quotas counts the requests of the customers whose quotas this front keeps, ownQuotas
	// those that it admitted without an answer of the front that does.
	quotas, ownQuotas *permit.Windows
	// quotaHistory remembers which fronts counted the requests of this one.
	quotaHistory *permit.History
	// relayed holds the states that this front passes on between failure domains.
	relayed *relayTable
	// origins holds the origins of streams that this front or another one serves.
	origins *origin.Store
	// transcripts holds transcripts of streams that other fronts serve, or this one if it is alone.
	transcripts *transcript.Store
	// sessions holds the multiplexed connections to other fronts.
	sessions *session.Pool
	// datagrams is the UDP socket for gossip, listener the TCP socket for requests; both
	// have the same port.
	datagrams net.PacketConn
	listener  net.Listener
	// gossipSequence is the sequence number of the last datagram sent.
	gossipSequence atomic.Uint64
	// homes holds the shards that this front is the home of.
	homes homeWatch
	// leaving is set once this front must not be the home of any shard.
	leaving atomic.Bool
	// exiting is set once this front serves no other front any more.
	exiting atomic.Bool
	// starting is set until this front has loaded its shards; started is closed then.
	starting atomic.Bool
	started  chan struct{}
	// cold is set if most other fronts started with this one.
	cold atomic.Bool
	// settled is closed once this front has heard of most others, so that it knows its shards; nil
	// unless AwaitPeers was called.
	settled chan struct{}
	// shardSet and store serve the requests of other fronts, see SetHandlers.
	shardSet *turn.ShardSet
	store    Store
}

// New opens the sockets of a mesh. Its errors are of KindUnreachable.
func New(c Config) (*Mesh, error) {
	listener, datagrams, err := openSockets(c.Address)
	if err != nil {
		return nil, err
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	m := &Mesh{
		started: make(chan struct{}),
		config:  c, peers: newPeerTable(c.Name, c.Weight), suspects: quarantine.NewSuspects(), replicas: newReplicaStore(), permits: permit.NewIssuer(), quotas: permit.NewWindows(time.Now()), ownQuotas: permit.NewWindows(time.Now()), quotaHistory: permit.NewHistory(), relayed: newRelayTable(), origins: origin.NewStore(), transcripts: transcript.NewStore(), datagrams: datagrams, listener: listener,
		sessions: session.NewPool(session.PoolConfig{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}}),
	}
	m.starting.Store(true)
	return m, nil
}

// openSockets opens a TCP and a UDP socket on the same port. The port that the system
// chooses for TCP may be in use for UDP; another one is tried then.
func openSockets(address string) (net.Listener, net.PacketConn, error) {
	const op = "listen for other fronts"
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, nil, Errorf(op, KindUnreachable, "%w", err)
	}
	for attempt := 1; ; attempt++ {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, nil, Errorf(op, KindUnreachable, "%w", err)
		}
		datagrams, err := net.ListenPacket("udp", listener.Addr().String())
		if err == nil {
			return listener, datagrams, nil
		}
		_ = listener.Close()
		if port != "0" || attempt == maxPortAttempts {
			return nil, nil, Errorf(op, KindUnreachable, "%w", err)
		}
	}
}

// SetHandlers sets what serves the requests of other fronts: h for turns and records, s
// for store calls. It must be called before Run.
func (m *Mesh) SetHandlers(h *turn.ShardSet, s Store) { m.shardSet, m.store = h, s }

// Address returns the host and port that the mesh listens on, over TCP and UDP.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

// AddFront records that the platform lists another front, with its address.
func (m *Mesh) AddFront(name, address string) { m.peers.addFront(name, address, time.Now()) }

// AliveCount returns the number of other fronts that gossip and are not suspended.
func (m *Mesh) AliveCount() int { return len(m.peers.alive(time.Now())) }

// KnownCount returns the number of other fronts that are listed by the platform or have
// gossiped, alive or not.
func (m *Mesh) KnownCount() int { return m.peers.count() }

// Leave stops this front from being the home of any shard; gossip tells the others. While the store
// is away the front stays the home of its shards, since no other one could load them.
func (m *Mesh) Leave() { m.leaving.Store(true) }

// KeepsShards reports whether this front stays the home of its shards although it leaves.
func (m *Mesh) KeepsShards() bool {
	return m.leaving.Load() && !m.exiting.Load() && m.config.StoreUnreachableFor() > keepShardsAfter
}

// handsOver reports whether this front must not be the home of any shard because it leaves.
func (m *Mesh) handsOver() bool { return m.leaving.Load() && !m.KeepsShards() }

// RecordCrash records that an incarnation of an endpoint crashed at endedAt while it ran a request
// that was sent to it at beganAt; gossip tells the other fronts.
func (m *Mesh) RecordCrash(request quarantine.Identity, incarnation uint64, beganAt, endedAt time.Time) {
	m.suspects.RecordCrash(request, incarnation, beganAt, endedAt)
}

// RecordCompletion records that a request has run to its end. Gossip tells the other fronts if any
// endpoint crashed while it ran.
func (m *Mesh) RecordCompletion(request quarantine.Identity) {
	m.suspects.RecordCompletion(request, time.Now())
}

// Banned reports whether a request has crashed so many endpoints that it must not be run again.
func (m *Mesh) Banned(request quarantine.Identity) bool { return m.suspects.Banned(request) }

// Run sends and receives gossip, serves other fronts and recovers the records of lost
// ones until ctx ends. It closes the sockets, the one for gossip a moment later so that
// the last datagram can be sent.
func (m *Mesh) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { m.runGossip(ctx) })
	wg.Go(m.receiveGossip)
	wg.Go(func() { m.serve(ctx) })
	wg.Go(func() { m.recoverOrphans(ctx) })
	wg.Go(func() { m.watchHomes(ctx) })
	wg.Go(func() { m.runRelay(ctx) })
	<-ctx.Done()
	_ = m.listener.Close()
	time.AfterFunc(gossipInterval, func() { _ = m.datagrams.Close() })
	wg.Wait()
	m.sessions.Close()
}

// AwaitPeers makes turns wait until MarkSettled is called: before this front has heard of most others,
// it does not know which front is the home of a shard. It must be called before Run.
func (m *Mesh) AwaitPeers() { m.settled = make(chan struct{}) }

// MarkSettled records that this front has heard of most others. It must be called once.
func (m *Mesh) MarkSettled() {
	m.cold.Store(m.peers.mostAreStarting(time.Now(), true))
	close(m.settled)
}

// MarkStarted records that this front has loaded its shards and may be a home; gossip
// tells the others.
func (m *Mesh) MarkStarted() {
	if m.starting.CompareAndSwap(true, false) {
		close(m.started)
	}
}

// IsHome reports whether this front is the home of a shard.
func (m *Mesh) IsHome(shard int) bool { return m.homeOfShard(shard).name == m.config.Name }

// OwnShards returns the shards of which this front will be the home once it and all
// others have started.
func (m *Mesh) OwnShards() []int {
	var shards []int
	now := time.Now()
	for shard := range m.config.Shards {
		if m.peers.home(shard, now, true, true).name == m.config.Name {
			shards = append(shards, shard)
		}
	}
	return shards
}
