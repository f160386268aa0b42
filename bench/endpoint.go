package bench

import (
	"time"

	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/schedule"
)

// endpoint drives one schedule and one engine, as a home does.
type endpoint struct {
	name     string
	fleet    *fleet
	engine   *fakeEngine
	schedule *schedule.Schedule
	streams  map[*schedule.Ticket]*task
	leaving  bool
}

// task is a call under way at an endpoint.
type task struct {
	ticket *schedule.Ticket
	stream *stream
	prompt int64
	output int64
	made   int64
	cached int64
	prefix int64
	class  string
	begun  time.Time
	// arrived is when the call came to the endpoint.
	arrived time.Time
	first   time.Time
	done    func(t *task)
}

func newEndpoint(f *fleet, name string, c engineConfig) *endpoint {
	return &endpoint{
		name: name, fleet: f, engine: newFakeEngine(f.loop, c), streams: map[*schedule.Ticket]*task{},
		schedule: schedule.New(schedule.Config{
			Classes: f.workload.classes(), InitialSlots: f.policy.slots, CacheTokens: c.memory, Policy: f.policy.schedule,
		}),
	}
}

// arrive queues a call.
func (e *endpoint) arrive(id program.ID, first bool, t *task) {
	t.arrived = e.fleet.loop.now
	t.ticket = e.schedule.Enqueue(id, schedule.Call{First: first, PromptTokens: t.prompt, MaxOutputTokens: t.output}, e.fleet.loop.now)
	e.streams[t.ticket] = t
	e.dispatch()
}

// dispatch starts what may run, and gives slots of background calls to urgent ones.
func (e *endpoint) dispatch() {
	now := e.fleet.loop.now
	for {
		for t := e.schedule.StartNext(now); t != nil; t = e.schedule.StartNext(now) {
			e.start(e.streams[t])
		}
		victim := e.schedule.Victim()
		if victim == nil || !e.preempt(e.streams[victim]) {
			return
		}
	}
}

func (e *endpoint) start(t *task) {
	now := e.fleet.loop.now
	for _, id := range e.schedule.ExpireCaches(now) {
		e.engine.evict(id)
	}
	if t.begun.IsZero() {
		t.begun = now
	}
	t.stream = &stream{
		id: t.ticket.Program(), rank: t.ticket.EnginePriority(), prompt: t.prompt + t.made, output: t.output - t.made,
		shared: t.class, prefix: t.prefix, done: func(s *stream) { e.finish(t, s) },
	}
	e.engine.submit(t.stream)
}

// preempt stops a background call; its text so far is kept and paid for once.
// It returns false when the call has just ended.
func (e *endpoint) preempt(t *task) bool {
	s := t.stream
	if !e.engine.cancel(s) {
		return false
	}
	t.note(s)
	t.made += s.made
	e.fleet.result.preemptions++
	e.schedule.Requeue(t.ticket, t.prompt+t.made, t.output-t.made, e.fleet.loop.now)
	return true
}

// note takes over what a stream reports when it ends.
func (t *task) note(s *stream) {
	if t.first.IsZero() {
		t.first = s.first
		t.cached = s.cached
	}
}

func (e *endpoint) finish(t *task, s *stream) {
	now := e.fleet.loop.now
	t.note(s)
	answer := schedule.Completion{PromptTokens: t.prompt, CachedTokens: s.cached, OutputTokens: t.output}
	if s.output > 1 && !s.first.IsZero() {
		answer.InterTokenLatency = now.Sub(s.first) / time.Duration(s.output-1)
	}
	delete(e.streams, t.ticket)
	e.schedule.Complete(t.ticket, answer, now)
	e.dispatch()
	t.done(t)
}

func (e *endpoint) load() placement.Load {
	c := e.schedule.Load(e.fleet.loop.now)
	c.Leaving = e.leaving
	return placement.NewLoad(c)
}
