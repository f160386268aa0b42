package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// holdTime is how long copies are held when nobody says that the log has them.
	holdTime = 90 * time.Second
	// maxHeldBytes bounds the copies that are held.
	maxHeldBytes = 24 << 20
	// maxRelays is how many other fronts are asked to make a call of the store.
	maxRelays = 2
	// keptTimeout bounds the question for copies.
	keptTimeout = 250 * time.Millisecond
)

// held keeps records of other fronts that the log has not taken yet.
type held struct {
	mu     sync.Mutex
	shards map[int]map[uint64]copied
	bytes  int
}

type copied struct {
	data []byte
	from string
	at   time.Time
}

func newHeld() *held { return &held{shards: map[int]map[uint64]copied{}} }

// put holds copies; it returns false when there is no room.
func (h *held) put(from string, shard int, records [][]byte, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	for _, r := range records {
		if h.bytes+len(r) > maxHeldBytes {
			return false
		}
		m, ok := h.shards[shard]
		if !ok {
			m = map[uint64]copied{}
			h.shards[shard] = m
		}
		key := xxhash.Sum64(r)
		if _, ok := m[key]; !ok {
			m[key] = copied{data: r, from: from, at: now}
			h.bytes += len(r)
		}
	}
	return true
}

func (h *held) expire(now time.Time) {
	for shard, m := range h.shards {
		for key, c := range m {
			if now.Sub(c.at) > holdTime {
				delete(m, key)
				h.bytes -= len(c.data)
			}
		}
		if len(m) == 0 {
			delete(h.shards, shard)
		}
	}
}

// drop forgets copies that the log has taken.
func (h *held) drop(shard int, records [][]byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range records {
		key := xxhash.Sum64(r)
		if c, ok := h.shards[shard][key]; ok {
			delete(h.shards[shard], key)
			h.bytes -= len(c.data)
		}
	}
}

// orphans returns the copies whose front is gone, by shard.
func (h *held) orphans(alive func(name string) bool) map[int][][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[int][][]byte{}
	for shard, m := range h.shards {
		for _, c := range m {
			if !alive(c.from) {
				out[shard] = append(out[shard], c.data)
			}
		}
	}
	return out
}

// list returns the copies of a shard.
func (h *held) list(shard int) [][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out [][]byte
	for _, c := range h.shards[shard] {
		out = append(out, c.data)
	}
	return out
}

// all returns the copies of all shards.
func (h *held) all() map[int][][]byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[int][][]byte{}
	for shard, m := range h.shards {
		for _, c := range m {
			out[shard] = append(out[shard], c.data)
		}
	}
	return out
}

// Replicate stores copies on other fronts, in other failure domains first.
func (m *Mesh) Replicate(ctx context.Context, shard int, records [][]byte) error {
	targets := m.spread(time.Now())
	results := make(chan error, len(targets))
	request := func() *meshpb.Request {
		return &meshpb.Request{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: uint32(shard), Records: records}}}
	}
	next, waiting, stored := 0, 0, 0
	for next < len(targets) && next < copies {
		go func(t target) {
			_, err := m.ask(ctx, t, request(), answerTimeout)
			results <- err
		}(targets[next])
		next++
		waiting++
	}
	for waiting > 0 {
		err := <-results
		waiting--
		if err == nil {
			stored++
			continue
		}
		if next < len(targets) {
			go func(t target) {
				_, err := m.ask(ctx, t, request(), answerTimeout)
				results <- err
			}(targets[next])
			next++
			waiting++
		}
	}
	if stored < minCopies {
		return Errorf("copy records", KindUnreachable, "only %d of %d fronts hold them", stored, minCopies)
	}
	return nil
}

// spread returns the fronts alive, alternating between failure domains, this
// front's own last.
func (m *Mesh) spread(now time.Time) []target {
	var far, near, again []target
	seen := map[string]bool{m.config.Domain: true}
	for _, t := range m.table.alive(now) {
		switch {
		case t.domain == m.config.Domain:
			near = append(near, t)
		case seen[t.domain]:
			again = append(again, t)
		default:
			seen[t.domain] = true
			far = append(far, t)
		}
	}
	return append(append(far, again...), near...)
}

// ReleaseReplicas tells all fronts that the log has taken copies.
func (m *Mesh) ReleaseReplicas(shard int, records [][]byte) {
	m.held.drop(shard, records)
	for _, t := range m.table.alive(time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
			defer cancel()
			_, err := m.ask(ctx, t, &meshpb.Request{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: uint32(shard), Records: records, Settled: true}}}, answerTimeout)
			if err != nil {
				m.config.Logger.Debug("copies not settled", zap.String("front", t.name), zap.Error(err))
			}
		}()
	}
}

// Replicas returns the copies of a shard that this and other fronts hold.
func (m *Mesh) Replicas(ctx context.Context, shard int) [][]byte {
	out := m.held.list(shard)
	targets := m.table.alive(time.Now())
	answers := make(chan [][]byte, len(targets))
	for _, t := range targets {
		go func() {
			reply, err := m.ask(ctx, t, &meshpb.Request{Body: &meshpb.Request_Fetch{Fetch: &meshpb.Fetch{Shard: uint32(shard)}}}, keptTimeout)
			if err != nil {
				m.config.Logger.Warn("copies can't be asked for", zap.Int("shard", shard), zap.String("front", t.name), zap.Error(err))
			}
			answers <- reply.GetCopies().GetRecords()
		}()
	}
	seen := map[uint64]bool{}
	for _, r := range out {
		seen[xxhash.Sum64(r)] = true
	}
	for range targets {
		for _, r := range <-answers {
			if key := xxhash.Sum64(r); !seen[key] {
				seen[key] = true
				out = append(out, r)
			}
		}
	}
	return out
}

// StoreCall makes a call of the platform's store through another front.
func (m *Mesh) StoreCall(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	last := error(Errorf("relay store call", KindUnreachable, "no other front is heard of"))
	asked := 0
	for _, t := range m.spread(time.Now()) {
		if t.storeLost {
			continue
		}
		if asked++; asked > maxRelays {
			break
		}
		reply, err := m.ask(ctx, t, &meshpb.Request{Body: &meshpb.Request_Store{Store: &meshpb.StoreCall{Method: method, Target: target, Body: body}}}, answerTimeout)
		if err != nil {
			last = err
			continue
		}
		s := reply.GetStore()
		if s.GetStatus() == 503 || s.GetStatus() == 429 {
			last = Errorf("relay store call", KindUnreachable, "front %s got status %d", t.name, s.GetStatus())
			continue
		}
		return int(s.GetStatus()), s.GetBody(), nil
	}
	return 0, nil, last
}

// adoptOrphans appends the copies of fronts that are gone to the log.
func (m *Mesh) adoptOrphans(ctx context.Context) {
	for timer.Sleep(ctx, adoptInterval) == nil {
		for shard, records := range m.held.orphans(m.table.isAlive) {
			try, cancel := context.WithTimeout(ctx, serveTimeout)
			err := m.adopt(try, shard, records)
			cancel()
			if err != nil {
				m.config.Logger.Warn("copies not appended", zap.Int("shard", shard), zap.Int("records", len(records)), zap.Error(err))
				continue
			}
			m.config.Logger.Info("copies of a lost front appended", zap.Int("shard", shard), zap.Int("records", len(records)))
			m.held.drop(shard, records)
		}
	}
}

// adopt lets the home of a shard append copies.
func (m *Mesh) adopt(ctx context.Context, shard int, records [][]byte) error {
	home := m.homeOf(shard)
	if home.name == m.config.Name {
		return m.homes.AppendReplicas(ctx, shard, records)
	}
	request := &meshpb.Request{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: uint32(shard), Records: records, Adopt: true}}}
	return m.askLong(ctx, home, request)
}
