package schedule

import (
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/queue"
)

// Enqueue adds a call of a registered program to the queue at the time now. It
// returns nil when the program is not registered.
func (s *Schedule) Enqueue(id program.ID, c Call, now time.Time) *Ticket {
	state, ok := s.programs[id]
	if !ok {
		return nil
	}
	if state.enqueuedCalls > 0 {
		state.totalPauses += now.Sub(state.idleSince)
	}
	state.enqueuedCalls++
	t := &Ticket{programID: id, program: state, call: c, arrivedAt: now}
	s.pushItem(t, now)
	return t
}

// pushItem queues a call that holds no slot; its place in the order is computed anew.
func (s *Schedule) pushItem(t *Ticket, now time.Time) {
	t.item = queue.NewItem(s.itemConfig(t, now), t)
	t.running = false
	s.slots.Queue().Push(t.item)
}

// itemConfig returns the properties that the queue orders the call by, without those of
// the mechanisms that the policy turns off.
func (s *Schedule) itemConfig(t *Ticket, now time.Time) queue.ItemConfig {
	state := t.program
	c := queue.ItemConfig{
		Rank: state.class.Rank(), FirstCall: t.call.First, StartedAt: state.startedAt, Target: state.class.Target(), AttainedService: state.attainedService,
		Cost:         max(0, t.call.PromptTokens-s.cacheIndex.CachedTokens(t.programID)) + outputWeight*t.call.MaxOutputTokens,
		MemoryTokens: t.call.PromptTokens + t.call.MaxOutputTokens, NonPreemptible: t.preempted, Exclusive: t.call.Exclusive,
	}
	c.RemainingService, c.HasEstimate = s.statsOf(state.class).service.Remaining(state.attainedService)
	if s.config.Policy.NoRank {
		c.Rank = class.Urgent
	}
	if s.config.Policy.NoRunningFirst {
		c.FirstCall = false
	}
	if s.config.Policy.NoSlack {
		c.FirstCall, c.HasEstimate, c.StartedAt, c.AttainedService = false, false, t.arrivedAt, 0
	}
	return c
}

// StartNext gives a slot to the next call in order and returns it, or returns nil
// when no call may start now.
func (s *Schedule) StartNext(now time.Time) *Ticket {
	i := s.slots.StartNext()
	if i == nil {
		return nil
	}
	t := i.Value()
	t.slotGrantedAt = now
	t.running = true
	s.cacheIndex.StartCall(t.programID, t.call.PromptTokens+t.call.MaxOutputTokens)
	return t
}

// Victim returns the running call that should be preempted for a waiting urgent
// call, or nil when there is none. It changes nothing: the caller stops the call at
// the engine and then calls Requeue.
func (s *Schedule) Victim() *Ticket {
	if s.config.Policy.NoPreempt {
		return nil
	}
	i := s.slots.Victim()
	if i == nil {
		return nil
	}
	return i.Value()
}

// Requeue puts a preempted call back into the queue. The call continues from the
// tokens that it has generated: promptTokens includes them, and maxOutputTokens is
// what it may still generate.
func (s *Schedule) Requeue(t *Ticket, promptTokens, maxOutputTokens int64, now time.Time) {
	s.releaseSlot(t, now)
	t.call.PromptTokens = promptTokens
	t.call.MaxOutputTokens = maxOutputTokens
	t.call.First = false
	t.preempted = true
	s.pushItem(t, now)
}

// releaseSlot frees the slot of a running call and adds the time that it held the
// slot to its service.
func (s *Schedule) releaseSlot(t *Ticket, now time.Time) {
	served := now.Sub(t.slotGrantedAt)
	t.service += served
	t.running = false
	s.slots.Release(t.item)
	s.admission.RecordUsage(t.program.class.Rank(), served, now)
}

// Cancel removes a call, whether it waits or runs.
func (s *Schedule) Cancel(t *Ticket, now time.Time) {
	s.cacheIndex.MarkIdle(t.programID, now)
	if t.running {
		s.releaseSlot(t, now)
	} else {
		s.slots.Queue().Remove(t.item)
	}
	s.recordCallEnd(t, now)
}

// recordCallEnd adds the service of an ended call to its program and updates the
// service that the program is expected to need.
func (s *Schedule) recordCallEnd(t *Ticket, now time.Time) {
	state := t.program
	state.attainedService += t.service
	state.idleSince = now
	remaining, _ := s.statsOf(state.class).service.Remaining(state.attainedService)
	if _, ok := s.programs[t.programID]; ok {
		s.admission.AdjustRemaining(state.class.Rank(), state.remainingService, remaining)
		state.remainingService = remaining
	}
}

// Complete frees the slot of an answered call and updates the estimates with its result.
func (s *Schedule) Complete(t *Ticket, completion Completion, now time.Time) {
	full := s.slots.Full()
	s.releaseSlot(t, now)
	s.recordCallEnd(t, now)
	s.limit.Observe(completion.InterTokenLatency, full, now)
	s.latencyObservedAt = now
	s.cacheIndex.LowerTo(t.programID, completion.CachedTokens)
	stats := s.statsOf(t.program.class)
	stats.observeLatency(s.limit.InterTokenLatency())
	s.setContextTokens(t.program, completion.PromptTokens+completion.OutputTokens)
	s.cacheIndex.FinishCall(t.programID, completion.PromptTokens+completion.OutputTokens, now)
}
