package turn

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

const (
	// rewriteAge is the age of a conversation's oldest record from which the next turn
	// is written with the whole conversation. It must be below trimAge, so that a
	// conversation in use is rewritten before its oldest record is trimmed.
	rewriteAge = 90 * time.Second
	// trimAge is the age from which records are trimmed from the log.
	trimAge = 240 * time.Second
	// trimPointInterval is the time between the records of two trim points.
	trimPointInterval = time.Second
)

// shard is one shard of the log with the state that its records yield.
type shard struct {
	number int
	set    *ShardSet

	// mu guards the fields below.
	mu    sync.Mutex
	state *state
	// leases holds the leases on budgets by the same records, without those that are only
	// replicated.
	leases *leaseLedger
	// releasingLeases is set while a record that ends the leases of this process is pending.
	releasingLeases bool
	// foreignRecordAt is when a record of another process was last applied.
	foreignRecordAt time.Time
	// nextOffset is the offset after the last record applied to state.
	nextOffset int64
	// loaded is set once the shard was read to its end.
	loaded bool
	// pending holds the writes that are not in the log yet, in the order of submission.
	pending []*writeOp
	// pendingByNumber holds the same writes by their append numbers.
	pendingByNumber map[uint64]*writeOp
	// endpointBySession holds the endpoint that last served each session. It is not
	// in the log, so another process that serves the shard does not know it.
	endpointBySession map[string]string
	// firstSessionByProgram holds the first session that each program ended a turn in.
	firstSessionByProgram map[string]string
	// firstAskedAt holds when this process was first asked to begin each program that has not begun.
	firstAskedAt map[string]time.Time
	// fetchedTextByAttempt holds the conversations found in other shards for attempts
	// under way, which are written into this shard with their turns.
	fetchedTextByAttempt map[string][]byte
	// appending is set while appendPending runs.
	appending bool
	// lastUsedAt is when the shard was created, taken from its set or when ensureLoaded was last
	// called, as each request and append does first.
	lastUsedAt time.Time
	// syncedAt is when the last read of the end of the shard, or append to it, began: all records
	// from before have been applied.
	syncedAt time.Time
	// foreignUntil is the latest known time at which another process may have been the home, and have
	// written to the shard.
	foreignUntil time.Time
	// failingSince is when appends began to fail, zero while they succeed.
	failingSince time.Time
	// replicating is set while replicatePending runs.
	replicating bool
	// releasable holds replicated records that the log has now and whose holders have
	// not been told yet.
	releasable [][]byte
	// bytesRead counts the bytes of the records read from the log.
	bytesRead int64
	// trimPoints holds offsets to trim the log at, in ascending order.
	trimPoints []trimPoint
	// load is the load under way, nil for none.
	load *logRead
	// nextRead is the read to the end that begins after the one under way, nil for none.
	nextRead *logRead
	// reading is set while readWhileAwaited runs.
	reading bool
}

// trimPoint is an offset with the time at which its record was written.
type trimPoint struct {
	offset    int64
	writtenAt time.Time
}

func newShard(set *ShardSet, number int) *shard {
	return &shard{
		set: set, number: number, lastUsedAt: time.Now(), state: newState(), leases: newLeaseLedger(), pendingByNumber: map[uint64]*writeOp{},
		endpointBySession: map[string]string{}, firstAskedAt: map[string]time.Time{}, firstSessionByProgram: map[string]string{}, fetchedTextByAttempt: map[string][]byte{},
	}
}

// touch notes that the shard is about to be used.
func (s *shard) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsedAt = time.Now()
}

// syncedTo notes that all records from before a time are about to be applied. s.mu must be held.
func (s *shard) syncedTo(t time.Time) {
	if t.After(s.syncedAt) {
		s.syncedAt = t
	}
}

// markForeign notes that another process may have been the home of the shard until now. s.mu must be held.
func (s *shard) markForeign() { s.foreignUntil = time.Now() }

// applyRecords applies records that start at firstOffset in the log, except those that
// were applied before, and completes the pending writes of this process among them. It
// refuses the pending attempts that no longer fit their budgets because of records of other
// processes. s.mu must be held.
func (s *shard) applyRecords(firstOffset int64, records [][]byte) {
	programs := map[string]bool{}
	for i, data := range records {
		offset := firstOffset + int64(i)
		if offset < s.nextOffset {
			continue
		}
		s.nextOffset = offset + 1
		r := &turnpb.Record{}
		if err := proto.Unmarshal(data, r); err != nil {
			s.set.config.Logger.Error("decoding a record failed", zap.Int("shard", s.number), zap.Int64("offset", offset), zap.Error(err))
			continue
		}
		s.state.apply(r)
		s.leases.apply(r)
		writtenAt := time.UnixMilli(r.GetWrittenMs())
		if n := len(s.trimPoints); n == 0 || writtenAt.Sub(s.trimPoints[n-1].writtenAt) > trimPointInterval {
			s.trimPoints = append(s.trimPoints, trimPoint{offset: offset, writtenAt: writtenAt})
		}
		if r.GetWriter() == s.set.writerID {
			s.complete(r.GetAppend(), nil)
		} else {
			programs[programOf(r)] = true
			s.foreignRecordAt = time.Now()
		}
	}
	s.refuseOverBudget(programs)
}

// programOf returns the program of a record.
func programOf(r *turnpb.Record) string {
	if b := r.GetBegin(); b != nil {
		return b.GetProgram()
	}
	return r.GetEnd().GetProgram()
}
