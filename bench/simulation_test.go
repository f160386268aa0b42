package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/program"
)

// newSingleEndpoint returns a simulation with one endpoint, which measures from the start.
func newSingleEndpoint(w *workload, p policy) *simulation {
	w.engines = 1
	sim := newSimulation(w, scenarioByName("calm"), p, 1)
	sim.result.startMeasuring(sim)()
	return sim
}

// newPlan returns a program of the class of a rank with calls of the given length.
func newPlan(w *workload, rank class.Rank, key string, calls int, messageTokens, outputTokens int64) *programPlan {
	for _, s := range w.shapes {
		if s.class.Rank() == rank {
			p := &programPlan{id: program.NewID(w.name, key), class: s.class, historyTokens: 300}
			for range calls {
				p.turns = append(p.turns, turnPlan{messageTokens: messageTokens, outputTokens: outputTokens})
			}
			return p
		}
	}
	panic("workload has no class of the rank")
}

// TestPreemptedPrefillIsCounted checks the prefilled tokens of calls against those that the
// engine has computed, when calls are preempted in the middle of their prompts or answers.
func TestPreemptedPrefillIsCounted(t *testing.T) {
	tests := []struct {
		name string
		// preemptAfter is the time from the start of the call to its preemption.
		preemptAfter time.Duration
		// evict empties the cache of the program while it waits again.
		evict bool
	}{
		{name: "not preempted"},
		{name: "in the prompt", preemptAfter: 100 * time.Millisecond},
		{name: "in the prompt, then evicted", preemptAfter: 100 * time.Millisecond, evict: true},
		{name: "in the answer", preemptAfter: time.Second},
		{name: "in the answer, then evicted", preemptAfter: time.Second, evict: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := omuti()
			sim := newSingleEndpoint(w, currentPolicy())
			e := sim.endpoints[0]
			plan := newPlan(w, class.Background, "program", 1, 4000, 200)
			sim.startProgram(plan)
			if test.preemptAfter > 0 {
				sim.loop.after(test.preemptAfter, func() {
					for _, call := range e.callsByTicket {
						require.True(t, e.preempt(call))
					}
					if test.evict {
						e.engine.evict(plan.id)
					}
					e.dispatch()
				})
			}
			sim.loop.runUntil(time.Unix(0, 0).Add(time.Minute))
			require.Equal(t, 1, len(sim.result.byRank[class.Background].firstTokenTimes), "the call was answered")
			require.Equal(t, test.preemptAfter > 0, sim.result.preemptions == 1)
			require.Equal(t, e.engine.prefilledTokens, sim.result.prefilledTokens)
			require.Positive(t, sim.result.prefilledTokens)
		})
	}
}

// TestDemandCountsWhatOneMoreProgramIsPrefilled checks the demand of a program, from which
// arrival rates are derived, against what an engine computes for it. The system prompt is
// not in it: the first program of a class leaves it at the engine for all later ones.
func TestDemandCountsWhatOneMoreProgramIsPrefilled(t *testing.T) {
	w := omuti()
	sim := newSingleEndpoint(w, currentPolicy())
	engine := sim.endpoints[0].engine
	run := func(p *programPlan) int64 {
		before := engine.prefilledTokens
		sim.startProgram(p)
		sim.loop.runUntil(sim.loop.now.Add(time.Hour))
		return engine.prefilledTokens - before
	}
	withSubAgent := func(key string) *programPlan {
		p := newPlan(w, class.Background, key, 3, 500, 50)
		p.turns[1].subAgent = newPlan(w, class.Background, key+"-child", 2, 200, 20)
		p.turns[1].subAgent.historyTokens = 0
		return p
	}
	first, second := withSubAgent("first"), withSubAgent("second")
	require.Equal(t, first.totalTokens().promptTokens+1200, float64(run(first)), "the first program of a class reads the system prompt too")
	require.Equal(t, second.totalTokens().promptTokens, float64(run(second)))
}
