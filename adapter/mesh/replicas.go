package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/transport"
	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// replicaRetention is how long a replica is kept when no front reports that the log
	// has its record.
	replicaRetention = 90 * time.Second
	// maxReplicaBytes bounds the memory for replicas; further ones are refused.
	maxReplicaBytes = 24 << 20
	// maxRelays is the number of other fronts that one store call is tried through.
	maxRelays = 2
	// fetchTimeout bounds the request for the replicas that another front holds.
	fetchTimeout = 250 * time.Millisecond
)

// replicaStore holds, in memory, records of other fronts that are not in the log yet.
type replicaStore struct {
	mu sync.Mutex
	// replicasByShard holds the replicas of each shard, by the hash of the record.
	replicasByShard map[int]map[uint64]replica
	// totalBytes is the sum of the lengths of all records.
	totalBytes int
}

// replica is an encoded record of another front.
type replica struct {
	data []byte
	// from is the name of the front that sent the record.
	from     string
	storedAt time.Time
}

func newReplicaStore() *replicaStore {
	return &replicaStore{replicasByShard: map[int]map[uint64]replica{}}
}

// add stores replicas of records that the front named from sent. It returns false when
// maxReplicaBytes is reached; some of the records may be stored then.
func (s *replicaStore) add(from string, shard int, records [][]byte, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	for _, record := range records {
		if s.totalBytes+len(record) > maxReplicaBytes {
			return false
		}
		replicas, ok := s.replicasByShard[shard]
		if !ok {
			replicas = map[uint64]replica{}
			s.replicasByShard[shard] = replicas
		}
		key := xxhash.Sum64(record)
		if _, ok := replicas[key]; !ok {
			replicas[key] = replica{data: record, from: from, storedAt: now}
			s.totalBytes += len(record)
		}
	}
	return true
}

// expire deletes the replicas that are older than replicaRetention; s.mu must be held.
func (s *replicaStore) expire(now time.Time) {
	for shard, replicas := range s.replicasByShard {
		for key, held := range replicas {
			if now.Sub(held.storedAt) > replicaRetention {
				delete(replicas, key)
				s.totalBytes -= len(held.data)
			}
		}
		if len(replicas) == 0 {
			delete(s.replicasByShard, shard)
		}
	}
}

// remove deletes the replicas of records that are in the log.
func (s *replicaStore) remove(shard int, records [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		key := xxhash.Sum64(record)
		if held, ok := s.replicasByShard[shard][key]; ok {
			delete(s.replicasByShard[shard], key)
			s.totalBytes -= len(held.data)
		}
	}
}

// orphans returns, by shard, the records whose front is no longer alive.
func (s *replicaStore) orphans(isAlive func(name string) bool) map[int][][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := map[int][][]byte{}
	for shard, replicas := range s.replicasByShard {
		for _, held := range replicas {
			if !isAlive(held.from) {
				records[shard] = append(records[shard], held.data)
			}
		}
	}
	return records
}

// forShard returns the records that are held for a shard.
func (s *replicaStore) forShard(shard int) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var records [][]byte
	for _, held := range s.replicasByShard[shard] {
		records = append(records, held.data)
	}
	return records
}

// all returns all records, by shard.
func (s *replicaStore) all() map[int][][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	records := map[int][][]byte{}
	for shard, replicas := range s.replicasByShard {
		for _, held := range replicas {
			records[shard] = append(records[shard], held.data)
		}
	}
	return records
}

// Replicate stores replicas of records on replicaCount other fronts, those in other
// failure domains first; for each front that fails, the next one is tried. It returns
// when all requests have ended, with an error of KindUnreachable when fewer than
// minReplicas fronts stored the records.
func (m *Mesh) Replicate(ctx context.Context, shard int, records [][]byte) error {
	targets := m.targetsByDomain(time.Now())
	results := make(chan error, len(targets))
	newRequest := func() *meshpb.Request {
		return &meshpb.Request{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: uint32(shard), Records: records}}}
	}
	nextTarget, pending, stored := 0, 0, 0
	for nextTarget < len(targets) && nextTarget < replicaCount {
		go func(t target) {
			_, err := m.roundTrip(ctx, t, newRequest(), replyTimeout)
			results <- err
		}(targets[nextTarget])
		nextTarget++
		pending++
	}
	for pending > 0 {
		err := <-results
		pending--
		if err == nil {
			stored++
			continue
		}
		if nextTarget < len(targets) {
			go func(t target) {
				_, err := m.roundTrip(ctx, t, newRequest(), replyTimeout)
				results <- err
			}(targets[nextTarget])
			nextTarget++
			pending++
		}
	}
	if stored < minReplicas {
		return Errorf("replicate records", KindUnreachable, "stored on %d fronts, at least %d are needed", stored, minReplicas)
	}
	return nil
}

// targetsByDomain returns the fronts alive: first one of each other failure domain,
// then the rest of those domains, then the fronts in the domain of this front.
func (m *Mesh) targetsByDomain(now time.Time) []target {
	var newDomains, sameDomain, repeatedDomains []target
	seenDomains := map[string]bool{m.config.Domain: true}
	for _, t := range m.peers.alive(now) {
		switch {
		case t.domain == m.config.Domain:
			sameDomain = append(sameDomain, t)
		case seenDomains[t.domain]:
			repeatedDomains = append(repeatedDomains, t)
		default:
			seenDomains[t.domain] = true
			newDomains = append(newDomains, t)
		}
	}
	return append(append(newDomains, repeatedDomains...), sameDomain...)
}

// ReleaseReplicas deletes the replicas of records that are in the log, here and, in the
// background, on all other fronts.
func (m *Mesh) ReleaseReplicas(shard int, records [][]byte) {
	m.replicas.remove(shard, records)
	for _, t := range m.peers.alive(time.Now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
			defer cancel()
			_, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: uint32(shard), Records: records, Settled: true}}}, replyTimeout)
			if err != nil {
				m.config.Logger.Debug("asking a front to delete replicas failed", zap.String("front", t.name), zap.Error(err))
			}
		}()
	}
}

// Replicas returns the records of a shard of which this or another front holds a replica,
// each once. Fronts that do not answer within fetchTimeout are left out.
func (m *Mesh) Replicas(ctx context.Context, shard int) [][]byte {
	records := m.replicas.forShard(shard)
	targets := m.peers.alive(time.Now())
	replies := make(chan [][]byte, len(targets))
	for _, t := range targets {
		go func() {
			reply, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_Fetch{Fetch: &meshpb.Fetch{Shard: uint32(shard)}}}, fetchTimeout)
			if err != nil {
				m.config.Logger.Warn("fetching replicas from a front failed", zap.Int("shard", shard), zap.String("front", t.name), zap.Error(err))
			}
			replies <- reply.GetCopies().GetRecords()
		}()
	}
	seen := map[uint64]bool{}
	for _, record := range records {
		seen[xxhash.Sum64(record)] = true
	}
	for range targets {
		for _, record := range <-replies {
			if key := xxhash.Sum64(record); !seen[key] {
				seen[key] = true
				records = append(records, record)
			}
		}
	}
	return records
}

// StoreCall makes a call to the platform's store through another front and returns the
// status and the body of the response. It tries up to maxRelays fronts that reach the
// store, the next one after status 429 or 503. When none gets a response, the call may
// still have taken effect.
func (m *Mesh) StoreCall(ctx context.Context, method, target string, body []byte) (int, []byte, error) {
	lastErr := error(Errorf("relay store call", KindUnreachable, "no other front is known to reach the store"))
	asked := 0
	for _, t := range m.targetsByDomain(time.Now()) {
		if t.storeLost {
			continue
		}
		if asked++; asked > maxRelays {
			break
		}
		reply, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_Store{Store: &meshpb.StoreCall{Method: method, Target: target, Body: body}}}, replyTimeout)
		if err != nil {
			lastErr = err
			continue
		}
		storeReply := reply.GetStore()
		if storeReply.GetStatus() == 503 || storeReply.GetStatus() == 429 {
			lastErr = Errorf("relay store call", KindUnreachable, "the store answered front %s with status %d", t.name, storeReply.GetStatus())
			continue
		}
		if storeReply.GetStatus() < transport.MinStatus {
			lastErr = Errorf("relay store call", KindUnreachable, "front %s replied without a valid status of the store: %d", t.name, storeReply.GetStatus())
			continue
		}
		return int(storeReply.GetStatus()), storeReply.GetBody(), nil
	}
	return 0, nil, lastErr
}

// recoverOrphans appends the records of fronts that are no longer alive to the log,
// before their replicas expire. It runs until ctx ends.
func (m *Mesh) recoverOrphans(ctx context.Context) {
	for timer.Sleep(ctx, orphanCheckInterval) == nil {
		for shard, records := range m.replicas.orphans(m.peers.hasRecentGossip) {
			appendCtx, cancel := context.WithTimeout(ctx, handleTimeout)
			err := m.appendOrphans(appendCtx, shard, records)
			cancel()
			if err != nil {
				m.config.Logger.Warn("appending the replicas of a lost front failed", zap.Int("shard", shard), zap.Int("records", len(records)), zap.Error(err))
				continue
			}
			m.config.Logger.Info("copies of a lost front appended", zap.Int("shard", shard), zap.Int("records", len(records)))
			m.replicas.remove(shard, records)
		}
	}
}

// AppendAtHome has the home of a shard, another front, append records. It returns when the
// log has them. Its error is of KindUnreachable when this front is the home.
func (m *Mesh) AppendAtHome(ctx context.Context, shard int, records [][]byte) error {
	home := m.homeOfShard(shard)
	if home.name == m.config.Name {
		return Errorf("append records at home", KindUnreachable, "this front is the home of shard %d", shard)
	}
	request := &meshpb.Request{Body: &meshpb.Request_Copies{Copies: &meshpb.Copies{Shard: uint32(shard), Records: records, Adopt: true}}}
	return m.roundTripWhileAlive(ctx, home, request)
}

// appendOrphans has the home of a shard, which may be this front, append records that are
// held as replicas.
func (m *Mesh) appendOrphans(ctx context.Context, shard int, records [][]byte) error {
	if m.IsHome(shard) {
		return m.shardSet.AppendReplicas(ctx, shard, records)
	}
	return m.AppendAtHome(ctx, shard, records)
}
