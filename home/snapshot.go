package home

import (
	"time"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// snapshotLocked writes a program at rest whole when it has had many turns, or
// its records are about to expire.
func (h *Home) snapshotLocked(r *resident, now time.Time) {
	if r.program.Turn() >= r.wholeTurn+snapshotTurns || now.Sub(r.whole) >= snapshotAge {
		h.wholeLocked(r, now)
	}
}

// wholeLocked writes a program at rest whole, unless it has been since it last
// changed and not long ago.
func (h *Home) wholeLocked(r *resident, now time.Time) {
	atRest := r.program.State() == program.Active && !r.program.HasRunningCall() && len(r.outbox) == 0
	fresh := r.program.Turn() == r.wholeTurn && now.Sub(r.whole) < snapshotAge
	if !atRest || fresh {
		return
	}
	h.writeLocked(r, r.program.Epoch(), history.Snapshot(r.program.Snapshot()))
	r.whole = now
	r.wholeTurn = r.program.Turn()
	h.metrics.snapshots.Add(1)
}
