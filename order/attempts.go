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
	// highestEpochs holds the highest epoch received for each program.
	highestEpochs map[program.ID]uint64
}

// NewAttemptRegistry returns an empty registry for one incarnation of a ledger.
func NewAttemptRegistry(incarnation uint64) *AttemptRegistry {
	return &AttemptRegistry{incarnation: incarnation, registered: map[Key]bool{}, highestEpochs: map[program.ID]uint64{}}
}

// Register adds an attempt; first is false when it has been registered before. The error
// is of KindIncarnationMismatch when the attempt was claimed at another incarnation of the
// ledger, and of KindFenced when its epoch is lower than one received for the program,
// which shows that its home has been replaced.
func (a *AttemptRegistry) Register(r Request) (first bool, err error) {
	const op = "register order"
	id := r.Key().Program()
	if r.Incarnation() != a.incarnation {
		return false, Errorf(op, KindIncarnationMismatch, "order %s was claimed at incarnation %d of the ledger, the current incarnation is %d", r.Key(), r.Incarnation(), a.incarnation)
	}
	if highest := a.highestEpochs[id]; r.Epoch() < highest {
		return false, Errorf(op, KindFenced, "order %s has epoch %d, but the ledger has received epoch %d of the program", r.Key(), r.Epoch(), highest)
	}
	a.highestEpochs[id] = r.Epoch()
	if a.registered[r.Key()] {
		return false, nil
	}
	a.registered[r.Key()] = true
	return true, nil
}

// Forget removes an attempt. The highest epoch of its program is kept.
func (a *AttemptRegistry) Forget(key Key) { delete(a.registered, key) }

// Clone returns a copy that shares no state with a.
func (a *AttemptRegistry) Clone() *AttemptRegistry {
	return &AttemptRegistry{incarnation: a.incarnation, registered: maps.Clone(a.registered), highestEpochs: maps.Clone(a.highestEpochs)}
}
