package home

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// findOrTakeOver returns the program of a handle from memory, or takes it over
// when it is not there. It fails while a takeover is not committed.
func (h *Home) findOrTakeOver(ctx context.Context, handle program.Handle) (*residentProgram, error) {
	if r := h.lookup(handle.Program()); r != nil {
		return r, r.waitForTakeover(ctx)
	}
	return h.takeOver(ctx, handle)
}

// takeOver loads a program from the journal and from the records that its
// handle carries, and makes this home its owner. It refuses when the journal
// names an owner other than this home and the home in the handle: then the
// handle is out of date.
func (h *Home) takeOver(ctx context.Context, handle program.Handle) (*residentProgram, error) {
	const op = "take over program"
	if h.Leaving() {
		return nil, inDoubtRefusal(op, program.KindLeaving, "", fmt.Errorf("endpoint %s is leaving and takes over no programs", h.config.Name))
	}
	state, err := h.loadProgram(ctx, handle)
	if err != nil {
		return nil, err
	}
	if err := state.program.VerifyHandle(handle); err != nil {
		if _, ok := rebaseTurns(h.config.Codec, state.program, handle); !ok {
			return nil, err
		}
	}
	if owner := state.lastHome; owner != h.config.Name && owner != handle.Home() {
		return nil, inDoubtRefusal(op, program.KindMoved, owner, fmt.Errorf("program %s is owned by home %s", handle.Program(), owner))
	}
	return h.commitTakeover(ctx, state)
}

// commitTakeover puts a loaded program into memory under the next epoch, queues
// the carried records and the takeover record, and waits for the latter. It
// fails when the wait does, because another home may have taken over first; the
// commit continues, and later requests wait for it too.
func (h *Home) commitTakeover(ctx context.Context, state *takeoverState) (*residentProgram, error) {
	p := state.program
	s := h.shard(p.ID())
	s.mu.Lock()
	if r, ok := s.residents[p.ID()]; ok {
		s.mu.Unlock()
		return r, r.waitForTakeover(ctx)
	}
	r := newResident(s, p, h.classOrFallback(p.Class()))
	r.lastPosition = state.lastPosition
	r.snapshotAt, r.snapshotTurn = p.StartedAt(), 0
	for _, record := range state.carriedRecords {
		h.enqueueRecordLocked(r, record)
	}
	r.lastRecordID = state.lastRecordID
	p.TakeOver(p.Epoch() + 1)
	h.scheduler.registerProgram(p, r.class)
	r.takeover = h.appendRecordLocked(r, p.Epoch(), history.Adopted())
	s.residents[p.ID()] = r
	s.mu.Unlock()
	if err := r.waitForTakeover(ctx); err != nil {
		return nil, err
	}
	h.metrics.adopted.Add(1)
	h.config.Logger.Info("program taken over", zap.Stringer("program", p.ID()), zap.Uint64("epoch", p.Epoch()), zap.String("from", state.lastHome))
	return r, nil
}

// waitForTakeover waits up to startCommitTimeout for the record of the takeover
// that brought the program here. It returns at once when there was none.
func (r *residentProgram) waitForTakeover(ctx context.Context) error {
	if r.takeover == nil || r.takeover.committed() {
		return nil
	}
	if err := r.takeover.wait(ctx, startCommitTimeout); err != nil {
		return loadError("take over program", err)
	}
	return nil
}

// takeoverState is the state of a program that this home is about to take over.
type takeoverState struct {
	// program is nil while neither the journal nor a carried record has given
	// its first record.
	program *program.Program
	// lastRecordID and lastPosition identify the latest record. The position is
	// that of the latest record in the journal, without the carried ones.
	lastRecordID history.RecordID
	lastPosition history.Position
	// lastHome is the instance that wrote the latest record in the journal, or
	// the home in the handle when there is none.
	lastHome string
	// carriedRecords holds the records from the handle that the journal lacks,
	// in order.
	carriedRecords []history.Record
}

// loadProgram reads a program from the journal and applies the records that its
// handle carries beyond that. A program that the journal does not know can be
// loaded from the handle alone, when its first record was never committed.
func (h *Home) loadProgram(ctx context.Context, handle program.Handle) (*takeoverState, error) {
	const op = "load program"
	state := &takeoverState{lastPosition: history.NoPosition, lastHome: handle.Home()}
	hasCarried := handle.CarriedRecords() != "" && h.config.Codec != nil
	loaded, err := h.config.Journal.Load(ctx, handle.Program())
	switch {
	case err == nil:
		state.program, state.lastRecordID, state.lastPosition, state.lastHome = loaded.Program(), loaded.LastRecordID(), loaded.Position(), loaded.Home()
	case history.KindOf(err) != history.KindNotFound || !hasCarried:
		return nil, loadError(op, err)
	}
	if !hasCarried {
		return state, nil
	}
	records, err := h.config.Codec.Decode([]byte(handle.CarriedRecords()))
	if err != nil {
		return nil, program.Errorf(op, program.KindInternal, "can't decode the records that the handle carries: %w", err)
	}
	return state, state.applyCarried(records)
}

// applyCarried applies the carried records that continue the journal and skips
// the others.
func (s *takeoverState) applyCarried(records []history.Record) error {
	for _, r := range records {
		if r.Previous() != s.lastRecordID {
			continue
		}
		next, err := history.Apply(s.program, r)
		if err != nil {
			return program.Errorf("load program", program.KindInternal, "can't apply a record that the handle carries: %w", err)
		}
		s.program = next
		s.lastRecordID = r.ID()
		s.carriedRecords = append(s.carriedRecords, r)
	}
	if s.program == nil {
		return program.Errorf("load program", program.KindNotFound, "neither the journal nor the handle has the first record of the program")
	}
	return nil
}
