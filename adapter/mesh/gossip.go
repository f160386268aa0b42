package mesh

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

const (
	// gossipInterval is the time between two datagrams to each front: endpoints run
	// a request for some hundred milliseconds, so that a report may be this old.
	gossipInterval = 100 * time.Millisecond
	// searchEvery is how many rounds pass between datagrams to silent fronts.
	searchEvery = 5
	// searchRounds is how many rounds after the start go to all fronts, since all may
	// have started just now.
	searchRounds = 20
	// storeLostAfter is how long the store must be away for a front to give its shards
	// to fronts that reach it; until then it works through them.
	storeLostAfter = 1500 * time.Millisecond
	// maxDatagram bounds a datagram.
	maxDatagram = 32 << 10
)

// gossip sends datagrams until ctx ends.
func (m *Mesh) gossip(ctx context.Context) {
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	for round := 0; ; round++ {
		m.sendGossip(round < searchRounds || round%searchEvery == 0)
		select {
		case <-ctx.Done():
			m.leaving.Store(true)
			m.sendGossip(true)
			return
		case <-t.C:
		}
	}
}

// sendGossip sends one datagram to each front.
func (m *Mesh) sendGossip(all bool) {
	lost := m.config.StoreAway() > storeLostAfter
	m.table.setStoreLost(lost, time.Now())
	g := &meshpb.Gossip{
		Name: m.config.Name, Domain: m.config.Domain, Incarnation: m.config.Incarnation, Sequence: m.sequence.Add(1),
		Weight: m.config.Weight, Leaving: m.leaving.Load(), Starting: m.starting.Load(), StoreLost: lost, Crashes: m.crashes.recent(time.Now()),
	}
	for _, l := range m.config.Directory.Loads() {
		g.Loads = append(g.Loads, &meshpb.EndpointLoad{Endpoint: l.Endpoint, Running: uint32(l.Running)})
	}
	data, err := proto.Marshal(g)
	if err != nil {
		m.config.Logger.Error("gossip can't be written", zap.Error(err))
		return
	}
	for _, address := range m.table.gossipTargets(time.Now(), all) {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			m.config.Logger.Warn("address of a front can't be read", zap.String("address", address), zap.Error(err))
			continue
		}
		if _, err := m.packets.WriteTo(data, to); err != nil {
			m.config.Logger.Debug("gossip not sent", zap.String("address", address), zap.Error(err))
		}
	}
}

// listenGossip takes datagrams until the socket is closed.
func (m *Mesh) listenGossip() {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := m.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		g := &meshpb.Gossip{}
		if err := proto.Unmarshal(buffer[:n], g); err != nil || g.GetName() == "" || g.GetName() == m.config.Name {
			m.config.Logger.Debug("datagram skipped", zap.Stringer("from", from), zap.Error(err))
			continue
		}
		m.takeGossip(g, from.String(), time.Now())
	}
}

// takeGossip takes over what a front says of itself.
func (m *Mesh) takeGossip(g *meshpb.Gossip, address string, now time.Time) {
	if !m.table.hear(g, address, now) {
		return
	}
	loads := make([]endpoint.Load, 0, len(g.GetLoads()))
	for _, l := range g.GetLoads() {
		loads = append(loads, endpoint.Load{Endpoint: l.GetEndpoint(), Running: int(l.GetRunning())})
	}
	m.config.Directory.UpdatePeerLoads(g.GetName(), loads, now)
	for _, c := range g.GetCrashes() {
		m.crashes.add(c.GetRequest(), c.GetAttempt(), now)
	}
}

// hear notes a datagram; it reports whether it is newer than the ones before.
func (t *table) hear(g *meshpb.Gossip, address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[g.GetName()]
	if !ok {
		p = &peer{name: g.GetName()}
		t.peers[g.GetName()] = p
	}
	if g.GetIncarnation() < p.incarnation || (g.GetIncarnation() == p.incarnation && g.GetSequence() <= p.sequence) {
		return false
	}
	if p.storeLost && !g.GetStoreLost() {
		p.storeSince = now
	}
	p.incarnation, p.sequence = g.GetIncarnation(), g.GetSequence()
	p.address, p.domain, p.weight, p.leaving, p.starting, p.storeLost, p.heard = address, g.GetDomain(), g.GetWeight(), g.GetLeaving(), g.GetStarting(), g.GetStoreLost(), now
	return true
}
