package history

import (
	"github.com/lavendervale/lavendervale/program"
)

// Apply applies one valid record to the state of its program and returns the new state;
// p is nil for the first record. A record of TypeStarted or TypeSnapshot replaces p. The
// error is of KindCorrupt when p is nil and the record has another type, and an error of
// package program when the record does not fit the state.
func Apply(p *program.Program, r Record) (*program.Program, error) {
	const op = "apply record"
	b := r.Body()
	switch b.Type() {
	case TypeStarted:
		return program.New(b.Config()), nil
	case TypeSnapshot:
		return program.Restore(b.Snapshot()), nil
	}
	if p == nil {
		return nil, Errorf(op, KindCorrupt, "record %s of type %s has no started or snapshot record before it", r.ID(), b.Type())
	}
	return p, applyToProgram(p, r, b)
}

// applyToProgram changes p by a record that is neither TypeStarted nor TypeSnapshot.
func applyToProgram(p *program.Program, r Record, b Body) error {
	switch b.Type() {
	case TypeTurn:
		return p.ApplyTurn(b.Messages(), b.Answer())
	case TypeClaimed:
		p.SetClaim(b.Claim())
	case TypeSettled:
		return applySettled(p, b)
	case TypeAdopted:
		p.TakeOver(r.Epoch())
	case TypeFinished:
		p.ApplyEnd(finalState(b), r.Time())
	case TypeSplit:
		return p.ReserveForChild(b.Child(), b.Tokens())
	case TypeUnsplit:
		p.SettleChild(b.Child(), b.Tokens())
	}
	return nil
}

// applySettled removes the claim of an order that did not run, so that the call can be
// claimed again, and adds the answer of any other order to the history of the program.
func applySettled(p *program.Program, b Body) error {
	if b.Outcome() == program.NotRun {
		p.DropClaim()
		return nil
	}
	return p.ApplyTurn(nil, b.Answer())
}

// finalState returns the state in which a body of TypeFinished leaves its program.
func finalState(b Body) program.State {
	if b.Canceled() {
		return program.Canceled
	}
	return program.Finished
}
