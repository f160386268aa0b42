package home

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/schedule"
)

// runModel runs a model call on the engine. When urgent calls need its slot,
// the call stops, queues again and continues from the text generated so far.
func (x *execution) runModel(ctx context.Context) (CallResult, error) {
	w := x.home.scheduler.enqueue(x.resident.id, x.scheduleCall())
	if w == nil {
		x.abort(0)
		return CallResult{}, movedError("queue call", x.resident.id)
	}
	for {
		if err := x.home.scheduler.waitForSlot(ctx, w); err != nil {
			x.abort(x.chargeableTokens())
			return CallResult{}, program.NewError(program.ErrorConfig{Op: "wait for engine", Kind: program.KindCanceled, Outcome: x.outcomeWhileQueued(), Err: err})
		}
		x.queueTime = x.home.scheduler.queueTime(w)
		x.home.releaseEvicted()
		completion, preempted, err := x.generatePart(ctx, w)
		switch {
		case preempted:
			x.home.metrics.preempted.Add(1)
			x.resumedTokens = x.transcript.generatedTokens()
			x.home.scheduler.requeue(w, x.reservation.PromptTokens()+x.transcript.generatedTokens(), x.remainingTokens())
		case err != nil:
			x.home.scheduler.remove(w)
			return CallResult{}, x.failModel(err)
		default:
			return x.completeModel(ctx, w, completion)
		}
	}
}

// generatePart sends one request to the engine and waits until the answer ends
// or the request is interrupted. The bool result is set when the call was
// preempted with tokens left to generate.
func (x *execution) generatePart(ctx context.Context, w *waiter) (Completion, bool, error) {
	partCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	reasons := make(chan interruptReason, 1)
	go func() {
		reason := x.waitForInterrupt(w, done)
		if reason != notInterrupted {
			cancel()
		}
		reasons <- reason
	}()
	completion, err := x.home.config.Engine.Complete(partCtx, x.newPrompt(w), x.transcript.write)
	close(done)
	reason := <-reasons
	if err != nil && reason == interruptStalled {
		err = program.NewError(program.ErrorConfig{
			Op: "call engine", Kind: program.KindTimeout, Outcome: program.InDoubt,
			Err: fmt.Errorf("engine sent no text for %v", engineIdleTimeout),
		})
	}
	return completion, reason == interruptPreempted && err != nil && ctx.Err() == nil && x.remainingTokens() > 0, err
}

// interruptReason tells why a request to the engine was stopped early.
type interruptReason uint8

const (
	notInterrupted interruptReason = iota
	// interruptPreempted means that an urgent call needs the slot.
	interruptPreempted
	// interruptStalled means that the engine sent no text for
	// engineIdleTimeout.
	interruptStalled
)

// waitForInterrupt blocks until there is a reason to stop the request, or until
// done is closed.
func (x *execution) waitForInterrupt(w *waiter, done <-chan struct{}) interruptReason {
	t := time.NewTicker(engineIdleTimeout)
	defer t.Stop()
	lastCount := int64(-1)
	for {
		select {
		case <-w.preempt:
			return interruptPreempted
		case <-done:
			return notInterrupted
		case <-t.C:
			count := x.transcript.generatedTokens()
			if count == lastCount {
				return interruptStalled
			}
			lastCount = count
		}
	}
}

// completeModel frees the slot of a finished model call, updates the estimates
// and completes the call.
func (x *execution) completeModel(ctx context.Context, w *waiter, completion Completion) (CallResult, error) {
	call := x.reservation.Call()
	usage := x.totalUsage(completion.Usage())
	a := program.NewAnswer(program.AnswerConfig{
		Call: call, Text: x.transcript.String(), Usage: usage, FinishReason: completion.StopReason(),
		Timing: x.timing(), Endpoint: x.home.config.Name,
	})
	x.home.scheduler.finish(w, schedule.Completion{
		PromptTokens: usage.PromptTokens(), CachedTokens: usage.CachedTokens(), OutputTokens: usage.OutputTokens(), InterTokenLatency: meanTokenInterval(a),
	})
	if x.exclusive {
		x.reportCleared()
	}
	x.home.prefill.observe(a)
	return x.complete(ctx, a, history.Turn(call.Messages(), a))
}

// totalUsage returns the usage of the whole call from that of its last request:
// the engine counts the tokens generated before as part of the prompt.
func (x *execution) totalUsage(last program.Usage) program.Usage {
	return program.NewUsage(program.UsageConfig{
		PromptTokens: max(0, last.PromptTokens()-x.resumedTokens), CachedTokens: max(0, last.CachedTokens()-x.resumedTokens), OutputTokens: last.OutputTokens() + x.resumedTokens,
	})
}

// meanTokenInterval returns the mean time between the tokens of an answer, 0
// for fewer than two tokens.
func meanTokenInterval(a program.Answer) time.Duration {
	if a.Usage().OutputTokens() < 2 {
		return 0
	}
	return (a.Timing().Total - a.Timing().FirstToken) / time.Duration(a.Usage().OutputTokens()-1)
}

// remainingTokens returns how many tokens the call may still generate.
func (x *execution) remainingTokens() int64 {
	return x.reservation.OutputTokens() - x.transcript.generatedTokens()
}

// chargeableTokens returns an upper bound of the tokens that the engine has
// processed for the call: a token is at least one byte of text.
func (x *execution) chargeableTokens() int64 {
	if x.transcript.generatedTokens() == 0 {
		return 0
	}
	return x.reservation.PromptTokens() + x.transcript.textBytes()
}

// outcomeWhileQueued returns the outcome of a call that is canceled while it
// waits for a slot, which may be after a preemption.
func (x *execution) outcomeWhileQueued() program.Outcome {
	if x.transcript.generatedTokens() == 0 {
		return program.NotRun
	}
	return program.InDoubt
}

// failModel ends the call after an error of the engine, charges what the engine
// may have processed and returns the error for the caller. An error of
// program.KindUnavailable is reported as a crash, unless the engine did not get
// the request.
func (x *execution) failModel(err error) error {
	e := program.AsError(err)
	if e.Outcome() == program.NotRun && x.transcript.generatedTokens() == 0 {
		x.abort(0)
		return e
	}
	retry := unavailableRetryDelay
	if e.Kind() == program.KindUnavailable && e.Outcome() != program.NotRun {
		retry = crashRetryDelay
		x.reportCrash()
	}
	x.abort(x.reservation.PromptTokens() + x.transcript.textBytes())
	return program.NewError(program.ErrorConfig{
		Op: "run model", Kind: e.Kind(), Outcome: program.InDoubt, RetryAfter: retry, Err: err,
	})
}

// scheduleCall describes the call to the scheduler.
func (x *execution) scheduleCall() schedule.Call {
	x.exclusive = x.isSuspect()
	return schedule.Call{
		Exclusive: x.exclusive, First: x.reservation.Call().Number() == 1, PromptTokens: x.reservation.PromptTokens(), MaxOutputTokens: x.reservation.OutputTokens(),
	}
}

// newPrompt returns the next request to the engine, which continues the text
// generated so far.
func (x *execution) newPrompt(w *waiter) Prompt {
	priority := x.home.scheduler.priority(w)
	r := x.resident
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	previous := r.program.History()
	call := x.reservation.Call()
	messages := make([]program.Message, 0, len(previous)+len(call.Messages()))
	messages = append(messages, previous...)
	messages = append(messages, call.Messages()...)
	return NewPrompt(PromptConfig{
		Program: r.id, Model: r.class.Model(), Messages: messages, MaxTokens: x.remainingTokens(), Rank: priority,
		ResumeFrom: x.transcript.String(),
	})
}

// releaseEvicted makes the engine free the caches that the scheduler has
// evicted.
func (h *Home) releaseEvicted() {
	for _, id := range h.scheduler.expiredCaches() {
		h.metrics.evicted.Add(1)
		h.releaseCache(id)
	}
}

// releaseCache makes the engine free the cache of a program, in the background.
func (h *Home) releaseCache(id program.ID) {
	h.goroutines.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, releaseTimeout)
		defer cancel()
		if err := h.config.Engine.Release(ctx, id); err != nil {
			h.config.Logger.Warn("engine did not free the cache of a program", zap.Stringer("program", id), zap.Error(err))
		}
	})
}
