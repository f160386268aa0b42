package home

import (
	"context"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// BudgetTransfer moves budget between a program and a child that it started.
type BudgetTransfer struct {
	// Parent is the handle of the parent.
	Parent program.Handle
	// Child is the program that the budget is for.
	Child program.ID
	// Tokens is the amount to reserve, or what the child has spent when Settle
	// is set.
	Tokens int64
	// Settle ends the reservation of the child.
	Settle bool
}

// Transfer reserves budget of a program for a child, or ends that reservation.
// It returns the tokens that were reserved or that the parent got back. A
// repeat changes nothing. Errors are of type *program.Error, among them
// KindOverBudget when the parent has too little left.
func (h *Home) Transfer(ctx context.Context, t BudgetTransfer) (int64, error) {
	r, err := h.findOrTakeOver(ctx, t.Parent)
	if err != nil {
		return 0, err
	}
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	if r.lost {
		return 0, movedError("transfer budget", t.Parent.Program())
	}
	return h.transferLocked(r, t)
}

// transferLocked applies a transfer and appends the record of it.
func (h *Home) transferLocked(r *residentProgram, t BudgetTransfer) (int64, error) {
	if t.Settle {
		if !r.program.HasChildReservation(t.Child) {
			return 0, nil
		}
		returned := r.program.SettleChild(t.Child, t.Tokens)
		h.appendRecordLocked(r, r.program.Epoch(), history.Unsplit(t.Child, t.Tokens))
		return returned, nil
	}
	if err := h.verifyOrRebaseLocked(r, t.Parent); err != nil {
		return 0, err
	}
	if err := r.program.ReserveForChild(t.Child, t.Tokens); err != nil {
		return 0, err
	}
	h.appendRecordLocked(r, r.program.Epoch(), history.Split(t.Child, t.Tokens))
	return t.Tokens, nil
}
