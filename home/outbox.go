package home

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

var errClosed = history.Errorf("write record", history.KindUnknown, "home is closed")

// writeLocked writes what happened to a program into its journal.
func (h *Home) writeLocked(r *resident, epoch uint64, b history.Body) *entry {
	record := history.NewRecord(history.RecordConfig{
		ID: history.NewRecordID(), Program: r.program.ID(), Epoch: epoch, Previous: r.last,
		PreviousPosition: r.position, Home: h.config.Name, Time: time.Now(), Body: b,
	})
	r.last = record.ID()
	return h.queueLocked(r, record)
}

// queueLocked queues a record behind the earlier ones of its program.
func (h *Home) queueLocked(r *resident, record history.Record) *entry {
	e := &entry{record: record, done: make(chan struct{})}
	r.outbox = append(r.outbox, e)
	if !r.writing {
		r.writing = h.work.spawn(func() { h.drain(r) })
	}
	if !r.writing {
		// The record stays in the outbox, so that the handle carries it.
		h.failLocked(e, errClosed)
	}
	return e
}

// drain commits the queued records of a program one after the other.
func (h *Home) drain(r *resident) {
	for {
		r.shard.mu.Lock()
		if len(r.outbox) == 0 {
			r.writing = false
			r.shard.mu.Unlock()
			return
		}
		e := r.outbox[0]
		r.shard.mu.Unlock()
		position, err := h.config.Journal.Commit(h.ctx, e.record)
		h.committed(r, e, position, err)
	}
}

// committed books the fate of the first queued record.
func (h *Home) committed(r *resident, e *entry, position history.Position, err error) {
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	r.outbox = r.outbox[1:]
	if err == nil {
		r.position = position
		close(e.done)
		return
	}
	h.failLocked(e, err)
	for _, later := range r.outbox {
		h.failLocked(later, err)
	}
	r.outbox = nil
	h.loseLocked(r)
}

func (h *Home) failLocked(e *entry, err error) {
	e.err = err
	close(e.done)
}

// loseLocked gives up a program that another home has adopted.
func (h *Home) loseLocked(r *resident) {
	r.lost = true
	if r.stop != nil {
		r.stop()
	}
	if r.shard.residents[r.program.ID()] == r {
		delete(r.shard.residents, r.program.ID())
		h.scheduler.end(r.program.ID(), false)
		h.release(r.program.ID())
	}
	r.notifyLocked()
	h.metrics.lost.Add(1)
}

// wait waits for a record to be in the journal, at most for a time.
func (e *entry) wait(ctx context.Context, limit time.Duration) error {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-e.done:
		return e.err
	case <-t.C:
		return history.Errorf("wait for record", history.KindUnavailable, "journal took longer than %v", limit)
	case <-ctx.Done():
		return history.Errorf("wait for record", history.KindUnavailable, "%w", ctx.Err())
	}
}

// moved says that another home holds the program: whether the call ran there
// is not known here.
func moved(op string, id program.ID) error {
	return elsewhere(op, program.KindMoved, "", fmt.Errorf("program %s has another home", id))
}

// elsewhere returns a refusal of a home that does not hold the program, and so
// can't tell what became of the call.
func elsewhere(op string, kind program.Kind, at string, err error) error {
	return program.NewError(program.ErrorConfig{
		Op: op, Kind: kind, Outcome: program.InDoubt, RetryAfter: retryAfter(kind), Home: at, Err: err,
	})
}
