package home

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// reside returns the program of a handle, adopting it when no call has
// brought it here yet.
func (h *Home) reside(ctx context.Context, handle program.Handle) (*resident, error) {
	if r := h.find(handle.Program()); r != nil {
		return r, nil
	}
	return h.adopt(ctx, handle)
}

// adopt moves a program from the journal to this home, with the records that
// its handle carries.
func (h *Home) adopt(ctx context.Context, handle program.Handle) (*resident, error) {
	const op = "adopt program"
	if h.Leaving() {
		return nil, elsewhere(op, program.KindLeaving, "", fmt.Errorf("endpoint %s takes no programs", h.config.Name))
	}
	state, err := h.load(ctx, handle)
	if err != nil {
		return nil, err
	}
	if err := state.program.VerifyHandle(handle); err != nil {
		if _, ok := rebaseTurns(h.config.Codec, state.program, handle); !ok {
			return nil, err
		}
	}
	if at := state.home; at != h.config.Name && at != handle.Home() {
		return nil, elsewhere(op, program.KindMoved, at, fmt.Errorf("program %s lives at %s", handle.Program(), at))
	}
	return h.settleAdopted(ctx, state)
}

// settleAdopted makes an adopted program resident and waits for its record.
func (h *Home) settleAdopted(ctx context.Context, state *adopted) (*resident, error) {
	p := state.program
	s := h.shard(p.ID())
	s.mu.Lock()
	if r, ok := s.residents[p.ID()]; ok {
		s.mu.Unlock()
		return r, nil
	}
	r := newResident(s, p, h.classOf(p.Class()))
	r.position = state.position
	r.whole, r.wholeTurn = p.StartedAt(), 0
	for _, record := range state.carried {
		h.queueLocked(r, record)
	}
	r.last = state.last
	p.TakeOver(p.Epoch() + 1)
	h.scheduler.register(p, r.class)
	e := h.writeLocked(r, p.Epoch(), history.Adopted())
	s.residents[p.ID()] = r
	s.mu.Unlock()
	if err := e.wait(ctx, startCommitWait); err != nil {
		return nil, loadError("adopt program", err)
	}
	h.metrics.adopted.Add(1)
	h.config.Log.Info("program adopted", zap.Stringer("program", p.ID()), zap.Uint64("epoch", p.Epoch()), zap.String("from", state.home))
	return r, nil
}

// adopted is the state of a program that is about to be adopted.
type adopted struct {
	program  *program.Program
	last     history.RecordID
	position history.Position
	home     string
	carried  []history.Record
}

// load reads a program from the journal and applies what its handle carries
// beyond that; a start that never reached the journal is carried too.
func (h *Home) load(ctx context.Context, handle program.Handle) (*adopted, error) {
	const op = "load program"
	state := &adopted{position: history.NoPosition, home: handle.Home()}
	loaded, err := h.config.Journal.Load(ctx, handle.Program())
	switch {
	case err == nil:
		state.program, state.last, state.position, state.home = loaded.Program(), loaded.Last(), loaded.Position(), loaded.Home()
	case history.KindOf(err) != history.KindNotFound || handle.CarriedRecords() == "":
		return nil, loadError(op, err)
	}
	if handle.CarriedRecords() == "" || h.config.Codec == nil {
		return state, nil
	}
	records, err := h.config.Codec.Decode([]byte(handle.CarriedRecords()))
	if err != nil {
		return nil, program.Errorf(op, program.KindInternal, "carried records can't be read: %w", err)
	}
	return state, state.follow(records)
}

// follow applies the carried records that the journal does not hold.
func (a *adopted) follow(records []history.Record) error {
	for _, r := range records {
		if r.Previous() != a.last {
			continue
		}
		next, err := history.Fold(a.program, r)
		if err != nil {
			return program.Errorf("load program", program.KindInternal, "carried record: %w", err)
		}
		a.program = next
		a.last = r.ID()
		a.carried = append(a.carried, r)
	}
	if a.program == nil {
		return program.Errorf("load program", program.KindNotFound, "no record of the program is known")
	}
	return nil
}

// loadError turns an error of the journal into one for the caller.
func loadError(op string, err error) error {
	kind := program.KindUnavailable
	switch history.KindOf(err) {
	case history.KindNotFound:
		kind = program.KindNotFound
	case history.KindSuperseded:
		kind = program.KindMoved
	case history.KindCorrupt:
		kind = program.KindInternal
	}
	return elsewhere(op, kind, "", err)
}
