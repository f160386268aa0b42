package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
)

const (
	// heartbeatInterval is the time between two load reports of an endpoint.
	heartbeatInterval = 500 * time.Millisecond
	// maxStartAttempts is the number of endpoints that are asked to admit a program
	// before it is refused.
	maxStartAttempts = 2
)

// simulation runs a workload on a fleet of simulated endpoints in virtual time.
// It places programs with the code that entries use.
type simulation struct {
	loop            *eventLoop
	workload        *workload
	scenario        scenario
	policy          policy
	endpoints       []*endpoint
	endpointsByName map[string]*endpoint
	// loads holds the last load that each endpoint reported.
	loads  *placement.Table
	random *rand.Rand
	// roundRobinIndex counts the choices made by placeRoundRobin.
	roundRobinIndex int
	// entrySubsets holds the endpoints that each entry places programs on; empty if
	// one entry uses all of them.
	entrySubsets [][]string
	result       *result
}

// programRun is a program or sub-agent in progress.
type programRun struct {
	simulation *simulation
	plan       *programPlan
	home       *endpoint
	startedAt  time.Time
	// nextTurn is the index of the current or next turn in the plan.
	nextTurn int
	// historyTokens is the length of the context before the current turn, system
	// prompt included.
	historyTokens int64
	// resumeParent continues the parent of a sub-agent; nil for other programs.
	resumeParent func()
}

// simulate runs a workload in a scenario under a policy. Equal arguments give
// equal results.
func simulate(w *workload, s scenario, p policy, seed uint64) *result {
	sim := newSimulation(w, s, p, seed)
	sim.scheduleFaults()
	for _, p := range s.programs(w, seed) {
		sim.loop.after(p.arrivalOffset, func() { sim.startProgram(p) })
	}
	sim.loop.runUntil(time.Unix(0, 0).Add(arrivalTime + completionGracePeriod))
	sim.result.finalize(sim)
	return sim.result
}

// newSimulation returns a simulation of the fleet of a workload, without programs.
func newSimulation(w *workload, s scenario, p policy, seed uint64) *simulation {
	sim := &simulation{
		loop: newEventLoop(), workload: w, scenario: s, policy: p, endpointsByName: map[string]*endpoint{},
		loads: placement.NewTable(), random: rand.New(rand.NewPCG(seed, 7)), result: newResult(w, s, p, seed),
	}
	for i := range w.engines {
		e := newEndpoint(sim, fmt.Sprintf("model-%d", i+1), defaultEngine())
		sim.endpoints = append(sim.endpoints, e)
		sim.endpointsByName[e.name] = e
		sim.startHeartbeats(e)
	}
	sim.assignSubsets(p.entryCount)
	return sim
}

// scheduleFaults schedules the faults of the scenario, which affect the first
// endpoint, and the start and end of measuring.
func (sim *simulation) scheduleFaults() {
	e := sim.endpoints[0]
	if sim.scenario.slowFactor > 0 {
		sim.loop.after(faultStart, func() { e.engine.config.slowdown = sim.scenario.slowFactor })
		sim.loop.after(faultEnd, func() { e.engine.config.slowdown = 1 })
	}
	if sim.scenario.drain {
		sim.loop.after(faultStart, func() { e.leaving = true; sim.sendLoad(e) })
		sim.loop.after(faultEnd, func() { e.leaving = false; sim.sendLoad(e) })
	}
	sim.loop.after(warmUpTime, sim.result.startMeasuring(sim))
	sim.loop.after(arrivalTime, sim.result.stopMeasuring(sim))
}

// startHeartbeats reports the load of an endpoint now and at every interval.
func (sim *simulation) startHeartbeats(e *endpoint) {
	sim.sendLoad(e)
	sim.loop.after(heartbeatInterval, func() { sim.startHeartbeats(e) })
}

// sendLoad delivers the current load of an endpoint to the entry after the
// network latency.
func (sim *simulation) sendLoad(e *endpoint) {
	load := e.load()
	sim.loop.after(sim.workload.endpointLatency, func() { sim.loads.Update(e.name, load, sim.loop.now) })
}

// usableEndpoints returns the endpoints that accept new programs. If entries have
// subsets, it returns those of a random entry.
func (sim *simulation) usableEndpoints() []string {
	if len(sim.entrySubsets) > 0 {
		return sim.usableIn(sim.entrySubsets[sim.random.IntN(len(sim.entrySubsets))])
	}
	names := make([]string, 0, len(sim.endpoints))
	for _, e := range sim.endpoints {
		if !e.leaving {
			names = append(names, e.name)
		}
	}
	return names
}

// usableIn returns the endpoints of a subset that accept new programs.
func (sim *simulation) usableIn(subset []string) []string {
	names := make([]string, 0, len(subset))
	for _, n := range subset {
		if !sim.endpointsByName[n].leaving {
			names = append(names, n)
		}
	}
	return names
}

// assignSubsets determines the subset of endpoints that each entry places
// programs on.
func (sim *simulation) assignSubsets(entryCount int) {
	var entryNames []string
	for i := range entryCount {
		entryNames = append(entryNames, fmt.Sprintf("entry-%d", i))
	}
	var instances []fleet.Instance
	for _, e := range sim.endpoints {
		instances = append(instances, fleet.NewInstance(fleet.InstanceConfig{Name: e.name, Role: fleet.EngineRole}))
	}
	for _, entryName := range entryNames {
		var subset []string
		for _, instance := range membership.Subset(entryName, entryNames, instances) {
			subset = append(subset, instance.Name())
		}
		sim.entrySubsets = append(sim.entrySubsets, subset)
	}
}

// startProgram places a program on an endpoint that admits it, or records a
// refusal.
func (sim *simulation) startProgram(p *programPlan) {
	r := &programRun{simulation: sim, plan: p, startedAt: sim.loop.now, historyTokens: p.historyTokens + sim.prefixTokens(p.class)}
	candidates := sim.usableEndpoints()
	for range maxStartAttempts {
		name, ok := sim.chooseEndpoint(candidates, p)
		if !ok {
			break
		}
		e := sim.endpointsByName[name]
		sim.result.admissionRequests++
		if d := e.schedule.Admit(p.id, p.class, sim.loop.now); d.Admitted() || sim.policy.schedule.NoAdmission {
			r.home = e
			sim.result.recordAdmission(p)
			r.advance()
			return
		}
		candidates = removeName(candidates, name)
	}
	sim.result.recordRefusal(p)
}

// chooseEndpoint selects an endpoint by the placement of the policy. It returns
// false if there are no candidates.
func (sim *simulation) chooseEndpoint(candidates []string, p *programPlan) (string, bool) {
	if len(candidates) == 0 {
		return "", false
	}
	switch sim.policy.placement {
	case placeRoundRobin:
		sim.roundRobinIndex++
		return candidates[sim.roundRobinIndex%len(candidates)], true
	case placeLeastLoaded:
		return sim.fewestCalls(candidates), true
	case placeRandomHome:
		return candidates[sim.random.IntN(len(candidates))], true
	}
	w := placement.Request{Rank: p.class.Rank(), ExpectedService: expectedServiceTime, PromptTokens: p.historyTokens + sim.prefixTokens(p.class)}
	name, ok := sim.loads.Choose(candidates, w, sim.loop.now, sim.random)
	sim.loads.RecordPlacement(name, p.class.Rank(), expectedServiceTime)
	return name, ok
}

const (
	// expectedServiceTime is the assumed service time of a program at placement, when
	// its real one is unknown.
	expectedServiceTime = 5 * time.Second
)

// fewestCalls returns the endpoint with the fewest waiting and running calls; the
// first one wins a tie.
func (sim *simulation) fewestCalls(names []string) string {
	best := names[0]
	for _, n := range names[1:] {
		if len(sim.endpointsByName[n].callsByTicket) < len(sim.endpointsByName[best].callsByTicket) {
			best = n
		}
	}
	return best
}

// prefixTokens returns the length of the system prompt of a class.
func (sim *simulation) prefixTokens(c *class.Class) int64 {
	for _, s := range sim.workload.shapes {
		if s.class == c {
			return s.prefixTokens
		}
	}
	return 0
}

// removeName returns a copy of names without name.
func removeName(names []string, name string) []string {
	rest := make([]string, 0, len(names))
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// advance sends the next call of a program, or ends the program after its last
// turn.
func (r *programRun) advance() {
	sim := r.simulation
	if r.nextTurn == len(r.plan.turns) {
		r.end()
		return
	}
	r.rehome()
	turn := r.plan.turns[r.nextTurn]
	freshTokens := turn.messageTokens
	if r.nextTurn == 0 {
		freshTokens += r.plan.historyTokens
	}
	call := &activeCall{
		promptTokens: r.historyTokens + turn.messageTokens, outputTokens: turn.outputTokens, prefixTokens: sim.prefixTokens(r.plan.class), className: r.plan.class.Name(),
		onDone: func(call *activeCall) { r.handleAnswer(call, freshTokens) },
	}
	isFirstCall := r.nextTurn == 0
	home := r.home
	sim.loop.after(sim.workload.endpointLatency+sim.workload.callerLatency, func() { home.enqueue(r.plan.id, isFirstCall, call) })
}

// rehome selects a new home for a program if the policy places every call
// separately or the current home is leaving. The cache at the old home is evicted
// only in the second case.
func (r *programRun) rehome() {
	sim := r.simulation
	placesEachCall := sim.policy.placement == placeRoundRobin || sim.policy.placement == placeLeastLoaded
	if r.nextTurn == 0 || (!placesEachCall && !r.home.leaving) {
		return
	}
	name, ok := sim.chooseEndpoint(sim.usableEndpoints(), r.plan)
	if !ok || sim.endpointsByName[name] == r.home {
		return
	}
	newHome := sim.endpointsByName[name]
	r.home.schedule.Unregister(r.plan.id, false, sim.loop.now)
	if !placesEachCall {
		r.home.engine.evict(r.plan.id)
		sim.result.moves++
	}
	newHome.schedule.Register(r.plan.id, r.plan.class, r.startedAt, 0, sim.loop.now)
	r.home = newHome
}

// handleAnswer records an answered call. It then runs the sub-agent of the turn,
// if any, waits for the pause and sends the next call. freshTokens counts the
// prompt tokens that no engine can have cached.
func (r *programRun) handleAnswer(call *activeCall, freshTokens int64) {
	sim := r.simulation
	turn := r.plan.turns[r.nextTurn]
	r.historyTokens += turn.messageTokens + turn.outputTokens
	r.nextTurn++
	sim.result.recordCall(r, call, freshTokens)
	sim.loop.after(sim.workload.endpointLatency+sim.workload.callerLatency, func() {
		if turn.subAgent == nil {
			sim.loop.after(turn.pause, r.advance)
			return
		}
		r.runSubAgent(turn)
	})
}

// runSubAgent runs the sub-agent of a turn; its end resumes the parent.
func (r *programRun) runSubAgent(turn turnPlan) {
	sim := r.simulation
	child := &programRun{simulation: sim, plan: turn.subAgent, startedAt: r.startedAt, historyTokens: sim.prefixTokens(r.plan.class)}
	child.resumeParent = func() { sim.loop.after(turn.pause, r.advance) }
	name, ok := sim.chooseEndpoint(sim.usableEndpoints(), child.plan)
	if !ok {
		name = r.home.name
	}
	child.home = sim.endpointsByName[name]
	child.home.schedule.Register(child.plan.id, child.plan.class, r.startedAt, 0, sim.loop.now)
	child.advance()
}

// end releases the program at its home. It then resumes the parent, or records
// the end of a program that has none.
func (r *programRun) end() {
	r.home.schedule.Unregister(r.plan.id, r.resumeParent == nil, r.simulation.loop.now)
	r.home.engine.evict(r.plan.id)
	if r.resumeParent != nil {
		r.resumeParent()
		return
	}
	r.simulation.result.recordFinish(r)
}
