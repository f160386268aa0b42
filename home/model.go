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

// model runs a model call at the engine, in several parts when it has to give
// its slot to urgent calls.
func (u *run) model(ctx context.Context) (Result, error) {
	w := u.home.scheduler.arrive(u.resident.program.ID(), u.scheduleCall())
	if w == nil {
		u.abort(0)
		return Result{}, moved("queue call", u.resident.program.ID())
	}
	for {
		if err := u.home.scheduler.wait(ctx, w); err != nil {
			u.abort(u.charge())
			return Result{}, program.NewError(program.ErrorConfig{Op: "wait for engine", Kind: program.KindCanceled, Outcome: u.untouched(), Err: err})
		}
		u.queued = u.home.scheduler.queued(w)
		u.home.makeRoom()
		completion, gaveWay, err := u.part(ctx, w)
		switch {
		case gaveWay:
			u.home.metrics.preempted.Add(1)
			u.resumed = u.transcript.generated()
			u.home.scheduler.requeue(w, u.reservation.PromptTokens()+u.transcript.generated(), u.rest())
		case err != nil:
			u.home.scheduler.abandon(w)
			return Result{}, u.failModel(err)
		default:
			return u.answerModel(ctx, w, completion)
		}
	}
}

// part generates until the answer ends, or the call has to yield its slot.
func (u *run) part(ctx context.Context, w *waiter) (Completion, bool, error) {
	part, cancel := context.WithCancel(ctx)
	defer cancel()
	finished := make(chan struct{})
	reason := make(chan stopReason, 1)
	go func() {
		stopped := u.watch(w, finished)
		if stopped != notStopped {
			cancel()
		}
		reason <- stopped
	}()
	completion, err := u.home.config.Engine.Complete(part, u.prompt(w), u.transcript.write)
	close(finished)
	stopped := <-reason
	if err != nil && stopped == silent {
		err = program.NewError(program.ErrorConfig{
			Op: "call engine", Kind: program.KindTimeout, Outcome: program.InDoubt,
			Err: fmt.Errorf("engine sent nothing for %v", engineSilence),
		})
	}
	return completion, stopped == yielded && err != nil && ctx.Err() == nil && u.rest() > 0, err
}

// stopReason tells why a part of a call was stopped.
type stopReason uint8

const (
	notStopped stopReason = iota
	// yielded means that an urgent call needs the slot.
	yielded
	// silent means that the engine has sent nothing for too long.
	silent
)

// watch waits for a reason to stop a part of a call, or for its end.
func (u *run) watch(w *waiter, finished <-chan struct{}) stopReason {
	t := time.NewTicker(engineSilence)
	defer t.Stop()
	before := int64(-1)
	for {
		select {
		case <-w.yield:
			return yielded
		case <-finished:
			return notStopped
		case <-t.C:
			now := u.transcript.generated()
			if now == before {
				return silent
			}
			before = now
		}
	}
}

func (u *run) answerModel(ctx context.Context, w *waiter, completion Completion) (Result, error) {
	call := u.reservation.Call()
	usage := u.wholeUsage(completion.Usage())
	a := program.NewAnswer(program.AnswerConfig{
		Call: call, Text: u.transcript.String(), Usage: usage, FinishReason: completion.Stop(),
		Timing: u.timing(), Endpoint: u.home.config.Name,
	})
	u.home.scheduler.done(w, schedule.Answer{
		Prompt: usage.PromptTokens(), Cached: usage.CachedTokens(), Output: usage.OutputTokens(), Between: between(a),
	})
	if u.alone {
		u.survived()
	}
	u.home.prefill.observe(a)
	return u.complete(ctx, a, history.Turn(call.Messages(), a))
}

// wholeUsage returns the usage of a call whose last part began after some
// tokens: the engine counts those as part of the prompt.
func (u *run) wholeUsage(last program.Usage) program.Usage {
	return program.NewUsage(program.UsageConfig{
		PromptTokens: max(0, last.PromptTokens()-u.resumed), CachedTokens: max(0, last.CachedTokens()-u.resumed), OutputTokens: last.OutputTokens() + u.resumed,
	})
}

// between returns the mean time between the tokens of an answer.
func between(a program.Answer) time.Duration {
	if a.Usage().OutputTokens() < 2 {
		return 0
	}
	return (a.Timing().Total - a.Timing().FirstToken) / time.Duration(a.Usage().OutputTokens()-1)
}

// rest returns what the call may still generate, in tokens.
func (u *run) rest() int64 { return u.reservation.OutputTokens() - u.transcript.generated() }

// charge returns what the engine may have done for the call so far, in tokens.
func (u *run) charge() int64 {
	if u.transcript.generated() == 0 {
		return 0
	}
	return u.reservation.PromptTokens() + u.transcript.emitted()
}

// untouched tells what became of a call that ends while it waits.
func (u *run) untouched() program.Outcome {
	if u.transcript.generated() == 0 {
		return program.NotRun
	}
	return program.InDoubt
}

// failModel charges what the engine may have done and returns the error.
func (u *run) failModel(err error) error {
	e := program.AsError(err)
	if e.Outcome() == program.NotRun && u.transcript.generated() == 0 {
		u.abort(0)
		return e
	}
	retry := unavailableRetry
	if e.Kind() == program.KindUnavailable {
		retry = crashRetry
		u.crashed()
	}
	u.abort(u.reservation.PromptTokens() + u.transcript.emitted())
	return program.NewError(program.ErrorConfig{
		Op: "run model", Kind: e.Kind(), Outcome: program.InDoubt, RetryAfter: retry, Err: err,
	})
}

func (u *run) scheduleCall() schedule.Call {
	u.alone = u.suspect()
	return schedule.Call{
		Alone: u.alone, First: u.reservation.Call().Number() == 1, Prompt: u.reservation.PromptTokens(), Output: u.reservation.OutputTokens(),
	}
}

func (u *run) prompt(w *waiter) Prompt {
	priority := u.home.scheduler.priority(w)
	r := u.resident
	r.shard.mu.Lock()
	defer r.shard.mu.Unlock()
	history := r.program.History()
	call := u.reservation.Call()
	messages := make([]program.Message, 0, len(history)+len(call.Messages()))
	messages = append(messages, history...)
	messages = append(messages, call.Messages()...)
	return NewPrompt(PromptConfig{
		Program: r.program.ID(), Model: r.class.Model(), Messages: messages, MaxTokens: u.rest(), Rank: priority,
		Resume: u.transcript.String(),
	})
}

// makeRoom tells the engine which programs to forget.
func (h *Home) makeRoom() {
	for _, id := range h.scheduler.evict() {
		h.metrics.evicted.Add(1)
		h.release(id)
	}
}

// release tells the engine to forget a program.
func (h *Home) release(id program.ID) {
	h.work.spawn(func() {
		ctx, cancel := context.WithTimeout(h.ctx, releaseTimeout)
		defer cancel()
		if err := h.config.Engine.Release(ctx, id); err != nil {
			h.config.Log.Warn("engine did not release a program", zap.Stringer("program", id), zap.Error(err))
		}
	})
}
