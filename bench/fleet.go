package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lavendervale/lavendervale/class"
	platformlog "github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
)

const (
	// reportInterval is the time between two heartbeats of an endpoint.
	reportInterval = 500 * time.Millisecond
	// maxStartTries bounds the endpoints asked to take a program.
	maxStartTries = 2
)

// fleet drives endpoints and places programs, as an entry does.
type fleet struct {
	loop      *loop
	workload  *workload
	scenario  scenario
	policy    policy
	endpoints []*endpoint
	byName    map[string]*endpoint
	loads     *placement.Table
	random    *rand.Rand
	turn      int
	subsets   [][]string
	result    *result
}

// run is one program under way.
type run struct {
	fleet   *fleet
	plan    *plan
	home    *endpoint
	started time.Time
	at      int
	history int64
	parent  func()
}

// simulate runs a workload through a scenario under a policy.
func simulate(w *workload, s scenario, p policy, seed uint64) *result {
	f := &fleet{
		loop: newLoop(), workload: w, scenario: s, policy: p, byName: map[string]*endpoint{},
		loads: placement.NewTable(), random: rand.New(rand.NewPCG(seed, 7)), result: newResult(w, s, p, seed),
	}
	for i := range w.engines {
		e := newEndpoint(f, fmt.Sprintf("model-%d", i+1), defaultEngine())
		f.endpoints = append(f.endpoints, e)
		f.byName[e.name] = e
		f.report(e)
	}
	f.share(p.entries)
	f.plan()
	for _, p := range s.programs(w, seed) {
		f.loop.after(p.arrival, func() { f.start(p) })
	}
	f.loop.runUntil(time.Unix(0, 0).Add(runTime + settleTime))
	f.result.close(f)
	return f.result
}

// plan schedules the faults of the scenario on the first endpoint.
func (f *fleet) plan() {
	e := f.endpoints[0]
	if f.scenario.slow > 0 {
		f.loop.after(faultFrom, func() { e.engine.config.slowdown = f.scenario.slow })
		f.loop.after(faultTo, func() { e.engine.config.slowdown = 1 })
	}
	if f.scenario.drain {
		f.loop.after(faultFrom, func() { e.leaving = true; f.send(e) })
		f.loop.after(faultTo, func() { e.leaving = false; f.send(e) })
	}
	f.loop.after(warmTime, f.result.warm(f))
	f.loop.after(runTime, f.result.cool(f))
}

// report sends the load of an endpoint, again and again.
func (f *fleet) report(e *endpoint) {
	f.send(e)
	f.loop.after(reportInterval, func() { f.report(e) })
}

// send carries the load of an endpoint to the entry.
func (f *fleet) send(e *endpoint) {
	load := e.load()
	f.loop.after(f.workload.hop, func() { f.loads.Update(e.name, load, f.loop.now) })
}

// usable returns the endpoints that take new work.
func (f *fleet) usable() []string {
	if len(f.subsets) > 0 {
		return f.usableOf(f.subsets[f.random.IntN(len(f.subsets))])
	}
	names := make([]string, 0, len(f.endpoints))
	for _, e := range f.endpoints {
		if !e.leaving {
			names = append(names, e.name)
		}
	}
	return names
}

// usableOf returns the endpoints of a subset that take new work.
func (f *fleet) usableOf(subset []string) []string {
	names := make([]string, 0, len(subset))
	for _, n := range subset {
		if !f.byName[n].leaving {
			names = append(names, n)
		}
	}
	return names
}

// share gives each entry the endpoints that it watches.
func (f *fleet) share(entries int) {
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	var list []platformlog.Instance
	for _, e := range f.endpoints {
		list = append(list, platformlog.NewInstance(platformlog.InstanceConfig{Name: e.name, Role: platformlog.EngineRole}))
	}
	for _, n := range names {
		var subset []string
		for _, i := range membership.Subset(n, names, list) {
			subset = append(subset, i.Name())
		}
		f.subsets = append(f.subsets, subset)
	}
}

// start places a program, or counts its refusal.
func (f *fleet) start(p *plan) {
	r := &run{fleet: f, plan: p, started: f.loop.now, history: p.history + f.prefix(p.class)}
	names := f.usable()
	for range maxStartTries {
		name, ok := f.place(names, p)
		if !ok {
			break
		}
		e := f.byName[name]
		f.result.asked++
		if d := e.schedule.Admit(p.id, p.class, f.loop.now); d.Admitted() || f.policy.schedule.NoAdmission {
			r.home = e
			f.result.admit(p)
			r.next()
			return
		}
		names = remove(names, name)
	}
	f.result.refuse(p)
}

func (f *fleet) place(names []string, p *plan) (string, bool) {
	if len(names) == 0 {
		return "", false
	}
	switch f.policy.placement {
	case placeRoundRobin:
		f.turn++
		return names[f.turn%len(names)], true
	case placeLeastLoaded:
		return f.leastBusy(names), true
	case placeRandomHome:
		return names[f.random.IntN(len(names))], true
	}
	w := placement.Request{Rank: p.class.Rank(), ExpectedService: expectedService, PromptTokens: p.history + f.prefix(p.class)}
	name, ok := f.loads.Choose(names, w, f.loop.now, f.random)
	f.loads.RecordPlacement(name, p.class.Rank(), expectedService)
	return name, ok
}

const (
	// expectedService stands for the service of a program that is not yet known.
	expectedService = 5 * time.Second
)

func (f *fleet) leastBusy(names []string) string {
	best := names[0]
	for _, n := range names[1:] {
		if len(f.byName[n].streams) < len(f.byName[best].streams) {
			best = n
		}
	}
	return best
}

func (f *fleet) prefix(c *class.Class) int64 {
	for _, s := range f.workload.shapes {
		if s.class == c {
			return s.prefix
		}
	}
	return 0
}

func remove(names []string, name string) []string {
	rest := make([]string, 0, len(names))
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// next sends the next call of a program, or ends it.
func (r *run) next() {
	f := r.fleet
	if r.at == len(r.plan.turns) {
		r.end()
		return
	}
	r.rehome()
	turn := r.plan.turns[r.at]
	fresh := turn.message
	if r.at == 0 {
		fresh += r.plan.history
	}
	t := &task{
		prompt: r.history + turn.message, output: turn.output, prefix: f.prefix(r.plan.class), class: r.plan.class.Name(),
		done: func(t *task) { r.answered(t, fresh) },
	}
	first := r.at == 0
	home := r.home
	f.loop.after(f.workload.hop+f.workload.client, func() { home.arrive(r.plan.id, first, t) })
}

// rehome moves a program whose policy places each call, or whose home is leaving.
func (r *run) rehome() {
	f := r.fleet
	each := f.policy.placement == placeRoundRobin || f.policy.placement == placeLeastLoaded
	if r.at == 0 || (!each && !r.home.leaving) {
		return
	}
	name, ok := f.place(f.usable(), r.plan)
	if !ok || f.byName[name] == r.home {
		return
	}
	to := f.byName[name]
	r.home.schedule.Unregister(r.plan.id, false, f.loop.now)
	if !each {
		r.home.engine.evict(r.plan.id)
		f.result.moves++
	}
	to.schedule.Register(r.plan.id, r.plan.class, r.started, 0, f.loop.now)
	r.home = to
}

// answered goes on after a call: a sub-agent, a pause, the next call.
func (r *run) answered(t *task, fresh int64) {
	f := r.fleet
	turn := r.plan.turns[r.at]
	r.history += turn.message + turn.output
	r.at++
	f.result.call(r, t, fresh)
	f.loop.after(f.workload.hop+f.workload.client, func() {
		if turn.agent == nil {
			f.loop.after(turn.pause, r.next)
			return
		}
		r.child(turn)
	})
}

// child runs a sub-agent and then goes on.
func (r *run) child(turn turnPlan) {
	f := r.fleet
	c := &run{fleet: f, plan: turn.agent, started: r.started, history: f.prefix(r.plan.class)}
	c.parent = func() { f.loop.after(turn.pause, r.next) }
	name, ok := f.place(f.usable(), c.plan)
	if !ok {
		name = r.home.name
	}
	c.home = f.byName[name]
	c.home.schedule.Register(c.plan.id, c.plan.class, r.started, 0, f.loop.now)
	c.next()
}

func (r *run) end() {
	r.home.schedule.Unregister(r.plan.id, r.parent == nil, r.fleet.loop.now)
	r.home.engine.evict(r.plan.id)
	if r.parent != nil {
		r.parent()
		return
	}
	r.fleet.result.finish(r)
}
