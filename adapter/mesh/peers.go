package mesh

import (
	"math"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// aliveTimeout is how long a front counts as alive after its last datagram; a few
	// datagrams may be lost.
	aliveTimeout = 900 * time.Millisecond
	// forgetAfter is how long a front may neither gossip nor be listed by the platform
	// before it is deleted from the table.
	forgetAfter = 60 * time.Second
	// freshGossipAge is the age of its last datagram up to which a front that does not
	// answer is taken for slow, not lost. It allows for two lost datagrams.
	freshGossipAge = 350 * time.Millisecond
	// stableStoreAfter is how long a front must have reached the store again to take the
	// shards of fronts that do not reach it. At the end of an outage all fronts reach the
	// store again within a second or two, and no shard need move.
	stableStoreAfter = 2 * time.Second
	// minHomeWeightRatio is the least weight of a home, relative to the greatest weight
	// of the fronts that can be homes. A small instance would have to load whole shards
	// over a slow link.
	minHomeWeightRatio = 0.5
)

// peer is the state of another front, from its gossip and from the platform's list.
type peer struct {
	name    string
	address string
	domain  string
	// incarnation and sequence number the last datagram.
	incarnation uint64
	sequence    uint64
	// weight is the front's Config.Weight.
	weight float64
	// leaving is set when the front is about to stop.
	leaving bool
	// starting is set until the front has loaded its shards.
	starting bool
	// cold is set if the front started while most others did.
	cold bool
	// storeLost is set while the front can't reach the store by itself.
	storeLost bool
	// storeReachableSince is when the front reported that it reaches the store again,
	// zero if it never lost it.
	storeReachableSince time.Time
	// lastGossipAt is when the last datagram arrived, zero before the first.
	lastGossipAt time.Time
	// listedAt is when the platform's list last named the front.
	listedAt time.Time
	// suspendedUntil is when the front, which did not respond to a ping, may get requests
	// again.
	suspendedUntil time.Time
}

// alive reports whether the front has gossiped within aliveTimeout and is not suspended.
func (p *peer) alive(now time.Time) bool {
	return !p.lastGossipAt.IsZero() && now.Sub(p.lastGossipAt) < aliveTimeout && now.After(p.suspendedUntil)
}

// peerTable holds the state of the other fronts and determines the homes of shards.
type peerTable struct {
	mu sync.Mutex
	// self and selfWeight are the name and the Config.Weight of this front.
	self       string
	selfWeight float64
	// storeLost is set while this front can't reach the store by itself;
	// storeReachableSince is when it last could again, zero if it never lost it.
	storeLost           bool
	storeReachableSince time.Time
	// peers holds the other fronts by name.
	peers map[string]*peer
}

func newPeerTable(self string, weight float64) *peerTable {
	return &peerTable{self: self, selfWeight: weight, peers: map[string]*peer{}}
}

// addFront records that the platform lists a front. The listed address is used only
// while the front is not alive: otherwise that of its datagrams is.
func (t *peerTable) addFront(name, address string, now time.Time) {
	if name == t.self {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[name]
	if !ok {
		p = &peer{name: name}
		t.peers[name] = p
	}
	if !p.alive(now) {
		p.address = address
	}
	p.listedAt = now
}

// suspend makes a front count as not alive until the given time.
func (t *peerTable) suspend(name string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[name]; ok {
		p.suspendedUntil = until
	}
}

// pingTimeoutFor returns how long to wait for the ping reply of a front: longer if it
// gossiped just now, since it is then slow rather than lost.
func (t *peerTable) pingTimeoutFor(name string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[name]; ok && now.Sub(p.lastGossipAt) < freshGossipAge {
		return slowPingTimeout
	}
	return pingTimeout
}

// target is a front that requests can be sent to. For this front itself only the name
// is set.
type target struct {
	name    string
	address string
	domain  string
	// storeLost is set when the front can't reach the store by itself.
	storeLost bool
}

func (p *peer) target() target {
	return target{name: p.name, address: p.address, domain: p.domain, storeLost: p.storeLost}
}

// setStoreLost records whether this front is unable to reach the store.
func (t *peerTable) setStoreLost(lost bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeLost && !lost {
		t.storeReachableSince = now
	}
	t.storeLost = lost
}

// alive returns the fronts that are alive, sorted by name; those that are leaving follow
// at the end, in no order.
func (t *peerTable) alive(now time.Time) []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var staying, leaving []target
	for _, p := range t.peers {
		if !p.alive(now) {
			continue
		}
		if p.leaving {
			leaving = append(leaving, p.target())
			continue
		}
		staying = append(staying, p.target())
	}
	sort.Slice(staying, func(i, j int) bool { return staying[i].name < staying[j].name })
	return append(staying, leaving...)
}

// count returns the number of fronts that are listed or have gossiped.
func (t *peerTable) count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// hasRecentGossip reports whether a front has gossiped within aliveTimeout, suspended
// or not.
func (t *peerTable) hasRecentGossip(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[name]
	return ok && time.Since(p.lastGossipAt) < aliveTimeout
}

// gossipTargets returns the addresses to send datagrams to, those of fronts in other failure
// domains than the given one only with otherDomains. Those of silent fronts, which
// have sent no datagram for aliveTimeout, are included only with includeSilent. It
// deletes fronts that have been silent and unlisted for forgetAfter.
func (t *peerTable) gossipTargets(now time.Time, domain string, otherDomains, includeSilent bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for name, p := range t.peers {
		silent := now.Sub(p.lastGossipAt) > aliveTimeout
		if silent && now.Sub(p.lastGossipAt) > forgetAfter && now.Sub(p.listedAt) > forgetAfter {
			delete(t.peers, name)
			continue
		}
		if (silent && includeSilent) || (!silent && (otherDomains || p.domain == domain)) {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// home returns the home of a shard, by weighted rendezvous hashing over the fronts
// alive. This front takes part only with includeSelf, or when there is no other; fronts
// that are starting take part only with includeStarting. Fronts that can't reach the
// store take part only while no front has reached it for stableStoreAfter: when an
// outage that affects all fronts ends, the first one that reaches the store must not
// become the home of every shard.
func (t *peerTable) home(shard int, now time.Time, includeSelf, includeStarting bool) target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasStableStore(now, includeSelf, includeStarting) {
		return t.selectHome(shard, now, includeSelf && !t.storeLost, includeStarting, true)
	}
	return t.selectHome(shard, now, includeSelf, includeStarting, false)
}

// hasStableStore reports whether any front that can be a home has reached the store for
// longer than stableStoreAfter; t.mu must be held.
func (t *peerTable) hasStableStore(now time.Time, includeSelf, includeStarting bool) bool {
	if includeSelf && !t.storeLost && now.Sub(t.storeReachableSince) > stableStoreAfter {
		return true
	}
	for _, p := range t.peers {
		if p.canBeHome(now, includeStarting) && !p.storeLost && now.Sub(p.storeReachableSince) > stableStoreAfter {
			return true
		}
	}
	return false
}

// selectHome returns the front with the highest rendezvous score among those that can
// be homes and have enough weight, with requireStore among those of them that reach the
// store. It returns this front when there is none; t.mu must be held.
func (t *peerTable) selectHome(shard int, now time.Time, includeSelf, includeStarting, requireStore bool) target {
	minWeight := t.maxWeight(now, includeSelf, includeStarting) * minHomeWeightRatio
	best := target{name: t.self}
	bestScore := math.Inf(-1)
	if includeSelf && t.selfWeight >= minWeight {
		bestScore = rendezvousScore(t.self, uint64(shard), t.selfWeight)
	}
	for _, p := range t.peers {
		if !p.canBeHome(now, includeStarting) || p.weight < minWeight || (requireStore && p.storeLost) {
			continue
		}
		if score := rendezvousScore(p.name, uint64(shard), p.weight); score > bestScore {
			best, bestScore = p.target(), score
		}
	}
	return best
}

// canBeHome reports whether the front is alive and may be the home of shards. A front that is
// starting may if most others started with it: those that have nothing to load are ready first, and
// would load the shards of the others once more.
func (p *peer) canBeHome(now time.Time, includeStarting bool) bool {
	return p.alive(now) && !p.leaving && (!p.starting || p.cold || includeStarting)
}

// mostAreStarting reports whether more than half of the fronts that are alive and not leaving
// are starting. selfStarting tells whether this front is.
func (t *peerTable) mostAreStarting(now time.Time, selfStarting bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	starting, staying := 0, 1
	if selfStarting {
		starting++
	}
	for _, p := range t.peers {
		if !p.canBeHome(now, true) {
			continue
		}
		staying++
		if p.starting {
			starting++
		}
	}
	return 2*starting > staying
}

// maxWeight returns the greatest weight among the fronts that can be homes; t.mu must be held.
func (t *peerTable) maxWeight(now time.Time, includeSelf, includeStarting bool) float64 {
	greatest := 0.0
	if includeSelf {
		greatest = t.selfWeight
	}
	for _, p := range t.peers {
		if p.canBeHome(now, includeStarting) {
			greatest = max(greatest, p.weight)
		}
	}
	return greatest
}

// rendezvousScore returns the weighted rendezvous score of a front for a key, such as a shard,
// by the logarithmic method of Schindelhauer and Schomaker.
func rendezvousScore(name string, key uint64, weight float64) float64 {
	hash := xxhash.Sum64String(name + "/" + strconv.FormatUint(key, 10))
	uniform := (float64(hash>>11) + 0.5) / float64(uint64(1)<<53)
	return -weight / math.Log(uniform)
}
