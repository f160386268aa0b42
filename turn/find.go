package turn

import (
	"bytes"
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

// memorySearchDelay is how long a shard may take to be read to its end until the memory of other
// processes is searched for a turn.
const memorySearchDelay = 60 * time.Millisecond

// findConversation returns the conversation up to and including r.Previous, from
// this shard or any other. Text from another shard is remembered for the end of the
// attempt.
func (s *shard) findConversation(ctx context.Context, r BeginRequest) ([]byte, error) {
	text, ok := s.findInMemory(r.Previous)
	if ok {
		return text, nil
	}
	text, ok, err := s.searchMemoryWhileReading(ctx, r.Previous)
	if !ok && err == nil {
		if text, ok = s.findInMemory(r.Previous); ok {
			return text, nil
		}
		text, ok, err = s.set.config.FindElsewhere(ctx, r.Previous, s.number)
	}
	if err != nil {
		return nil, err
	}
	if !ok {
		return nil, Errorf("continue turn", KindNotFound, "turn %s not found in any shard after reading all of them to their end", r.Previous)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetchedTextByAttempt[r.Attempt] = text
	return text, nil
}

// searchMemoryWhileReading reads the shard to its end. If that fails, or while it takes longer than
// memorySearchDelay, it searches the memory of other processes for a turn, which may be of a shard
// that can be read. The error is that of the read, unless the turn was found.
func (s *shard) searchMemoryWhileReading(ctx context.Context, turn string) ([]byte, bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	read := make(chan error, 1)
	go func() { read <- s.readToEnd(ctx) }()
	var readErr error
	select {
	case readErr = <-read:
		if readErr == nil {
			return nil, false, nil
		}
	case <-time.After(memorySearchDelay):
	}
	found := s.searchMemoryElsewhere(ctx, turn)
	if readErr != nil {
		read = nil
	}
	for {
		select {
		case err := <-read:
			if err == nil {
				return nil, false, nil
			}
			readErr, read = err, nil
		case text, ok := <-found:
			if ok {
				return text, true, nil
			}
			if readErr == nil {
				readErr = <-read
			}
			return nil, false, readErr
		}
	}
}

// searchMemoryElsewhere searches the memory of other processes for a turn. The channel is closed
// without a text if none of them has it.
func (s *shard) searchMemoryElsewhere(ctx context.Context, turn string) <-chan []byte {
	found := make(chan []byte, 1)
	go func() {
		defer close(found)
		if text, ok := s.set.config.FindInMemoryElsewhere(ctx, turn); ok {
			found <- text
		}
	}()
	return found
}

// find returns the conversation up to and including a turn of this shard. It reads
// the log to its end before it reports that the turn does not exist.
func (s *shard) find(ctx context.Context, turn string) ([]byte, bool, error) {
	if text, ok := s.findInMemory(turn); ok {
		return text, true, nil
	}
	if err := s.readToEnd(ctx); err != nil {
		return nil, false, err
	}
	text, ok := s.findInMemory(turn)
	return text, ok, nil
}

// findInMemory returns the conversation up to and including a turn of this shard
// without reading the log. A false result does not mean that the log has no such turn.
func (s *shard) findInMemory(turn string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	node, ok := s.state.turns[turn]
	if !ok {
		return nil, false
	}
	return node.conversation(), true
}

// Find searches the given shards for a turn and returns the conversation up to and
// including it. Each shard is read to the end of the log before Find reports false.
// Find returns an error of KindUnavailable when a shard can't be read.
func (set *ShardSet) Find(ctx context.Context, turn string, shards []int) ([]byte, bool, error) {
	for _, n := range shards {
		s := set.shard(n)
		if err := s.ensureLoaded(ctx, loadForFind); err != nil {
			return nil, false, err
		}
		text, ok, err := s.find(ctx, turn)
		if err != nil || ok {
			return text, ok, err
		}
	}
	return nil, false, nil
}

// FindInMemory returns the conversation up to and including a turn without reading
// the log. It searches the shards in memory, then the given replicas that this
// process holds for others. A false result does not mean that the turn is unknown to
// the log.
func (set *ShardSet) FindInMemory(turn string, replicasByShard map[int][][]byte) ([]byte, bool) {
	set.mu.Lock()
	shards := make([]*shard, 0, len(set.shards))
	for _, s := range set.shards {
		shards = append(shards, s)
	}
	set.mu.Unlock()
	for _, s := range shards {
		if text, ok := s.findInMemory(turn); ok {
			return text, true
		}
	}
	for n, replicas := range replicasByShard {
		if text, ok := set.shard(n).findInReplicas(turn, replicas); ok {
			return text, true
		}
	}
	return nil, false
}

// findInReplicas searches encoded records that the log may not have yet. Earlier
// turns of the conversation come from this shard or from the replicas as well.
func (s *shard) findInReplicas(turn string, replicas [][]byte) ([]byte, bool) {
	var texts [][]byte
	// A conversation has at most one turn a replica; more are a cycle.
	for range replicas {
		t := completedTurnOf(turn, replicas)
		if t == nil {
			return nil, false
		}
		texts = append(texts, t.GetText())
		if turn = t.GetPrevious(); t.GetWhole() || turn == "" {
			return joinReversed(texts), true
		}
		if before, ok := s.findInMemory(turn); ok {
			return joinReversed(append(texts, before)), true
		}
	}
	return nil, false
}

// completedTurnOf returns the turn that an attempt completed according to encoded records,
// nil when none of them says so.
func completedTurnOf(attempt string, records [][]byte) *turnpb.Turn {
	for _, data := range records {
		record := &turnpb.Record{}
		if err := proto.Unmarshal(data, record); err == nil && record.GetEnd().GetAttempt() == attempt && record.GetEnd().GetTurn() != nil {
			return record.GetEnd().GetTurn()
		}
	}
	return nil
}

// joinReversed returns the texts in reverse order as one.
func joinReversed(texts [][]byte) []byte {
	slices.Reverse(texts)
	return bytes.Join(texts, nil)
}
