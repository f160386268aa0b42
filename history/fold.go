package history

import (
	"github.com/lavendervale/lavendervale/program"
)

// Fold applies one valid record to the state of its program; p is nil before
// the first record.
func Fold(p *program.Program, r Record) (*program.Program, error) {
	const op = "fold record"
	b := r.Body()
	switch b.Step() {
	case StepStarted:
		return program.New(b.Started()), nil
	case StepSnapshot:
		return program.Restore(b.Snapshot()), nil
	}
	if p == nil {
		return nil, Errorf(op, KindCorrupt, "record %s (%s) has no program before it", r.ID(), b.Step())
	}
	return p, foldNext(p, r, b)
}

func foldNext(p *program.Program, r Record, b Body) error {
	switch b.Step() {
	case StepTurn:
		return p.ApplyTurn(b.Messages(), b.Answer())
	case StepClaimed:
		p.SetClaim(b.Claim())
	case StepSettled:
		return foldSettled(p, b)
	case StepAdopted:
		p.TakeOver(r.Epoch())
	case StepFinished:
		p.ApplyEnd(endState(b), r.Time())
	case StepSplit:
		return p.ReserveForChild(b.Child(), b.Tokens())
	case StepUnsplit:
		p.SettleChild(b.Child(), b.Tokens())
	}
	return nil
}

func foldSettled(p *program.Program, b Body) error {
	if b.Outcome() == program.NotRun {
		p.DropClaim()
		return nil
	}
	return p.ApplyTurn(nil, b.Answer())
}

func endState(b Body) program.State {
	if b.Canceled() {
		return program.Canceled
	}
	return program.Finished
}
