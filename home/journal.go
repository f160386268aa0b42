package home

import (
	"context"
	"time"

	"github.com/lavendervale/lavendervale/history"
)

// errClosed is the error of a record that is written after Close.
var errClosed = history.Errorf("write record", history.KindUnknown, "home is closed")

// appendRecordLocked creates the next record of a program and queues it for the
// journal.
func (h *Home) appendRecordLocked(r *residentProgram, epoch uint64, body history.Body) *pendingRecord {
	record := history.NewRecord(history.RecordConfig{
		ID: history.NewRecordID(), Program: r.id, Epoch: epoch, Previous: r.lastRecordID,
		PreviousPosition: r.lastPosition, Home: h.config.Name, Time: time.Now(), Body: body,
	})
	r.lastRecordID = record.ID()
	return h.enqueueRecordLocked(r, record)
}

// enqueueRecordLocked queues a record behind the earlier ones of its program
// and starts a goroutine that commits them, unless one is running.
func (h *Home) enqueueRecordLocked(r *residentProgram, record history.Record) *pendingRecord {
	pending := &pendingRecord{record: record, done: make(chan struct{})}
	r.pendingRecords = append(r.pendingRecords, pending)
	if !r.committing {
		r.committing = h.goroutines.spawn(func() { h.commitPending(r) })
	}
	if !r.committing {
		// The record stays in the queue, so that the handle carries it.
		h.failRecordLocked(pending, errClosed)
	}
	return pending
}

// commitPending commits the queued records of a program one by one until none
// is left.
func (h *Home) commitPending(r *residentProgram) {
	for {
		r.shard.mu.Lock()
		if len(r.pendingRecords) == 0 {
			r.committing = false
			r.shard.mu.Unlock()
			return
		}
		pending := r.pendingRecords[0]
		r.shard.mu.Unlock()
		position, err := h.config.Journal.Commit(h.ctx, pending.record)
		h.finishCommit(r, pending, position, err)
	}
}

// finishCommit removes the first queued record after its commit. When the
// commit failed, the later records fail too, because each names its
// predecessor, and the program is dropped.
func (h *Home) finishCommit(r *residentProgram, pending *pendingRecord, position history.Position, err error) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.pendingRecords = r.pendingRecords[1:]
	if err == nil {
		r.lastPosition = position
		close(pending.done)
		return
	}
	h.failRecordLocked(pending, err)
	for _, later := range r.pendingRecords {
		h.failRecordLocked(later, err)
	}
	r.pendingRecords = nil
	h.dropLostLocked(r)
}

// failRecordLocked ends the wait for a record with an error.
func (h *Home) failRecordLocked(pending *pendingRecord, err error) {
	pending.err = err
	close(pending.done)
}

// dropLostLocked drops a program that another home has taken over or whose
// record could not be committed, and cancels its running call.
func (h *Home) dropLostLocked(r *residentProgram) {
	r.lost = true
	if r.cancelCall != nil {
		r.cancelCall()
	}
	if r.shard.residents[r.id] == r {
		delete(r.shard.residents, r.id)
		h.scheduler.endProgram(r.id, false)
		h.releaseCache(r.id)
	}
	r.notifyLocked()
	h.metrics.lost.Add(1)
}

// committed reports whether the record is in the journal.
func (r *pendingRecord) committed() bool {
	select {
	case <-r.done:
		return r.err == nil
	default:
		return false
	}
}

// wait blocks until the record is committed or has failed. When the timeout
// expires or ctx ends first, it returns an error of history.KindUnavailable and
// the commit continues.
func (r *pendingRecord) wait(ctx context.Context, timeout time.Duration) error {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-r.done:
		return r.err
	case <-t.C:
		return history.Errorf("wait for record", history.KindUnavailable, "record is not committed after %v", timeout)
	case <-ctx.Done():
		return history.Errorf("wait for record", history.KindUnavailable, "%w", ctx.Err())
	}
}
