package home

import (
	"time"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// snapshotIfDueLocked writes a snapshot of an idle program that has had many
// turns since the last one, or whose records are about to expire in the log.
func (h *Home) snapshotIfDueLocked(r *residentProgram, now time.Time) {
	if r.program.Turn() >= r.snapshotTurn+turnsPerSnapshot || now.Sub(r.snapshotAt) >= maxSnapshotAge {
		h.snapshotIfChangedLocked(r, now)
	}
}

// snapshotIfChangedLocked writes a snapshot of an idle program, unless the last
// one is of the same turn and younger than maxSnapshotAge.
func (h *Home) snapshotIfChangedLocked(r *residentProgram, now time.Time) {
	idle := r.program.State() == program.Active && !r.program.HasRunningCall() && len(r.pendingRecords) == 0
	current := r.program.Turn() == r.snapshotTurn && now.Sub(r.snapshotAt) < maxSnapshotAge
	if !idle || current {
		return
	}
	h.appendRecordLocked(r, r.program.Epoch(), history.Snapshot(r.program.Snapshot()))
	r.snapshotAt = now
	r.snapshotTurn = r.program.Turn()
	h.metrics.snapshots.Add(1)
}
