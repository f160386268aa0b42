package order

import (
	"maps"

	"github.com/lavendervale/lavendervale/program"
)

// AttemptRegistry decides which attempts at orders may run. It is not safe for concurrent
// use.
type AttemptRegistry struct {
	// incarnation is the incarnation of the ledger.
	incarnation uint64
	// registered holds the attempts received.
	registered map[Key]bool
	// programs holds what is kept of each program until the ledger ends, also when its
	// attempts are forgotten.
	programs map[program.ID]programState
}

// programState tells which attempts of a program may not run.
type programState struct {
	// highestEpoch is the highest epoch received.
	highestEpoch uint64
	// forgottenNumber and forgottenAttempt are the call number and attempt number of the
	// latest attempt that was forgotten, 0 when there is none. The calls of a program run
	// in order, so all earlier attempts have been made too.
	forgottenNumber  uint32
	forgottenAttempt uint32
}

// forgotten reports whether an attempt that is not registered may have been before.
func (p programState) forgotten(key Key) bool {
	return key.Number() < p.forgottenNumber || (key.Number() == p.forgottenNumber && key.Attempt() <= p.forgottenAttempt)
}

// NewAttemptRegistry returns an empty registry for one incarnation of a ledger.
func NewAttemptRegistry(incarnation uint64) *AttemptRegistry {
	return &AttemptRegistry{incarnation: incarnation, registered: map[Key]bool{}, programs: map[program.ID]programState{}}
}

// Register adds an attempt; first is false when it has been registered before. The error
// is of KindIncarnationMismatch when the attempt was claimed at another incarnation of the
// ledger, of KindFenced when its epoch is lower than one received for the program, which
// shows that its home has been replaced, and a final one of KindInDoubt when the attempt may
// have been forgotten.
func (a *AttemptRegistry) Register(r Request) (first bool, err error) {
	const op = "register order"
	key := r.Key()
	if r.Incarnation() != a.incarnation {
		return false, Errorf(op, KindIncarnationMismatch, "order %s was claimed at incarnation %d of the ledger, the current incarnation is %d", key, r.Incarnation(), a.incarnation)
	}
	p := a.programs[key.Program()]
	if r.Epoch() < p.highestEpoch {
		return false, Errorf(op, KindFenced, "order %s has epoch %d, but the ledger has received epoch %d of the program", key, r.Epoch(), p.highestEpoch)
	}
	p.highestEpoch = r.Epoch()
	a.programs[key.Program()] = p
	if a.registered[key] {
		return false, nil
	}
	if p.forgotten(key) {
		return false, FinalInDoubtf(op, "order %s may have run, the ledger no longer has its outcome", key)
	}
	a.registered[key] = true
	return true, nil
}

// Forget removes an attempt, which Register refuses from then on. The highest epoch of its
// program is kept.
func (a *AttemptRegistry) Forget(key Key) {
	delete(a.registered, key)
	p := a.programs[key.Program()]
	if !p.forgotten(key) {
		p.forgottenNumber, p.forgottenAttempt = key.Number(), key.Attempt()
		a.programs[key.Program()] = p
	}
}

// Clone returns a copy that shares no state with a.
func (a *AttemptRegistry) Clone() *AttemptRegistry {
	return &AttemptRegistry{incarnation: a.incarnation, registered: maps.Clone(a.registered), programs: maps.Clone(a.programs)}
}
