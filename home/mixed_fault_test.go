package home_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

var seedsFlag = flag.Int("seeds", 25, "number of seeds that TestFaultSeeds runs")

// fault is a failure injected for some time.
type fault struct {
	kind        faultKind
	startsAfter time.Duration
	duration    time.Duration
}

type faultKind int

const (
	logDown faultKind = iota
	logAnswersLost
	logSlow
	serviceAnswersLost
	serviceUnreachable
	serviceRestarts
	engineFails
	homeRestarts
	homeLeaves
	duplicateCalls
	faultKindCount
)

func (k faultKind) String() string {
	return [...]string{
		"log down", "log answers lost", "log slow", "service answers lost", "service unreachable",
		"service restarts", "engine fails", "home restarts", "home leaves", "duplicate calls",
	}[k]
}

// TestMixedFaults checks the invariants under one to four faults, of the same
// or different kinds, that rapid draws and shrinks.
func TestMixedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var faults []fault
		for range rapid.IntRange(1, 4).Draw(rt, "faults") {
			faults = append(faults, fault{
				kind:        faultKind(rapid.IntRange(0, int(faultKindCount)-1).Draw(rt, "kind")),
				startsAfter: time.Duration(rapid.IntRange(0, 2000).Draw(rt, "at ms")) * time.Millisecond,
				duration:    time.Duration(rapid.IntRange(10, 8000).Draw(rt, "lasts ms")) * time.Millisecond,
			})
		}
		if violations := runMixed(t, faults).violations; len(violations) > 0 {
			rt.Fatalf("faults %v: %v", faults, violations)
		}
	})
}

// TestFaultSeeds checks the invariants under faults drawn from -seeds seeds and
// logs how often each kind was injected.
func TestFaultSeeds(t *testing.T) {
	injected := map[string]int{}
	programs, orders, violations := 0, 0, 0
	for seed := range *seedsFlag {
		random := rand.New(rand.NewPCG(uint64(seed), 3))
		var faults []fault
		for range 1 + random.IntN(5) {
			f := fault{
				kind: faultKind(random.IntN(int(faultKindCount))), startsAfter: time.Duration(random.IntN(2500)) * time.Millisecond,
				duration: time.Duration(10+random.IntN(12000)) * time.Millisecond,
			}
			faults = append(faults, f)
			injected[f.kind.String()]++
		}
		r := runMixed(t, faults)
		programs += mixedPrograms
		orders += r.orderCount
		violations += len(r.violations)
		for _, v := range r.violations {
			t.Errorf("seed %d, faults %v: %s", seed, faults, v)
		}
	}
	t.Logf("seeds %d, faults %v, programs %d, orders sent %d, violations %d", *seedsFlag, injected, programs, orders, violations)
}

// mixedResult is the outcome of runMixed.
type mixedResult struct {
	violations []string
	// orderCount is the number of orders that had an effect.
	orderCount int
}

const (
	// mixedPrograms is the number of programs that runMixed runs.
	mixedPrograms = 6
	// mixedTurns is the number of calls that each of them makes.
	mixedTurns = 6
)

// runMixed runs mixedPrograms programs on three homes while faults are
// injected, then checks the invariants.
func runMixed(t *testing.T, faults []fault) mixedResult {
	var result mixedResult
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t)
		checker := &invariantChecker{cluster: tc}
		homes := &homeSet{names: []string{"model-1", "model-2", "model-3"}, homes: map[string]*home.Home{}}
		engines := &engineSet{}
		for _, name := range homes.names {
			h, e := tc.addHome(name)
			homes.put(name, h)
			engines.add(e)
		}
		var goroutines sync.WaitGroup
		for _, f := range faults {
			goroutines.Go(func() { injectFault(tc, homes, engines, f) })
		}
		views := make([]*callerView, mixedPrograms)
		for i := range views {
			views[i] = &callerView{key: fmt.Sprint("program-", i), outcomesByOrder: map[uint32]program.Outcome{}, receiptsByOrder: map[uint32]string{}}
			d := &callerDriver{checker: checker, cluster: tc, homes: homes, view: views[i], homeIndex: i}
			goroutines.Go(func() { d.run(mixedTurns) })
		}
		goroutines.Wait()
		time.Sleep(time.Minute)
		startedViews := views[:0]
		for _, view := range views {
			if !view.handle.Program().IsZero() {
				startedViews = append(startedViews, view)
			}
		}
		checker.check(startedViews)
		result.violations = checker.violations
		result.orderCount = len(tc.service.effectsByOrder)
		tc.close()
	})
	return result
}

// injectFault injects one fault and ends it after its duration.
func injectFault(tc *testCluster, homes *homeSet, engines *engineSet, f fault) {
	time.Sleep(f.startsAfter)
	switch f.kind {
	case logDown:
		tc.log.SetFaults(standin.LogFaults{Down: true})
		defer tc.log.SetFaults(standin.LogFaults{})
	case logAnswersLost:
		tc.log.SetFaults(standin.LogFaults{LoseAppendResponses: true})
		defer tc.log.SetFaults(standin.LogFaults{})
	case logSlow:
		tc.log.SetFaults(standin.LogFaults{Delay: 700 * time.Millisecond})
		defer tc.log.SetFaults(standin.LogFaults{})
	case serviceAnswersLost:
		tc.service.update(func(s *fakeService) { s.answersToLose += 3; s.callDuration = 300 * time.Millisecond })
	case serviceUnreachable:
		tc.service.update(func(s *fakeService) { s.unreachable = true })
		defer tc.service.update(func(s *fakeService) { s.unreachable = false })
	case serviceRestarts:
		tc.service.restart()
	case engineFails:
		engines.setFailure(program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindUnavailable, Err: errAnswerLost}))
		defer engines.setFailure(nil)
	case homeRestarts:
		replaceHome(tc, homes, engines, homes.names[int(f.startsAfter)%3], f.duration)
		return
	case homeLeaves:
		h := homes.get(homes.names[int(f.startsAfter)%3])
		if h == nil {
			return
		}
		h.Leave()
		defer h.CancelLeave()
	case duplicateCalls:
		startDuplicates(tc, homes)
	}
	time.Sleep(f.duration)
}

// replaceHome closes a home and starts another with its name after the
// downtime.
func replaceHome(tc *testCluster, homes *homeSet, engines *engineSet, name string, downtime time.Duration) {
	old := homes.get(name)
	if old == nil {
		return
	}
	homes.put(name, nil)
	old.Close()
	time.Sleep(downtime)
	h, e := tc.addHome(name)
	engines.add(e)
	homes.put(name, h)
}

// startDuplicates runs a program with a key that is already in use, at all
// homes at once.
func startDuplicates(tc *testCluster, homes *homeSet) {
	for i := range homes.names {
		d := &callerDriver{
			checker: &invariantChecker{cluster: tc}, cluster: tc, homes: homes, homeIndex: i,
			view: &callerView{key: "program-0", outcomesByOrder: map[uint32]program.Outcome{}, receiptsByOrder: map[uint32]string{}},
		}
		tc.goroutines.Go(func() { d.run(mixedTurns) })
	}
}

// engineSet holds the engines of a run, including those of closed homes.
type engineSet struct {
	mu      sync.Mutex
	engines []*fakeEngine
}

func (s *engineSet) add(e *fakeEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
}

func (s *engineSet) setFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.setFailure(err)
	}
}

// The invariant checker must find each kind of violation; otherwise the tests
// with mixed faults would pass whatever happens.
func TestInvariantCheckerFindsViolations(t *testing.T) {
	runInVirtualTime(t, func(t *testing.T, tc *testCluster) {
		h, _ := tc.addHome("model-1")
		handle := tc.requireCall(h, tc.startUrgent(h, "k"), tc.modelCall(1, "one"))
		handle = tc.requireCall(h, handle, tc.orderCall(2))
		time.Sleep(time.Second)
		correct := &callerView{key: "k", handle: handle, answeredTexts: []string{"one"}, outcomesByOrder: map[uint32]program.Outcome{2: program.Ran}}
		tests := []struct {
			name       string
			view       callerView
			effects    int
			violations int
		}{
			{name: "no violation", view: *correct, effects: 1},
			{name: "turn lost", view: callerView{key: "k", handle: handle, answeredTexts: []string{"one", "two"}}, effects: 1, violations: 1},
			{name: "turn of another program", view: callerView{key: "k", handle: handle, answeredTexts: []string{"other"}}, effects: 1, violations: 1},
			{name: "ran twice", view: *correct, effects: 2, violations: 2},
			{name: "reported as not run but ran", view: callerView{key: "k", handle: handle, outcomesByOrder: map[uint32]program.Outcome{2: program.NotRun}}, effects: 1, violations: 1},
			{name: "answered but not run", view: *correct, effects: 0, violations: 1},
		}
		for _, test := range tests {
			tc.service.update(func(s *fakeService) { s.effectsByOrder[handle.Program().String()+"-2"] = test.effects })
			checker := &invariantChecker{cluster: tc}
			checker.check([]*callerView{&test.view})
			require.Len(t, checker.violations, test.violations, "%s: %v", test.name, checker.violations)
		}
	})
}
