package mesh

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

const (
	// gossipInterval is the time between two datagrams to each front. Endpoints run a
	// request for a few hundred milliseconds, so a load of this age is still useful.
	gossipInterval = 100 * time.Millisecond
	// receiveRetryDelay is the wait after a datagram could not be received.
	receiveRetryDelay = 10 * time.Millisecond
	// silentPeerEvery is the interval, in gossip rounds, at which datagrams also go to
	// silent fronts: those that have sent no datagram for aliveTimeout.
	silentPeerEvery = 5
	// initialBroadcastRounds is the number of rounds after the start that all go to silent
	// fronts too: when all fronts start at the same time, none has sent a datagram yet.
	initialBroadcastRounds = 20
	// storeLostAfter is how long the store must be unreachable for a front to hand its
	// shards to fronts that reach it. Until then it relays its store calls through them.
	storeLostAfter = 1500 * time.Millisecond
	// maxGossipLoads bounds the endpoints in a datagram, those with the highest loads; each
	// takes up to 16 bytes, and 8 more with recent errors.
	maxGossipLoads = 1400
	// maxReportedResponses bounds the responses of an endpoint that a front may report.
	maxReportedResponses = 1 << 16
	// maxGossipLimits bounds the rate limits in a datagram, each of which takes up to 30
	// bytes; if there are more, each datagram has the next ones.
	maxGossipLimits = 60
	// maxGossipServices bounds the services with several versions in a datagram.
	maxGossipServices = 100
	// maxDatagramBytes is the size of the receive buffer, the greatest size of a UDP datagram over IPv4.
	maxDatagramBytes = 65_507
)

// runGossip sends gossip every gossipInterval until ctx ends, then once more to
// announce that this front leaves.
func (m *Mesh) runGossip(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		initial := round < initialBroadcastRounds
		m.sendGossip(initial, initial || round%silentPeerEvery == 0)
		select {
		case <-ctx.Done():
			m.leaving.Store(true)
			m.exiting.Store(true)
			m.sendGossip(true, true)
			return
		case <-ticker.C:
		}
	}
}

// sendGossip sends one datagram with the state of this front to each other front, to
// silent ones only with includeSilent. In a large fleet, fronts of other failure domains get
// it from relays unless direct is set.
func (m *Mesh) sendGossip(direct, includeSilent bool) {
	now := time.Now()
	state := m.newGossip(now)
	relaying := m.peers.needsRelays(now)
	m.sendDatagram(state, m.peers.gossipTargets(now, m.config.Domain, direct || !relaying, includeSilent))
	if relaying {
		m.sendToOtherDomains(state, now)
	}
}

// sendDatagram sends a datagram to some addresses.
func (m *Mesh) sendDatagram(g *meshpb.Gossip, addresses []string) {
	data, err := proto.Marshal(g)
	if err != nil {
		m.config.Logger.Error("encoding gossip failed", zap.Error(err))
		return
	}
	for _, address := range addresses {
		destination, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			m.config.Logger.Warn("front address does not resolve", zap.String("address", address), zap.Error(err))
			continue
		}
		if _, err := m.datagrams.WriteTo(data, destination); err != nil {
			m.config.Logger.Debug("sending gossip failed", zap.String("address", address), zap.Error(err))
		}
	}
}

// newGossip returns the state of this front to send.
func (m *Mesh) newGossip(now time.Time) *meshpb.Gossip {
	storeLost := m.config.StoreUnreachableFor() > storeLostAfter
	m.peers.setStoreLost(storeLost, now)
	g := &meshpb.Gossip{
		Name: m.config.Name, Domain: m.config.Domain, Incarnation: m.config.Incarnation, Sequence: m.gossipSequence.Add(1),
		Weight: m.config.Weight, Leaving: m.handsOver(), Starting: m.starting.Load(), Cold: m.cold.Load(), StoreLost: storeLost,
	}
	crashes, cleared := m.suspects.Recent(now)
	g.Crashes, g.ClearedRequests = crashesToGossip(crashes, now), cleared
	loads := m.config.Directory.Loads()
	if len(loads) > maxGossipLoads {
		slices.SortFunc(loads, func(a, b endpoint.Load) int { return cmp.Compare(b.Running, a.Running) })
		loads = loads[:maxGossipLoads]
	}
	for _, load := range loads {
		g.Loads = append(g.Loads, &meshpb.EndpointLoad{Endpoint: load.Endpoint, Running: uint32(load.Running), Good: uint32(load.Good), Errors: uint32(load.Errors)})
	}
	g.MixedServices = m.config.Directory.MixedServices(now)
	g.MixedServices = g.MixedServices[:min(len(g.MixedServices), maxGossipServices)]
	g.Limits = limitsToGossip(m.config.Directory.Limits(now), g.GetSequence())
	m.refreshSpeeds(now)
	if g.GetSequence()%speedsEvery == 0 {
		g.Speeds = speedsToGossip(m.config.Directory.Speeds(now), g.GetSequence()/speedsEvery)
	}
	g.Departures = departuresToGossip(m.config.Directory.Departures(now), g.GetSequence())
	g.Shares = m.sharesToGossip(g.GetSequence(), now)
	return g
}

// limitsToGossip returns the limits for the datagram of a sequence number.
func limitsToGossip(reports []endpoint.LimitReport, sequence uint64) []*meshpb.EndpointLimit {
	slices.SortFunc(reports, func(a, b endpoint.LimitReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var out []*meshpb.EndpointLimit
	for _, r := range inTurn(reports, maxGossipLimits, sequence) {
		out = append(out, &meshpb.EndpointLimit{
			Endpoint: r.Endpoint, StartedUnixMs: r.StartedUnixMS, Named: r.Named, PerSecond: r.PerSecond, AgeMs: uint32(min(math.MaxUint32, r.Age.Milliseconds())),
		})
	}
	return out
}

// inTurn returns up to most of the items for the datagram of a sequence number, so that successive
// datagrams have all of them in turn.
func inTurn[T any](items []T, most int, sequence uint64) []T {
	out := make([]T, 0, min(len(items), most))
	for i := range min(len(items), most) {
		out = append(out, items[(sequence*uint64(most)+uint64(i))%uint64(len(items))])
	}
	return out
}

// applyLimits passes the rate limits that another front has read on to the directory.
func (m *Mesh) applyLimits(g *meshpb.Gossip, now time.Time) {
	var reports []endpoint.LimitReport
	for _, l := range g.GetLimits() {
		if l.GetPerSecond() < 0 || math.IsNaN(l.GetPerSecond()) {
			continue
		}
		reports = append(reports, endpoint.LimitReport{
			Endpoint: l.GetEndpoint(), StartedUnixMS: l.GetStartedUnixMs(), Limit: endpoint.Limit{Named: l.GetNamed(), PerSecond: l.GetPerSecond()},
			Age: time.Duration(l.GetAgeMs()) * time.Millisecond,
		})
	}
	for _, id := range m.config.Directory.ApplyLimits(reports, now) {
		m.config.Logger.Info("endpoint limit learnt", zap.String("endpoint", id), zap.String("front", g.GetName()))
	}
}

// receiveGossip handles datagrams until the socket is closed. It ignores those that
// can't be decoded, carry no name or weight, or come from this front itself.
func (m *Mesh) receiveGossip() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, sender, err := m.datagrams.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.config.Logger.Error("receiving gossip failed", zap.Error(err))
			time.Sleep(receiveRetryDelay)
			continue
		}
		g := &meshpb.Gossip{}
		if err := proto.Unmarshal(buffer[:n], g); err != nil || g.GetName() == "" || g.GetName() == m.config.Name || !isWeight(g.GetWeight()) {
			m.config.Logger.Debug("gossip datagram ignored", zap.Stringer("from", sender), zap.Error(err))
			continue
		}
		m.handleDatagram(g, sender.String(), time.Now())
	}
}

// handleDatagram applies the state of the sender and the states that it relays.
func (m *Mesh) handleDatagram(g *meshpb.Gossip, address string, now time.Time) {
	relayed, inward := g.GetRelayed(), g.GetForDomain()
	g.Relayed, g.ForDomain = nil, false
	if g.GetSequence() > 0 {
		m.handleGossip(g, address, now, now)
		m.relayed.put(g, address, now, inward)
	}
	for _, r := range relayed[:min(len(relayed), maxRelayedStates)] {
		m.handleRelayed(r, inward, now)
	}
}

// isWeight reports whether shards can be distributed in proportion to a weight.
func isWeight(w float64) bool { return w > 0 && !math.IsInf(w, 0) }

// handleGossip applies the state that a front at the given address sent at heardAt: what it
// says of itself, its load on the endpoints and the crashes that it knows. It changes nothing if
// the state is not newer than the last one.
func (m *Mesh) handleGossip(g *meshpb.Gossip, address string, heardAt, now time.Time) {
	if !m.peers.applyGossip(g, address, heardAt, now) {
		return
	}
	loads := make([]endpoint.Load, 0, len(g.GetLoads()))
	for _, load := range g.GetLoads() {
		loads = append(loads, endpoint.Load{Endpoint: load.GetEndpoint(), Running: int(load.GetRunning()), Good: int(min(load.GetGood(), maxReportedResponses)), Errors: int(min(load.GetErrors(), maxReportedResponses))})
	}
	m.config.Directory.UpdatePeerLoads(g.GetName(), loads, now)
	m.applyLimits(g, now)
	m.applyDepartures(g, now)
	m.applyShares(g, heardAt)
	m.applySpeeds(g, heardAt, now)
	m.config.Directory.ApplyMixedServices(g.GetMixedServices()[:min(len(g.GetMixedServices()), maxGossipServices)], now)
	m.suspects.Apply(crashesFromGossip(g.GetCrashes(), heardAt), g.GetClearedRequests(), now)
}

// applyGossip records the state that a front sent at heardAt. It returns false and
// changes nothing when a datagram of the same or a later sequence number was applied
// before, or one of a later incarnation.
func (t *peerTable) applyGossip(g *meshpb.Gossip, address string, heardAt, now time.Time) bool {
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
		p.storeReachableSince = now
	}
	p.incarnation, p.sequence = g.GetIncarnation(), g.GetSequence()
	p.address, p.domain, p.weight, p.leaving, p.starting, p.cold, p.storeLost, p.lastGossipAt = address, g.GetDomain(), g.GetWeight(), g.GetLeaving(), g.GetStarting(), g.GetCold(), g.GetStoreLost(), heardAt
	return true
}
