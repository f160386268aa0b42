package turn

import (
	"time"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

const (
	// expirySlack is added to the retention of turns, because the clocks of instances
	// differ by seconds and may jump.
	expirySlack = 20 * time.Second
	// programLifetime is how long the budget of a program is kept after its last
	// record. It equals the retention of the platform's log.
	programLifetime = 300 * time.Second
	// maxAttemptTime is the longest time from the admission of an attempt to its end record, which
	// callers of this package bound.
	maxAttemptTime = 70 * time.Second
)

// state is the result of applying the records of a shard in order.
type state struct {
	// programs holds the budget of each program by the program's identifier.
	programs map[string]*programBudget
	// turns holds the turns that can be continued. A turn has the identifier of the
	// attempt that completed it.
	turns map[string]*turnNode
	// textBytes is the total size of the text of turns.
	textBytes int64
}

// programBudget holds the tokens that a program has spent and reserved.
type programBudget struct {
	// spentTokens counts the tokens delivered by ended attempts.
	spentTokens int64
	// reservedByAttempt holds the tokens reserved for each attempt that has not ended.
	reservedByAttempt map[string]int64
	// endedAttempts holds all ended attempts, so that a record applied twice or a begin
	// record that comes after its end record has no effect.
	endedAttempts map[string]struct{}
	// completed is set once a turn of the program has been completed.
	completed bool
	// lastRecordAt is the latest time of writing among the program's records.
	lastRecordAt time.Time
}

// turnNode is a turn that can be continued. Conversations form trees, because several
// turns may continue the same one.
type turnNode struct {
	// parent is the previous turn, nil when text starts the conversation.
	parent *turnNode
	// text is what the turn adds to the conversation of parent.
	text      []byte
	writtenAt time.Time
	// expiresAt is no earlier than that of any turn that continues this one.
	expiresAt time.Time
	// heldUntil is until when this process may write a record that continues the turn.
	heldUntil time.Time
}

func newState() *state {
	return &state{programs: map[string]*programBudget{}, turns: map[string]*turnNode{}}
}

// begun reports whether an attempt of the program has delivered tokens or been completed.
func (p *programBudget) begun() bool { return p.completed || p.spentTokens > 0 }

// getOrCreateProgram returns the budget of a program, and notes that one of the
// program's records was written at recordedAt.
func (s *state) getOrCreateProgram(id string, recordedAt time.Time) *programBudget {
	p, ok := s.programs[id]
	if !ok {
		p = &programBudget{reservedByAttempt: map[string]int64{}, endedAttempts: map[string]struct{}{}}
		s.programs[id] = p
	}
	if recordedAt.After(p.lastRecordAt) {
		p.lastRecordAt = recordedAt
	}
	return p
}

// usedTokens returns the tokens that a program has spent or reserved, without those
// reserved for exceptAttempt.
func (s *state) usedTokens(id, exceptAttempt string) int64 {
	p, ok := s.programs[id]
	if !ok {
		return 0
	}
	sum := p.spentTokens
	for attempt, tokens := range p.reservedByAttempt {
		if attempt != exceptAttempt {
			sum += tokens
		}
	}
	return sum
}

// spentTokens returns the tokens that a program has spent.
func (s *state) spentTokens(id string) int64 {
	if p, ok := s.programs[id]; ok {
		return p.spentTokens
	}
	return 0
}

// hasEnded reports whether the end record of a program's attempt was applied.
func (s *state) hasEnded(program, attempt string) bool {
	p, ok := s.programs[program]
	if !ok {
		return false
	}
	_, ended := p.endedAttempts[attempt]
	return ended
}

// reservedByAttempt returns the reserved tokens of a program's attempts that have not
// ended.
func (s *state) reservedByAttempt(id string) map[string]int64 {
	if p, ok := s.programs[id]; ok {
		return p.reservedByAttempt
	}
	return nil
}

// apply applies a record. Applying it again has no effect.
func (s *state) apply(record *turnpb.Record) {
	writtenAt := time.UnixMilli(record.GetWrittenMs())
	switch {
	case record.GetBegin() != nil:
		s.applyBegin(record.GetBegin(), writtenAt)
	case record.GetEnd() != nil:
		s.applyEnd(record.GetEnd(), writtenAt)
	}
}

// contains reports whether a record has been applied already.
func (s *state) contains(record *turnpb.Record) bool {
	if b := record.GetBegin(); b != nil {
		p, ok := s.programs[b.GetProgram()]
		if !ok {
			return false
		}
		_, reserved := p.reservedByAttempt[b.GetAttempt()]
		_, ended := p.endedAttempts[b.GetAttempt()]
		return reserved || ended
	}
	e := record.GetEnd()
	p, ok := s.programs[e.GetProgram()]
	if !ok {
		return false
	}
	_, ended := p.endedAttempts[e.GetAttempt()]
	_, found := s.turns[e.GetAttempt()]
	return ended && (found || e.GetTurn() == nil)
}

// applyBegin reserves the tokens of an attempt unless it has ended. For a program without earlier records,
// which may have been trimmed, the spent tokens start from the count in the record.
func (s *state) applyBegin(begin *turnpb.Begin, writtenAt time.Time) {
	_, known := s.programs[begin.GetProgram()]
	p := s.getOrCreateProgram(begin.GetProgram(), writtenAt)
	if !known {
		p.spentTokens = begin.GetSpent()
	}
	if _, ok := p.endedAttempts[begin.GetAttempt()]; ok {
		return
	}
	p.reservedByAttempt[begin.GetAttempt()] = begin.GetTokens()
}

// applyEnd releases the reserved tokens of an attempt, counts the delivered ones as
// spent and adds the completed turn. If the record counts more tokens as spent before it than were seen,
// earlier records have been trimmed and the first one left had no count.
func (s *state) applyEnd(end *turnpb.End, writtenAt time.Time) {
	p := s.getOrCreateProgram(end.GetProgram(), writtenAt)
	p.spentTokens = max(p.spentTokens, end.GetSpent())
	if _, ok := p.endedAttempts[end.GetAttempt()]; !ok {
		p.endedAttempts[end.GetAttempt()] = struct{}{}
		delete(p.reservedByAttempt, end.GetAttempt())
		p.spentTokens += end.GetTokens()
	}
	if t := end.GetTurn(); t != nil {
		p.completed = true
		s.addTurn(end.GetAttempt(), t, writtenAt)
	}
}

// addTurn adds a turn and prolongs the expiry of the turns that it continues. A turn
// whose previous turn is not in the shard is ignored, since its text is incomplete.
func (s *state) addTurn(attempt string, t *turnpb.Turn, writtenAt time.Time) {
	if _, ok := s.turns[attempt]; ok {
		return
	}
	n := &turnNode{text: t.GetText(), writtenAt: writtenAt, expiresAt: writtenAt.Add(time.Duration(t.GetRetentionMs())*time.Millisecond + expirySlack)}
	if !t.GetWhole() && t.GetPrevious() != "" {
		parent, ok := s.turns[t.GetPrevious()]
		if !ok {
			return
		}
		n.parent = parent
	}
	s.turns[attempt] = n
	s.textBytes += int64(len(n.text))
	for ancestor := n.parent; ancestor != nil && ancestor.expiresAt.Before(n.expiresAt); ancestor = ancestor.parent {
		ancestor.expiresAt = n.expiresAt
	}
}

// conversation returns the text of the conversation up to and including n.
func (n *turnNode) conversation() []byte {
	size := 0
	for node := n; node != nil; node = node.parent {
		size += len(node.text)
	}
	out := make([]byte, size)
	for node := n; node != nil; node = node.parent {
		size -= len(node.text)
		copy(out[size:], node.text)
	}
	return out
}

// firstWrittenAt returns when the oldest record of the conversation was written.
func (n *turnNode) firstWrittenAt() time.Time {
	for n.parent != nil {
		n = n.parent
	}
	return n.writtenAt
}

// hold keeps a turn for maxAttemptTime, for the record of an attempt that continues it.
func (s *state) hold(turn string, now time.Time) {
	if n, ok := s.turns[turn]; ok {
		n.heldUntil = now.Add(maxAttemptTime)
	}
}

// mayExpire reports whether other processes may drop the turn before they read a record that is
// written now. Such a record has to hold the whole conversation.
func (n *turnNode) mayExpire(now time.Time) bool { return now.After(n.expiresAt.Add(-expirySlack)) }

// expire removes the turns and the budgets of programs that had expired at syncedAt, when all
// records of the shard were applied.
func (s *state) expire(syncedAt, now time.Time) {
	for id, n := range s.turns {
		if syncedAt.After(n.expiresAt) && now.After(n.heldUntil) {
			delete(s.turns, id)
			s.textBytes -= int64(len(n.text))
		}
	}
	for id, p := range s.programs {
		if syncedAt.Sub(p.lastRecordAt) > programLifetime {
			delete(s.programs, id)
		}
	}
}
