package program

import "time"

// Snapshot is a copy of a program's state, without a running call.
type Snapshot struct{ config SnapshotConfig }

// SnapshotConfig holds the content of a Snapshot.
type SnapshotConfig struct {
	// Config is what was fixed when the program started.
	Config Config
	// Epoch counts how often another home has taken the program over.
	Epoch uint64
	// State tells whether the program is active or how it ended.
	State State
	// History holds the messages of all answered model calls.
	History []Message
	// DigestByTurn holds the digest of the history at each turn, starting at turn 0.
	DigestByTurn []Digest
	// HistoryTokens is the number of prompt tokens that History takes.
	HistoryTokens int64
	// SpentTokens is the number of tokens charged to the budget.
	SpentTokens int64
	// ReservedByChild holds the tokens reserved for each child, 0 for a settled one.
	ReservedByChild map[ID]int64
	// Claim is the order that may have run without a known result, or nil.
	Claim *Claim
	// ClaimAttempts counts the claims that were made for the next call.
	ClaimAttempts uint32
	// LastAnswer is the answer to the latest answered call, or nil.
	LastAnswer *Answer
	// Repeats counts how often in a row the latest call repeated the one before it.
	Repeats int
	// EndedAt is when the program ended, or zero while it is active.
	EndedAt time.Time
	// ServiceTime is the total time of the answered calls, without queueing.
	ServiceTime time.Duration
}

// NewSnapshot returns a Snapshot with the given content, or an error of KindInvalid when
// DigestByTurn is empty.
func NewSnapshot(c SnapshotConfig) (*Snapshot, error) {
	if len(c.DigestByTurn) == 0 {
		return nil, Errorf("check snapshot", KindInvalid, "snapshot has no digest of turn 0")
	}
	return &Snapshot{config: c}, nil
}

// Config returns the content of the snapshot. It must not be modified.
func (s *Snapshot) Config() SnapshotConfig { return s.config }

// Snapshot returns a copy of the program's state, without a running call.
func (p *Program) Snapshot() *Snapshot {
	children := make(map[ID]int64, len(p.reservedByChild))
	for id, tokens := range p.reservedByChild {
		children[id] = tokens
	}
	return &Snapshot{config: SnapshotConfig{
		Config: p.config, Epoch: p.epoch, State: p.state,
		History: append([]Message(nil), p.history...), DigestByTurn: append([]Digest(nil), p.digestByTurn...),
		HistoryTokens: p.historyTokens, SpentTokens: p.budget.spent, ReservedByChild: children, Claim: p.claim, ClaimAttempts: p.claimAttempts,
		LastAnswer: p.lastAnswer, Repeats: p.repeats, EndedAt: p.endedAt, ServiceTime: p.serviceTime,
	}}
}

// Restore returns a program with the state of a snapshot.
func Restore(s *Snapshot) *Program {
	c := s.config
	p := New(c.Config)
	p.epoch, p.state, p.endedAt = c.Epoch, c.State, c.EndedAt
	p.history = append([]Message(nil), c.History...)
	p.digestByTurn = append([]Digest(nil), c.DigestByTurn...)
	p.historyTokens, p.serviceTime, p.repeats = c.HistoryTokens, c.ServiceTime, c.Repeats
	p.claim, p.claimAttempts, p.lastAnswer = c.Claim, c.ClaimAttempts, c.LastAnswer
	p.budget.spent = c.SpentTokens
	for id, tokens := range c.ReservedByChild {
		p.reservedByChild[id] = tokens
		p.budget.reserved += tokens
	}
	return p
}
