package turn

import (
	"errors"
	"time"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

const (
	// leaseDivisor is the part of the unused budget, without the tokens of one more turn, that a
	// lease takes, as 1/leaseDivisor. What is left keeps the program going if the holder of the
	// lease is lost.
	leaseDivisor = 2
	// leaseReleaseWait is how long after its last record another writer may still be about to
	// release its leases.
	leaseReleaseWait = 2 * time.Second
	// leaseMaxAge is how long a writer uses its leases without having read or appended to the
	// end of the shard. It must be well below trimAge.
	leaseMaxAge = 60 * time.Second
)

// errLeased is the cause of an error of checkLeases.
var errLeased = errors.New("are leased to other fronts")

// leaseLedger holds the budgets of programs according to the records in the log alone, and the
// leases on them. A lease is a number of tokens that its writer may hand out before the log has the
// records of the attempts. For every other process they are spent until the writer's records say
// otherwise, so that programs go on while the log is away, and a lost writer never makes a program
// exceed its budget.
//
// The records of a writer keep the sum of used and leased tokens, or raise it: a reservation is
// taken from the writer's lease, and what an ended attempt has left is returned to it. Hence the
// writer may admit attempts up to that sum, whichever of its records the log has already.
type leaseLedger struct {
	programs map[string]*leasedBudget
}

// leasedBudget is the budget of one program.
type leasedBudget struct {
	spentTokens   int64
	reservations  map[string]reservation
	endedAttempts map[string]struct{}
	// leaseByWriter holds the tokens leased to each writer that holds a lease.
	leaseByWriter map[uint64]int64
	lastRecordAt  time.Time
}

// reservation is the tokens reserved for one attempt and the writer that reserved them.
type reservation struct {
	tokens int64
	writer uint64
}

func newLeaseLedger() *leaseLedger { return &leaseLedger{programs: map[string]*leasedBudget{}} }

// apply applies a record of the log. Each record must be applied once, in the order of the log.
func (l *leaseLedger) apply(r *turnpb.Record) {
	switch {
	case r.GetBegin() != nil:
		l.applyBegin(r, r.GetBegin())
	case r.GetEnd() != nil:
		l.applyEnd(r, r.GetEnd())
	case r.GetRelease() != nil:
		for _, p := range l.programs {
			delete(p.leaseByWriter, r.GetWriter())
		}
	}
}

// program returns the budget of a program. If the log has no earlier record of it, that is a new one from
// which so many tokens are spent.
func (l *leaseLedger) program(id string, r *turnpb.Record, spent int64) *leasedBudget {
	p, ok := l.programs[id]
	if !ok {
		p = &leasedBudget{spentTokens: spent, reservations: map[string]reservation{}, endedAttempts: map[string]struct{}{}, leaseByWriter: map[uint64]int64{}}
		l.programs[id] = p
	}
	if at := time.UnixMilli(r.GetWrittenMs()); at.After(p.lastRecordAt) {
		p.lastRecordAt = at
	}
	return p
}

// applyBegin reserves the tokens of an attempt, takes them from the writer's lease, and raises the
// lease to its part of what is left.
func (l *leaseLedger) applyBegin(r *turnpb.Record, begin *turnpb.Begin) {
	p := l.program(begin.GetProgram(), r, begin.GetSpent())
	if _, ended := p.endedAttempts[begin.GetAttempt()]; ended {
		return
	}
	if _, reserved := p.reservations[begin.GetAttempt()]; reserved {
		return
	}
	p.reservations[begin.GetAttempt()] = reservation{tokens: begin.GetTokens(), writer: r.GetWriter()}
	lease, leased := p.leaseByWriter[r.GetWriter()]
	lease = max(0, lease-begin.GetTokens())
	if begin.GetBudget() > 0 {
		left := begin.GetBudget() - p.usedTokens() - p.leasedByOthers(r.GetWriter())
		lease = max(lease, (left-begin.GetTokens())/leaseDivisor)
	}
	if leased || lease > 0 {
		p.leaseByWriter[r.GetWriter()] = lease
	}
}

// applyEnd counts the delivered tokens of an attempt and returns the rest of its reservation to
// the lease of the writer that made it, if that still holds one.
func (l *leaseLedger) applyEnd(r *turnpb.Record, end *turnpb.End) {
	p := l.program(end.GetProgram(), r, end.GetSpent())
	p.spentTokens = max(p.spentTokens, end.GetSpent())
	if _, ended := p.endedAttempts[end.GetAttempt()]; ended {
		return
	}
	p.endedAttempts[end.GetAttempt()] = struct{}{}
	p.spentTokens += end.GetTokens()
	reserved, ok := p.reservations[end.GetAttempt()]
	if !ok {
		return
	}
	delete(p.reservations, end.GetAttempt())
	if lease, leased := p.leaseByWriter[reserved.writer]; leased {
		p.leaseByWriter[reserved.writer] = lease + max(0, reserved.tokens-end.GetTokens())
	}
}

// usedTokens returns the tokens that are spent or reserved.
func (p *leasedBudget) usedTokens() int64 {
	sum := p.spentTokens
	for _, r := range p.reservations {
		sum += r.tokens
	}
	return sum
}

// leasedByOthers returns the tokens leased to all writers but one.
func (p *leasedBudget) leasedByOthers(writer uint64) int64 {
	sum := int64(0)
	for w, tokens := range p.leaseByWriter {
		if w != writer {
			sum += tokens
		}
	}
	return sum
}

// leasedByOthers returns the tokens of a program that are leased to all writers but one.
func (l *leaseLedger) leasedByOthers(program string, writer uint64) int64 {
	if p, ok := l.programs[program]; ok {
		return p.leasedByOthers(writer)
	}
	return 0
}

// allowance returns how many tokens of a program may be used, reserved or handed out before the
// log has the records of the writer, 0 if the writer holds no lease.
func (l *leaseLedger) allowance(program string, writer uint64) int64 {
	p, ok := l.programs[program]
	if !ok {
		return 0
	}
	lease, leased := p.leaseByWriter[writer]
	if !leased {
		return 0
	}
	return p.usedTokens() + lease
}

// holdsLease reports whether a writer holds a lease on any program.
func (l *leaseLedger) holdsLease(writer uint64) bool {
	for _, p := range l.programs {
		if _, ok := p.leaseByWriter[writer]; ok {
			return true
		}
	}
	return false
}

// expire removes the budgets of programs that had no recent records at syncedAt, when all records
// of the shard were applied.
func (l *leaseLedger) expire(syncedAt time.Time) {
	for id, p := range l.programs {
		if syncedAt.Sub(p.lastRecordAt) > programLifetime {
			delete(l.programs, id)
		}
	}
}

// coveredByLease reports whether the tokens of an attempt may be handed out before the log has its
// begin record, if the program has used that many with the pending ones. s.mu must be held.
func (s *shard) coveredByLease(program string, usedWithPending, tokens int64) bool {
	if s.releasingLeases || time.Since(s.syncedAt) > leaseMaxAge {
		return false
	}
	return usedWithPending+tokens <= s.leases.allowance(program, s.set.writerID)
}

// checkLeases returns an error if a program has enough tokens left only without those that are
// leased to other processes: of KindUnavailable while these may still release them, of KindBudget
// once they are taken for lost. s.mu must be held.
func (s *shard) checkLeases(r BeginRequest, usedWithPending int64) error {
	leased := s.leases.leasedByOthers(r.Program, s.set.writerID)
	if usedWithPending+leased+r.MaxTokens <= r.BudgetTokens {
		return nil
	}
	kind := KindBudget
	if time.Since(s.foreignRecordAt) < leaseReleaseWait {
		kind = KindUnavailable
	}
	return Errorf("begin turn", kind, "budget of %d tokens can't admit %d more: %d are spent or reserved, %d %w", r.BudgetTokens, r.MaxTokens, usedWithPending, leased, errLeased)
}

// ReleaseLeases ends the leases that this process holds in shards of which it is no longer the
// home, so that the next home has the whole budgets. It includes MarkForeign.
func (set *ShardSet) ReleaseLeases(shards []int) {
	for _, s := range set.inMemory(shards) {
		s.releaseLeases()
	}
}

// MarkForeign notes that another process may have been the home of shards until now: this one
// relies on replicas only once it has read or appended to their end again. Its leases stay valid.
func (set *ShardSet) MarkForeign(shards []int) {
	for _, s := range set.inMemory(shards) {
		s.mu.Lock()
		s.markForeign()
		s.mu.Unlock()
	}
}

// inMemory returns those of the given shards that are in memory.
func (set *ShardSet) inMemory(numbers []int) []*shard {
	set.mu.Lock()
	defer set.mu.Unlock()
	var shards []*shard
	for _, number := range numbers {
		if s, ok := set.shards[number]; ok {
			shards = append(shards, s)
		}
	}
	return shards
}

// releaseLeases queues the record that ends the leases of this process, if it holds any or may be
// about to. The record follows those of all attempts that were admitted under them.
func (s *shard) releaseLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.markForeign()
	if s.releasingLeases || !(s.leases.holdsLease(s.set.writerID) || s.hasPendingLease()) {
		return
	}
	s.releasingLeases = true
	s.submit(&writeOp{record: &turnpb.Record{Body: &turnpb.Record_Release{Release: &turnpb.Release{}}}})
}

// hasPendingLease reports whether a pending record takes a lease. s.mu must be held.
func (s *shard) hasPendingLease() bool {
	for _, op := range s.pending {
		if op.record.GetBegin().GetBudget() > 0 {
			return true
		}
	}
	return false
}
