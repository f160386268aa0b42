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
	// lifeTime is how long a front counts as alive after its last datagram; a few
	// may be lost.
	lifeTime = 900 * time.Millisecond
	// forgetTime is how long a silent front is still sent datagrams now and then.
	forgetTime = 60 * time.Second
	// freshGossip is how old the last datagram of a front may be that surely lives; one
	// comes every tenth of a second.
	freshGossip = 350 * time.Millisecond
	// steadyAfter is how long a front must have reached the store for the others to
	// give it the shards of fronts that don't; all find out within a second or two.
	steadyAfter = 2 * time.Second
	// minHomeShare is the least weight of a home as a share of the greatest: small
	// instances would have to move whole shards over slow links.
	minHomeShare = 0.5
)

// peer is another front as this one knows it.
type peer struct {
	name        string
	address     string
	domain      string
	incarnation uint64
	sequence    uint64
	weight      float64
	leaving     bool
	starting    bool
	storeLost   bool
	storeSince  time.Time
	heard       time.Time
	learned     time.Time
	distrusted  time.Time
}

// alive reports whether the front was heard of lately and answers.
func (p *peer) alive(now time.Time) bool {
	return !p.heard.IsZero() && now.Sub(p.heard) < lifeTime && now.After(p.distrusted)
}

// table holds the other fronts.
type table struct {
	mu   sync.Mutex
	self string
	own  float64
	// storeLost is set while this front can't reach the store by itself, storeSince is
	// when it could again.
	storeLost  bool
	storeSince time.Time
	peers      map[string]*peer
}

func newTable(self string, weight float64) *table {
	return &table{self: self, own: weight, peers: map[string]*peer{}}
}

// learn notes the address of a front.
func (t *table) learn(name, address string, now time.Time) {
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
	p.learned = now
}

// distrust keeps a front from being asked for a moment after it did not answer.
func (t *table) distrust(name string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[name]; ok {
		p.distrusted = until
	}
}

// patience returns how long a front may take for a sign of life: one that still
// gossips is slow rather than gone.
func (t *table) patience(name string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, ok := t.peers[name]; ok && now.Sub(p.heard) < freshGossip {
		return slowPingTimeout
	}
	return pingTimeout
}

// target is a front to ask.
type target struct {
	name      string
	address   string
	domain    string
	storeLost bool
}

func (p *peer) target() target {
	return target{name: p.name, address: p.address, domain: p.domain, storeLost: p.storeLost}
}

// setStoreLost notes whether this front can't reach the store.
func (t *table) setStoreLost(lost bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.storeLost && !lost {
		t.storeSince = now
	}
	t.storeLost = lost
}

// alive returns the fronts that are heard of, those that leave last.
func (t *table) alive(now time.Time) []target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out, leaving []target
	for _, p := range t.peers {
		if !p.alive(now) {
			continue
		}
		if p.leaving {
			leaving = append(leaving, p.target())
			continue
		}
		out = append(out, p.target())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return append(out, leaving...)
}

// known returns the number of fronts that are registered or heard of.
func (t *table) known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.peers)
}

// isAlive reports whether a front of a name is heard of.
func (t *table) isAlive(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[name]
	return ok && time.Since(p.heard) < lifeTime
}

// gossipTargets returns the addresses to send datagrams to; silent fronts only when
// all is set.
func (t *table) gossipTargets(now time.Time, all bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, p := range t.peers {
		silent := now.Sub(p.heard) > lifeTime
		if silent && now.Sub(p.heard) > forgetTime && now.Sub(p.learned) > forgetTime {
			delete(t.peers, name)
			continue
		}
		if !silent || all {
			out = append(out, p.address)
		}
	}
	return out
}

// home returns the front that a shard belongs to, by weighted rendezvous hashing
// over the fronts alive; this one counts only with self, or when there is no other.
// Fronts that start count only with starting, and those without the store only when
// no front has had it for a while: when an outage for all ends, the first front that
// reaches the store must not become the home of every shard.
func (t *table) home(shard int, now time.Time, self, starting bool) target {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.steadyStore(now, self, starting) {
		return t.homeAmong(shard, now, self && !t.storeLost, starting, true)
	}
	return t.homeAmong(shard, now, self, starting, false)
}

// steadyStore reports whether a front that may be a home has reached the store for a
// while.
func (t *table) steadyStore(now time.Time, self, starting bool) bool {
	if self && !t.storeLost && now.Sub(t.storeSince) > steadyAfter {
		return true
	}
	for _, p := range t.peers {
		if p.counts(now, starting) && !p.storeLost && now.Sub(p.storeSince) > steadyAfter {
			return true
		}
	}
	return false
}

// homeAmong returns the home among the fronts alive, with withStore only among those
// that reach the store; mu is held.
func (t *table) homeAmong(shard int, now time.Time, self, starting, withStore bool) target {
	least := t.heaviest(now, self, starting) * minHomeShare
	best := target{name: t.self}
	highest := math.Inf(-1)
	if self && t.own >= least {
		highest = score(t.self, shard, t.own)
	}
	for _, p := range t.peers {
		if !p.counts(now, starting) || p.weight < least || (withStore && p.storeLost) {
			continue
		}
		if s := score(p.name, shard, p.weight); s > highest {
			best, highest = p.target(), s
		}
	}
	return best
}

// counts reports whether a front may be the home of shards.
func (p *peer) counts(now time.Time, starting bool) bool {
	return p.alive(now) && !p.leaving && (!p.starting || starting)
}

// heaviest returns the greatest weight among the fronts that may be homes.
func (t *table) heaviest(now time.Time, self, starting bool) float64 {
	most := 0.0
	if self {
		most = t.own
	}
	for _, p := range t.peers {
		if p.counts(now, starting) {
			most = max(most, p.weight)
		}
	}
	return most
}

// score is the weighted rendezvous score of a front for a shard (the logarithmic
// method, after Schindelhauer and Schomaker).
func score(name string, shard int, weight float64) float64 {
	h := xxhash.Sum64String(name + "/" + strconv.Itoa(shard))
	u := (float64(h>>11) + 0.5) / float64(uint64(1)<<53)
	return -weight / math.Log(u)
}
