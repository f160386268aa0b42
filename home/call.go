package home

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

// CallResult is what Call returns for an answered call.
type CallResult struct {
	handle     program.Handle
	answer     program.Answer
	budgetLeft int64
	replayed   bool
}

// NewCallResult returns a CallResult. budgetLeft is in tokens; replayed is set
// for an answer to an earlier run of the same call.
func NewCallResult(h program.Handle, a program.Answer, budgetLeft int64, replayed bool) CallResult {
	return CallResult{handle: h, answer: a, budgetLeft: budgetLeft, replayed: replayed}
}

// Handle returns the handle to pass with the next call.
func (r CallResult) Handle() program.Handle { return r.handle }

// Answer returns the whole answer, including the text that was streamed.
func (r CallResult) Answer() program.Answer { return r.answer }

// BudgetLeft returns the tokens that the program may still spend.
func (r CallResult) BudgetLeft() int64 { return r.budgetLeft }

// Replayed reports whether the answer is that of an earlier run of the call.
func (r CallResult) Replayed() bool { return r.replayed }

// Call runs a call of a program and streams its text to sink. A repeat of a
// running call joins it, a repeat of the latest answered call replays its
// answer, and a call with a later number waits for its predecessors. The call
// continues when ctx ends.
//
// Errors are of type *program.Error, among them KindMoved when another home
// owns the program and KindLeaving when this home starts no more calls.
func (h *Home) Call(ctx context.Context, handle program.Handle, call program.Call, sink Sink) (CallResult, error) {
	arrivedAt := time.Now()
	for {
		r, err := h.findOrTakeOver(ctx, handle)
		if err != nil {
			return CallResult{}, err
		}
		result, retry, err := h.tryCall(ctx, r, handle, call, sink, arrivedAt)
		if !retry {
			return result, err
		}
	}
}

// tryCall makes one decision about a call and acts on it. retry is set when the
// call had to wait and the program has made progress since, so that a new
// decision is needed.
func (h *Home) tryCall(ctx context.Context, r *residentProgram, handle program.Handle, call program.Call, sink Sink, arrivedAt time.Time) (result CallResult, retry bool, err error) {
	r.shard.mu.Lock()
	if r.lost {
		r.shard.mu.Unlock()
		return CallResult{}, false, movedError("call", handle.Program())
	}
	if err := h.verifyOrRebaseLocked(r, handle); err != nil {
		r.shard.mu.Unlock()
		return CallResult{}, false, err
	}
	if err := h.checkQuarantine(r, call); err != nil {
		r.shard.mu.Unlock()
		h.metrics.countRefusal(err)
		return CallResult{}, false, err
	}
	decision, reservation, err := h.decideLocked(r, call)
	if err != nil {
		r.shard.mu.Unlock()
		h.metrics.countRefusal(err)
		return CallResult{}, false, err
	}
	r.lastUsedAt = arrivedAt
	switch decision {
	case program.DecisionWait:
		changed := r.changed
		r.shard.mu.Unlock()
		err := waitForProgress(ctx, changed)
		return CallResult{}, err == nil, err
	case program.DecisionReplay:
		result = h.replayResultLocked(r)
		r.shard.mu.Unlock()
		return result, false, h.sendReplay(result, sink)
	case program.DecisionRun, program.DecisionRecover:
		h.beginCallLocked(r, reservation, decision, arrivedAt)
	}
	t := r.transcript
	r.shard.mu.Unlock()
	result, err = t.follow(ctx, sink)
	return result, false, err
}

// decideLocked decides what to do with a call. A leaving home replays answers
// and lets callers join running calls, but starts none.
func (h *Home) decideLocked(r *residentProgram, call program.Call) (program.Decision, *program.Reservation, error) {
	if !h.Leaving() {
		return r.program.Begin(call)
	}
	decision, err := r.program.DecideByNumber(call)
	if err != nil || (decision != program.DecisionRun && decision != program.DecisionRecover) {
		return decision, nil, err
	}
	leaving := fmt.Errorf("endpoint %s is leaving and starts no more calls", h.config.Name)
	if r.program.PendingClaim() != nil {
		return decision, nil, inDoubtRefusal("begin call", program.KindLeaving, "", leaving)
	}
	return decision, nil, program.Errorf("begin call", program.KindLeaving, "%w", leaving)
}

// waitForProgress waits until changed is closed, predecessorTimeout expires or
// ctx ends.
func waitForProgress(ctx context.Context, changed <-chan struct{}) error {
	t := time.NewTimer(predecessorTimeout)
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.C:
		return inDoubtRefusal("wait for earlier call", program.KindConflict, "", fmt.Errorf("no earlier call was answered within %v", predecessorTimeout))
	case <-ctx.Done():
		return program.NewError(program.ErrorConfig{
			Op: "wait for earlier call", Kind: program.KindCanceled, Outcome: program.NotRun, Err: ctx.Err(),
		})
	}
}

// beginCallLocked starts a reserved call in its own goroutine, so that it
// continues when its caller disconnects.
func (h *Home) beginCallLocked(r *residentProgram, reservation *program.Reservation, decision program.Decision, arrivedAt time.Time) {
	ctx, cancel := context.WithCancel(h.ctx)
	r.cancelCall = cancel
	received := reservation.ReceivedTokens()
	r.transcript = newTranscript(reservation.Call().ReceivedText(), received)
	exec := &execution{home: h, resident: r, reservation: reservation, transcript: r.transcript, arrivedAt: arrivedAt, resumedTokens: received}
	spawned := h.goroutines.spawn(func() {
		defer cancel()
		exec.run(ctx, decision)
	})
	if !spawned {
		cancel()
		r.program.Abort(reservation.Call().Number(), 0)
		r.transcript.finish(CallResult{}, inDoubtRefusal("begin call", program.KindLeaving, "", errClosed))
	}
}

// replayResultLocked returns the latest answer with the current handle.
func (h *Home) replayResultLocked(r *residentProgram) CallResult {
	budget := r.program.Budget()
	return NewCallResult(h.handleLocked(r), *r.program.LastAnswer(), budget.Left(), true)
}

// sendReplay sends the text of a replayed answer to sink, or returns an error
// for an order whose outcome stays in doubt.
func (h *Home) sendReplay(result CallResult, sink Sink) error {
	h.metrics.replayed.Add(1)
	a := result.Answer()
	if a.InDoubt() {
		return orderInDoubtError(a.Number())
	}
	if a.Text() == "" {
		return nil
	}
	return sink([]byte(a.Text()))
}
