package home

import (
	"context"
	"fmt"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// unavailableRetry is the wait advised when something does not answer.
	unavailableRetry = 500 * time.Millisecond
)

// Call runs a call of a program, or joins or repeats it, and streams its text.
func (h *Home) Call(ctx context.Context, handle program.Handle, call program.Call, sink Sink) (Result, error) {
	arrived := time.Now()
	for {
		r, err := h.reside(ctx, handle)
		if err != nil {
			return Result{}, err
		}
		result, again, err := h.attempt(ctx, r, handle, call, sink, arrived)
		if !again {
			return result, err
		}
	}
}

// attempt acts on the decision about a call; again is set when the program
// has moved on and the decision is to be taken anew.
func (h *Home) attempt(ctx context.Context, r *resident, handle program.Handle, call program.Call, sink Sink, arrived time.Time) (result Result, again bool, err error) {
	r.shard.mu.Lock()
	if r.lost {
		r.shard.mu.Unlock()
		return Result{}, false, moved("call", handle.Program())
	}
	if err := h.verifyLocked(r, handle); err != nil {
		r.shard.mu.Unlock()
		return Result{}, false, err
	}
	if err := h.checkCrashes(r, call); err != nil {
		r.shard.mu.Unlock()
		h.metrics.refuse(err)
		return Result{}, false, err
	}
	decision, reservation, err := h.decideLocked(r, call)
	if err != nil {
		r.shard.mu.Unlock()
		h.metrics.refuse(err)
		return Result{}, false, err
	}
	r.touched = arrived
	switch decision {
	case program.DecisionWait:
		changed := r.changed
		r.shard.mu.Unlock()
		err := waitChange(ctx, changed)
		return Result{}, err == nil, err
	case program.DecisionReplay:
		result = h.replayLocked(r)
		r.shard.mu.Unlock()
		return result, false, h.replay(result, sink)
	case program.DecisionRun, program.DecisionRecover:
		h.beginLocked(r, reservation, decision, arrived)
	}
	t := r.transcript
	r.shard.mu.Unlock()
	result, err = t.follow(ctx, sink)
	return result, false, err
}

// decideLocked decides on a call; an endpoint that is leaving begins none.
func (h *Home) decideLocked(r *resident, call program.Call) (program.Decision, *program.Reservation, error) {
	if !h.Leaving() {
		return r.program.Begin(call)
	}
	decision, err := r.program.DecideByNumber(call)
	if err != nil || (decision != program.DecisionRun && decision != program.DecisionRecover) {
		return decision, nil, err
	}
	leaving := fmt.Errorf("endpoint %s begins no more calls", h.config.Name)
	if r.program.PendingClaim() != nil {
		return decision, nil, elsewhere("begin call", program.KindLeaving, "", leaving)
	}
	return decision, nil, program.Errorf("begin call", program.KindLeaving, "%w", leaving)
}

// waitChange waits for a program to move on; an end of ctx ends the wait.
func waitChange(ctx context.Context, changed <-chan struct{}) error {
	t := time.NewTimer(aheadWait)
	defer t.Stop()
	select {
	case <-changed:
		return nil
	case <-t.C:
		return elsewhere("wait for earlier call", program.KindConflict, "", fmt.Errorf("the call before did not come in %v", aheadWait))
	case <-ctx.Done():
		return program.NewError(program.ErrorConfig{
			Op: "wait for earlier call", Kind: program.KindCanceled, Outcome: program.NotRun, Err: ctx.Err(),
		})
	}
}

// beginLocked starts a call on a goroutine of its own, so that it goes on when
// the one who asked for it is gone.
func (h *Home) beginLocked(r *resident, reservation *program.Reservation, decision program.Decision, arrived time.Time) {
	ctx, cancel := context.WithCancel(h.ctx)
	r.stop = cancel
	received := reservation.ReceivedTokens()
	r.transcript = newTranscript(reservation.Call().ReceivedText(), received)
	run := &run{home: h, resident: r, reservation: reservation, transcript: r.transcript, arrived: arrived, resumed: received}
	begun := h.work.spawn(func() {
		defer cancel()
		run.do(ctx, decision)
	})
	if !begun {
		cancel()
		r.program.Abort(reservation.Call().Number(), 0)
		r.transcript.finish(Result{}, elsewhere("begin call", program.KindLeaving, "", errClosed))
	}
}

func (h *Home) replayLocked(r *resident) Result {
	budget := r.program.Budget()
	return NewResult(h.handleLocked(r), *r.program.LastAnswer(), budget.Left(), true)
}

func (h *Home) replay(result Result, sink Sink) error {
	h.metrics.replayed.Add(1)
	a := result.Answer()
	if a.InDoubt() {
		return inDoubt(a.Number())
	}
	if a.Text() == "" {
		return nil
	}
	return sink([]byte(a.Text()))
}

func inDoubt(number uint32) error {
	return program.NewError(program.ErrorConfig{
		Op: "settle order", Kind: program.KindInDoubt, Outcome: program.InDoubt,
		Err: fmt.Errorf("whether order %d ran will not be known", number),
	})
}

func retryAfter(kind program.Kind) time.Duration {
	if kind == program.KindUnavailable {
		return unavailableRetry
	}
	return 0
}
