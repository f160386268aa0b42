package bench

import (
	"time"

	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/schedule"
)

// endpoint is a simulated endpoint. It feeds the calls that a schedule selects
// to a simulated engine, as a home does.
type endpoint struct {
	name       string
	simulation *simulation
	engine     *simulatedEngine
	schedule   *schedule.Schedule
	// callsByTicket holds the calls that wait or run here.
	callsByTicket map[*schedule.Ticket]*activeCall
	// leaving is set while the endpoint takes no new programs.
	leaving bool
}

// activeCall is a call that waits or runs at an endpoint.
type activeCall struct {
	ticket *schedule.Ticket
	// stream is the current run at the engine; nil before the first one.
	stream       *stream
	promptTokens int64
	// outputTokens is the length of the complete answer.
	outputTokens int64
	// generatedTokens counts the answer tokens from runs that were preempted.
	generatedTokens int64
	// prefilledTokens counts the prompt tokens that the engine has computed in all runs.
	prefilledTokens int64
	// prefixTokens is the length of the system prompt that all programs of the
	// class share.
	prefixTokens int64
	className    string
	// startedAt is when the call first got a slot.
	startedAt time.Time
	// arrivedAt is when the call reached the endpoint.
	arrivedAt time.Time
	// firstTokenAt is when the first token was generated; zero until a run with a
	// token ends or is preempted.
	firstTokenAt time.Time
	onDone       func(call *activeCall)
}

func newEndpoint(sim *simulation, name string, c engineConfig) *endpoint {
	return &endpoint{
		name: name, simulation: sim, engine: newSimulatedEngine(sim.loop, c), callsByTicket: map[*schedule.Ticket]*activeCall{},
		schedule: schedule.New(schedule.Config{
			Classes: sim.workload.classes(), InitialSlots: sim.policy.initialSlots, CacheTokens: c.memoryTokens, Policy: sim.policy.schedule,
		}),
	}
}

// enqueue adds a call to the queue of the schedule; first is set for the first
// call of a program.
func (e *endpoint) enqueue(id program.ID, first bool, call *activeCall) {
	call.arrivedAt = e.simulation.loop.now
	call.ticket = e.schedule.Enqueue(id, schedule.Call{First: first, PromptTokens: call.promptTokens, MaxOutputTokens: call.outputTokens}, e.simulation.loop.now)
	e.callsByTicket[call.ticket] = call
	e.dispatch()
}

// dispatch starts every call that the schedule allows, and preempts background
// calls while urgent ones wait for their slots.
func (e *endpoint) dispatch() {
	now := e.simulation.loop.now
	for {
		for t := e.schedule.StartNext(now); t != nil; t = e.schedule.StartNext(now) {
			e.start(e.callsByTicket[t])
		}
		victim := e.schedule.Victim()
		if victim == nil || !e.preempt(e.callsByTicket[victim]) {
			return
		}
	}
}

// start submits a call to the engine. After a preemption the prompt includes the
// tokens generated so far.
func (e *endpoint) start(call *activeCall) {
	now := e.simulation.loop.now
	for _, id := range e.schedule.ExpireCaches(now) {
		e.engine.evict(id)
	}
	if call.startedAt.IsZero() {
		call.startedAt = now
	}
	call.stream = &stream{
		id: call.ticket.Program(), rank: call.ticket.EnginePriority(), promptTokens: call.promptTokens + call.generatedTokens, outputTokens: call.outputTokens - call.generatedTokens,
		prefixKey: call.className, prefixTokens: call.prefixTokens, onDone: func(s *stream) { e.finish(call, s) },
	}
	e.engine.submit(call.stream)
}

// preempt stops a running call and returns it to the queue. The tokens it has
// generated are kept and are not generated again. It returns false if the call
// is no longer at the engine.
func (e *endpoint) preempt(call *activeCall) bool {
	s := call.stream
	if !e.engine.cancel(s) {
		return false
	}
	call.recordRun(s)
	call.generatedTokens += s.generatedTokens
	e.simulation.result.preemptions++
	e.schedule.Requeue(call.ticket, call.promptTokens+call.generatedTokens, call.outputTokens-call.generatedTokens, e.simulation.loop.now)
	return true
}

// recordRun takes the prefilled tokens and the time of the first token from a run that
// has ended. Runs after the one that generated the first token do not change that time.
func (c *activeCall) recordRun(s *stream) {
	c.prefilledTokens += s.prefilledTokens
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = s.firstTokenAt
	}
}

// finish reports a completed call to the schedule, starts the calls that can use
// its slot and invokes onDone.
func (e *endpoint) finish(call *activeCall, s *stream) {
	now := e.simulation.loop.now
	call.recordRun(s)
	answer := schedule.Completion{PromptTokens: call.promptTokens, CachedTokens: s.cachedTokens, OutputTokens: call.outputTokens}
	if s.outputTokens > 1 && !s.firstTokenAt.IsZero() {
		answer.InterTokenLatency = now.Sub(s.firstTokenAt) / time.Duration(s.outputTokens-1)
	}
	delete(e.callsByTicket, call.ticket)
	e.schedule.Complete(call.ticket, answer, now)
	e.dispatch()
	call.onDone(call)
}

// load returns the load that the endpoint reports in its heartbeats.
func (e *endpoint) load() placement.Load {
	config := e.schedule.Load(e.simulation.loop.now)
	config.Leaving = e.leaving
	return placement.NewLoad(config)
}
