package mesh

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// maxFullMesh is the number of fronts up to which each sends its datagrams to all others. In a
	// larger fleet they go to the fronts of the same failure domain, and relays exchange the states
	// of their domains, so that the bytes between domains grow with the fronts, not their square.
	maxFullMesh = 48
	// relayCount is the number of relays of a domain. Each sends to another relay of each other
	// domain, so that several ways lead from any front to any other.
	relayCount = 3
	// relayFreshAge is the age of its last datagram up to which a front of the same domain may be
	// a relay, and remoteRelayFreshAge that of other domains, whose states arrive a little older.
	// Both are so far below aliveTimeout that others step in before fronts seem lost.
	relayFreshAge, remoteRelayFreshAge = 250 * time.Millisecond, 450 * time.Millisecond
	// inwardInterval is the time between two rounds in which states of other domains are passed on
	// within this one.
	inwardInterval = 25 * time.Millisecond
	// maxRelayedBytes is the size of the states in a datagram from which the next ones go into
	// another one; it leaves room for the sender's state within a network packet of usual size.
	maxRelayedBytes = 1100
	// maxRelayedStates bounds the states in a datagram, and maxRelayedAge their age.
	maxRelayedStates = 512
	maxRelayedAge    = 5 * time.Second
)

// relayTable holds the latest states of other fronts and which of them are still to be passed on.
type relayTable struct {
	mu     sync.Mutex
	states map[string]*relayedState
}

// relayedState is the latest state of a front.
type relayedState struct {
	gossip  *meshpb.Gossip
	address string
	heardAt time.Time
	// inward is set if a relay of another domain sent the state for all fronts of this domain.
	inward bool
	// passedOn is set once the state has been passed on.
	passedOn bool
}

func newRelayTable() *relayTable { return &relayTable{states: map[string]*relayedState{}} }

// put replaces the state of a front unless it is older than the last one. A state that came from
// this domain first is still passed on once a relay of another domain sends it, since the first way
// may have reached some fronts only.
func (t *relayTable) put(g *meshpb.Gossip, address string, heardAt time.Time, inward bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := t.states[g.GetName()]; ok && !isNewer(g, last.gossip) {
		last.inward = last.inward || (inward && g.GetSequence() == last.gossip.GetSequence())
		return
	}
	t.states[g.GetName()] = &relayedState{gossip: g, address: address, heardAt: heardAt, inward: inward}
}

// take returns the states that selects accepts and that have not been passed on, and notes that they
// have. States older than aliveTimeout are deleted.
func (t *relayTable) take(now time.Time, selects func(*relayedState) bool) []*meshpb.RelayedGossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*meshpb.RelayedGossip
	for name, s := range t.states {
		age := now.Sub(s.heardAt)
		if age > aliveTimeout {
			delete(t.states, name)
			continue
		}
		if s.passedOn || !selects(s) {
			continue
		}
		s.passedOn = true
		out = append(out, &meshpb.RelayedGossip{Gossip: s.gossip, Address: s.address, AgeMs: uint32(max(0, age.Milliseconds()))})
	}
	return out
}

// chunks splits states so that each part fits a datagram.
func chunks(states []*meshpb.RelayedGossip) [][]*meshpb.RelayedGossip {
	var out [][]*meshpb.RelayedGossip
	first, size := 0, 0
	for i, s := range states {
		n := proto.Size(s)
		if i > first && size+n > maxRelayedBytes {
			out = append(out, states[first:i])
			first, size = i, 0
		}
		size += n
	}
	if first < len(states) {
		out = append(out, states[first:])
	}
	return out
}

// sendToOtherDomains sends the states of this front's domain to a relay of each other domain, if this
// front is a relay.
func (m *Mesh) sendToOtherDomains(state *meshpb.Gossip, now time.Time) {
	if m.handsOver() {
		return
	}
	relays := m.peers.relays(m.config.Domain, m.config.Domain, now)
	index := slices.IndexFunc(relays, func(t target) bool { return t.name == m.config.Name })
	if index < 0 {
		return
	}
	var addresses []string
	for _, domain := range m.peers.otherDomains(m.config.Domain, now) {
		if others := m.peers.relays(domain, m.config.Domain, now); len(others) > 0 {
			addresses = append(addresses, others[index%len(others)].address)
		}
	}
	states := m.relayed.take(now, func(s *relayedState) bool { return s.gossip.GetDomain() == m.config.Domain })
	datagram := proto.CloneOf(state)
	datagram.ForDomain = true
	if len(states) == 0 {
		m.sendDatagram(datagram, addresses)
	}
	for _, part := range chunks(states) {
		datagram.Relayed = part
		m.sendDatagram(datagram, addresses)
	}
}

// runRelay passes the states that relays of other domains have sent on within this domain, until
// ctx ends.
func (m *Mesh) runRelay(ctx context.Context) {
	for timer.Sleep(ctx, inwardInterval) == nil {
		now := time.Now()
		states := m.relayed.take(now, func(s *relayedState) bool { return s.inward })
		if len(states) == 0 {
			continue
		}
		addresses := m.peers.gossipTargets(now, m.config.Domain, false, false)
		for _, part := range chunks(states) {
			m.sendDatagram(&meshpb.Gossip{Name: m.config.Name, Domain: m.config.Domain, Incarnation: m.config.Incarnation, Weight: m.config.Weight, Relayed: part}, addresses)
		}
	}
}

// handleRelayed applies a relayed state. It drops one that can't be of another front. With inward set
// a relay of another domain sent it.
func (m *Mesh) handleRelayed(r *meshpb.RelayedGossip, inward bool, now time.Time) {
	g, age := r.GetGossip(), time.Duration(r.GetAgeMs())*time.Millisecond
	_, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil || g.GetName() == "" || g.GetName() == m.config.Name || g.GetSequence() == 0 || !isWeight(g.GetWeight()) || age > maxRelayedAge {
		m.config.Logger.Debug("relayed gossip ignored", zap.String("front", g.GetName()), zap.String("address", r.GetAddress()), zap.Duration("age", age), zap.Error(err))
		return
	}
	g.Relayed, g.ForDomain = nil, false
	heardAt := now.Add(-age)
	m.handleGossip(g, r.GetAddress(), heardAt, now)
	m.relayed.put(g, r.GetAddress(), heardAt, inward)
}

// isNewer reports whether a front sent one state after another one.
func isNewer(g, than *meshpb.Gossip) bool {
	if g.GetIncarnation() != than.GetIncarnation() {
		return g.GetIncarnation() > than.GetIncarnation()
	}
	return g.GetSequence() > than.GetSequence()
}

// needsRelays reports whether there are so many fronts that relays pass on their states.
func (t *peerTable) needsRelays(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	alive := 1
	for _, p := range t.peers {
		if p.alive(now) {
			alive++
		}
	}
	return alive > maxFullMesh
}

// otherDomains returns the failure domains of the fronts alive, without one of them.
func (t *peerTable) otherDomains(domain string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var domains []string
	for _, p := range t.peers {
		if p.alive(now) && p.domain != domain && !slices.Contains(domains, p.domain) {
			domains = append(domains, p.domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// relays returns the relays of a failure domain, by rendezvous hashing over its fronts that were
// heard a moment ago, for a front in ownDomain. This front is one of its own domain.
func (t *peerTable) relays(domain, ownDomain string, now time.Time) []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	key, maxAge := xxhash.Sum64String("relay/"+domain), remoteRelayFreshAge
	var candidates []target
	scores := map[string]float64{}
	if domain == ownDomain {
		maxAge = relayFreshAge
		candidates, scores[t.self] = append(candidates, target{name: t.self}), rendezvousScore(t.self, key, t.selfWeight)
	}
	for _, p := range t.peers {
		if p.domain != domain || p.leaving || !p.alive(now) || now.Sub(p.lastGossipAt) > maxAge {
			continue
		}
		candidates, scores[p.name] = append(candidates, p.target()), rendezvousScore(p.name, key, p.weight)
	}
	slices.SortFunc(candidates, func(a, b target) int { return cmp.Compare(scores[b.name], scores[a.name]) })
	return candidates[:min(len(candidates), relayCount)]
}
