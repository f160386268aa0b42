package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/quarantine"
)

// packetNetwork carries datagrams between the fronts of a simulated fleet.
type packetNetwork struct {
	mu  sync.Mutex
	rng *rand.Rand
	// sockets holds the sockets by address.
	sockets map[string]*packetSocket
	// loss is the share of datagrams that are lost.
	loss float64
	// crossBytes counts the bytes sent between failure domains, with the headers of packets.
	crossBytes int64
	// drops reports whether a datagram between two fronts is lost.
	drops func(from, to *packetSocket) bool
}

// packetHeaderBytes is the length of the IP and UDP headers of a datagram.
const packetHeaderBytes = 28

// packetSocket is the datagram socket of one front.
type packetSocket struct {
	net.PacketConn
	network *packetNetwork
	address *net.UDPAddr
	domain  string
	inbox   chan packet
	closed  chan struct{}
}

type packet struct {
	data []byte
	from net.Addr
}

// ReadFrom implements net.PacketConn.
func (s *packetSocket) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case received := <-s.inbox:
		return copy(p, received.data), received.from, nil
	case <-s.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements net.PacketConn.
func (s *packetSocket) WriteTo(p []byte, to net.Addr) (int, error) {
	n := s.network
	n.mu.Lock()
	defer n.mu.Unlock()
	peer, ok := n.sockets[to.String()]
	if !ok {
		return len(p), nil
	}
	if peer.domain != s.domain {
		n.crossBytes += int64(len(p) + packetHeaderBytes)
	}
	if n.rng.Float64() < n.loss || (n.drops != nil && n.drops(s, peer)) {
		return len(p), nil
	}
	data := append([]byte(nil), p...)
	time.AfterFunc(time.Millisecond, func() {
		select {
		case peer.inbox <- packet{data: data, from: s.address}:
		default:
		}
	})
	return len(p), nil
}

// Close implements net.PacketConn.
func (s *packetSocket) Close() error {
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
	return nil
}

// gossipFleet is a fleet of fronts that only gossip.
type gossipFleet struct {
	network *packetNetwork
	fronts  []*Mesh
	cancels []context.CancelFunc
}

func (n *packetNetwork) frontOf(m *Mesh) *packetSocket { return m.datagrams.(*packetSocket) }

// newGossipFleet starts fronts in five failure domains, each of which knows the addresses of all.
func newGossipFleet(t *testing.T, fronts int, seed uint64) *gossipFleet {
	f := &gossipFleet{network: &packetNetwork{rng: rand.New(rand.NewPCG(seed, 2)), sockets: map[string]*packetSocket{}}}
	for range fronts {
		f.start(t)
	}
	return f
}

// start starts one more front and tells all others its address, as the platform's list does.
func (f *gossipFleet) start(t *testing.T) *Mesh {
	i := len(f.fronts)
	domain := fmt.Sprint("domain-", i%5)
	address := &net.UDPAddr{IP: net.IPv4(10, byte(i%5), byte(i/250), byte(1+i%250)), Port: 7}
	socket := &packetSocket{network: f.network, address: address, domain: domain, inbox: make(chan packet, 4096), closed: make(chan struct{})}
	f.network.mu.Lock()
	f.network.sockets[address.String()] = socket
	f.network.mu.Unlock()
	name := fmt.Sprintf("front-%s-%d", domain, i)
	m := &Mesh{
		config: Config{
			Name: name, Domain: domain, Incarnation: uint64(time.Now().UnixNano()), Weight: 0.2 + 0.1*float64(i%4), Shards: 24, Directory: endpoint.NewDirectory(),
			StoreUnreachableFor: func() time.Duration { return 0 }, Logger: zap.NewNop(),
		},
		started: make(chan struct{}), peers: newPeerTable(name, 0.2+0.1*float64(i%4)), suspects: quarantine.NewSuspects(), relayed: newRelayTable(), datagrams: socket,
	}
	for _, other := range f.fronts {
		other.peers.addFront(name, address.String(), time.Now())
		m.peers.addFront(other.config.Name, f.network.frontOf(other).address.String(), time.Now())
	}
	ctx, cancel := context.WithCancel(t.Context())
	go m.runGossip(ctx)
	go m.runRelay(ctx)
	go m.receiveGossip()
	f.fronts, f.cancels = append(f.fronts, m), append(f.cancels, cancel)
	return m
}

// kill ends a front without a last datagram.
func (f *gossipFleet) kill(i int) {
	f.network.mu.Lock()
	delete(f.network.sockets, f.network.frontOf(f.fronts[i]).address.String())
	f.network.mu.Unlock()
	f.cancels[i]()
	_ = f.fronts[i].datagrams.Close()
}

func (f *gossipFleet) stop() {
	for i := range f.fronts {
		f.cancels[i]()
		_ = f.fronts[i].datagrams.Close()
	}
	time.Sleep(time.Second)
}

// fewestAlive returns the least number of other fronts that any of the given fronts takes for alive at
// any moment of a time, and the greatest age of what it knows of one of them.
func fewestAlive(fronts []*Mesh, length time.Duration) (int, time.Duration) {
	fewest, oldest := len(fronts), time.Duration(0)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, m := range fronts {
			alive, now := 0, time.Now()
			m.peers.mu.Lock()
			for _, other := range fronts {
				if p, ok := m.peers.peers[other.config.Name]; ok && other != m {
					oldest = max(oldest, now.Sub(p.lastGossipAt))
					if p.alive(now) {
						alive++
					}
				}
			}
			m.peers.mu.Unlock()
			fewest = min(fewest, alive)
		}
	}
	return fewest, oldest
}

// TestFleetHearsOfAllFronts checks that no front of a large fleet seems lost while it runs, whatever
// happens to the network and to relays.
func TestFleetHearsOfAllFronts(t *testing.T) {
	tests := []struct {
		name string
		loss float64
		// before changes the fleet once it runs and returns the fronts that must stay known.
		before func(t *testing.T, f *gossipFleet) []*Mesh
	}{
		{name: "calm"},
		{name: "lost datagrams", loss: 0.2},
		{name: "all relays killed", before: func(_ *testing.T, f *gossipFleet) []*Mesh {
			killed := map[string]bool{}
			for d := range 5 {
				domain := fmt.Sprint("domain-", d)
				for _, relay := range f.fronts[d].peers.relays(domain, domain, time.Now()) {
					killed[relay.name] = true
				}
			}
			var rest []*Mesh
			for i, m := range f.fronts {
				if killed[m.config.Name] {
					f.kill(i)
				} else {
					rest = append(rest, m)
				}
			}
			return rest
		}},
		{name: "no datagrams from one domain to another", before: func(_ *testing.T, f *gossipFleet) []*Mesh {
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			f.network.drops = func(from, to *packetSocket) bool { return from.domain == "domain-1" && to.domain == "domain-2" }
			return nil
		}},
		{name: "fronts that start", before: func(t *testing.T, f *gossipFleet) []*Mesh {
			for range 6 {
				f.start(t)
			}
			time.Sleep(time.Second)
			return f.fronts
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newGossipFleet(t, 55, 3)
				defer f.stop()
				time.Sleep(4 * time.Second)
				f.network.mu.Lock()
				f.network.loss = test.loss
				f.network.mu.Unlock()
				fronts := f.fronts
				if test.before != nil {
					fronts = test.before(t, f)
				}
				if fronts == nil {
					// Those of one domain hear nothing of another one for good; all others do.
					for _, m := range f.fronts {
						if m.config.Domain != "domain-1" {
							fronts = append(fronts, m)
						}
					}
				}
				alive, oldest := fewestAlive(fronts, 3*time.Second)
				t.Logf("%d of %d alive, at most %v old", alive, len(fronts)-1, oldest)
				require.Equal(t, len(fronts)-1, alive)
			})
		})
	}
}

// TestBytesBetweenDomainsGrowWithTheFleet checks that what a front sends to other failure domains stays
// the same as the fleet grows, where a full mesh sends twice as much for twice the fronts.
func TestBytesBetweenDomainsGrowWithTheFleet(t *testing.T) {
	perFront := func(fronts int) (bytes float64) {
		synctest.Test(t, func(t *testing.T) {
			f := newGossipFleet(t, fronts, 5)
			defer f.stop()
			time.Sleep(4 * time.Second)
			f.network.mu.Lock()
			before := f.network.crossBytes
			f.network.mu.Unlock()
			time.Sleep(2 * time.Second)
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			bytes = float64(f.network.crossBytes-before) / 2 / float64(fronts)
		})
		return bytes
	}
	few, many := perFront(50), perFront(100)
	state := float64(proto.Size(&meshpb.Gossip{Name: "front-domain-1-100", Domain: "domain-1", Incarnation: 1 << 60, Sequence: 100, Weight: 0.5}) + packetHeaderBytes)
	fullMesh := 100 * 0.8 * 10 * state
	t.Logf("%.0f B/s a front of 50, %.0f B/s of 100, full mesh %.0f B/s", few, many, fullMesh)
	require.Less(t, many, fullMesh/5)
	require.Less(t, many, 1.3*few)
}

// TestAbsurdRelayedStatesAreDropped checks that a relayed state with wrong numbers is dropped and that
// those beside it are applied.
func TestAbsurdRelayedStatesAreDropped(t *testing.T) {
	good := func(name string) *meshpb.Gossip {
		return &meshpb.Gossip{Name: name, Domain: "other", Incarnation: 1, Sequence: 1, Weight: 1}
	}
	noWeight, noSequence := good("a"), good("b")
	noWeight.Weight, noSequence.Sequence = -1, 0
	nested := good("nested")
	nested.Relayed = []*meshpb.RelayedGossip{{Gossip: good("inner"), Address: "10.0.0.9:1"}}
	m := newTestMesh(t, "m")
	m.handleDatagram(&meshpb.Gossip{Name: "relay", Domain: "other", ForDomain: true, Relayed: []*meshpb.RelayedGossip{
		nil, {}, {Gossip: noWeight, Address: "10.0.0.1:1"}, {Gossip: noSequence, Address: "10.0.0.1:1"}, {Gossip: good("m"), Address: "10.0.0.1:1"},
		{Gossip: good("c"), Address: "example.org:1"}, {Gossip: good("d"), Address: ""}, {Gossip: good("e"), Address: "10.0.0.1:1", AgeMs: 1 << 31},
		{Gossip: good("good"), Address: "10.0.0.1:1", AgeMs: 100}, {Gossip: nested, Address: "10.0.0.2:1"},
	}}, "10.0.0.3:1", time.Now())
	require.Equal(t, 2, m.KnownCount(), "only good and nested are states of fronts")
	require.Equal(t, 2, m.AliveCount())
}
