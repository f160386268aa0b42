package home

import (
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// Transfer moves budget between a parent and a child.
type Transfer struct {
	// Parent is the handle of the parent.
	Parent program.Handle
	// Child is the program the budget is for.
	Child program.ID
	// Tokens is what to reserve, or what the child spent when Settle is set.
	Tokens int64
	// Settle ends the reservation.
	Settle bool
}

// transferLocked reserves or settles the budget of a child and writes it down;
// the result is what was reserved, or what came back.
func (h *Home) transferLocked(r *resident, t Transfer) (int64, error) {
	if t.Settle {
		if !r.program.HasChildReservation(t.Child) {
			return 0, nil
		}
		back := r.program.SettleChild(t.Child, t.Tokens)
		h.writeLocked(r, r.program.Epoch(), history.Unsplit(t.Child, t.Tokens))
		return back, nil
	}
	if err := h.verifyLocked(r, t.Parent); err != nil {
		return 0, err
	}
	if err := r.program.ReserveForChild(t.Child, t.Tokens); err != nil {
		return 0, err
	}
	h.writeLocked(r, r.program.Epoch(), history.Split(t.Child, t.Tokens))
	return t.Tokens, nil
}
