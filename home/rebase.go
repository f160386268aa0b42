package home

import (
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// rebased is a program with the turns that its caller has accepted from a home
// that did not know of its replacement.
type rebased struct {
	program *program.Program
	turns   []history.Body
}

// rebaseTurns applies the turns that a handle carries on top of a program, when
// they lead to just the history that the handle stands for: the caller accepts
// one answer a call, and its digest says which.
func rebaseTurns(codec Codec, p *program.Program, handle program.Handle) (*rebased, bool) {
	if codec == nil || handle.CarriedRecords() == "" || handle.Turn() <= p.Turn() || p.HasRunningCall() {
		return nil, false
	}
	records, err := codec.Decode([]byte(handle.CarriedRecords()))
	if err != nil {
		return nil, false
	}
	g := &rebased{program: program.Restore(p.Snapshot())}
	for _, r := range records {
		b := r.Body()
		if !mayRebase(b) || b.Answer().Number() != g.program.NextNumber() {
			continue
		}
		if err := g.program.ApplyTurn(b.Messages(), b.Answer()); err != nil {
			return nil, false
		}
		g.turns = append(g.turns, b)
	}
	if g.program.VerifyHandle(handle) != nil {
		return nil, false
	}
	return g, true
}

// mayRebase reports whether a record holds an answer that a caller can have
// accepted: a turn, or an order that ran.
func mayRebase(b history.Body) bool {
	return b.Step() == history.StepTurn || (b.Step() == history.StepSettled && b.Outcome() == program.Ran)
}

// verifyLocked checks a handle against a program, and takes over the turns
// that the handle carries beyond it.
func (h *Home) verifyLocked(r *resident, handle program.Handle) error {
	err := r.program.VerifyHandle(handle)
	if err == nil || program.KindOf(err) != program.KindMoved {
		return err
	}
	g, ok := rebaseTurns(h.config.Codec, r.program, handle)
	if !ok {
		return err
	}
	r.program = g.program
	for _, b := range g.turns {
		h.writeLocked(r, r.program.Epoch(), b)
	}
	h.config.Log.Info("turns taken over from a handle", zap.Stringer("program", handle.Program()), zap.Int("turns", len(g.turns)))
	return nil
}
