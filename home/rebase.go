package home

import (
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// rebasedProgram is a program with the turns applied that its caller accepted
// from an earlier home after this one had taken over.
type rebasedProgram struct {
	program *program.Program
	// turns holds the bodies of the applied records, which have to be written
	// again under the current epoch.
	turns []history.Body
}

// rebaseTurns applies the turns that a handle carries to a copy of a program.
// It succeeds only when they lead to exactly the history that the handle stands
// for: a caller accepts one answer for each call, and the digest in its handle
// tells which.
func rebaseTurns(codec Codec, p *program.Program, handle program.Handle) (*rebasedProgram, bool) {
	if codec == nil || handle.CarriedRecords() == "" || handle.Turn() <= p.Turn() || p.HasRunningCall() {
		return nil, false
	}
	records, err := codec.Decode([]byte(handle.CarriedRecords()))
	if err != nil {
		return nil, false
	}
	rebased := &rebasedProgram{program: program.Restore(p.Snapshot())}
	for _, r := range records {
		body := r.Body()
		if !isAcceptedAnswer(body) || body.Answer().Number() != rebased.program.NextNumber() {
			continue
		}
		if err := rebased.program.ApplyTurn(body.Messages(), body.Answer()); err != nil {
			return nil, false
		}
		rebased.turns = append(rebased.turns, body)
	}
	if rebased.program.VerifyHandle(handle) != nil {
		return nil, false
	}
	return rebased, true
}

// isAcceptedAnswer reports whether a record holds an answer that a caller may
// have accepted: a turn or an order that ran.
func isAcceptedAnswer(body history.Body) bool {
	return body.Type() == history.TypeTurn || (body.Type() == history.TypeSettled && body.Outcome() == program.Ran)
}

// verifyOrRebaseLocked checks a handle against a program. When the handle is
// ahead of the program, it first applies the turns that the handle carries and
// appends their records.
func (h *Home) verifyOrRebaseLocked(r *residentProgram, handle program.Handle) error {
	err := r.program.VerifyHandle(handle)
	if err == nil || program.KindOf(err) != program.KindMoved {
		return err
	}
	rebased, ok := rebaseTurns(h.config.Codec, r.program, handle)
	if !ok {
		return err
	}
	r.program = rebased.program
	for _, body := range rebased.turns {
		h.appendRecordLocked(r, r.program.Epoch(), body)
	}
	h.config.Logger.Info("turns applied from a handle", zap.Stringer("program", handle.Program()), zap.Int("turns", len(rebased.turns)))
	return nil
}
