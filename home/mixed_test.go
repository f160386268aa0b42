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

var seedsFlag = flag.Int("seeds", 25, "seeds of mixed faults")

// fault is something that goes wrong for a time.
type fault struct {
	kind  faultKind
	at    time.Duration
	lasts time.Duration
}

type faultKind int

const (
	logDown faultKind = iota
	logLossy
	logSlow
	answersLost
	serviceUnreachable
	serviceRestarts
	engineFails
	homeDies
	homeLeaves
	duplicateCalls
	faultKinds
)

func (k faultKind) String() string {
	return [...]string{
		"log down", "log answers lost", "log slow", "service answers lost", "service unreachable",
		"service restarts", "engine fails", "home dies", "home leaves", "duplicate calls",
	}[k]
}

// TestMixedFaults mixes faults in pairs and twice; rapid shrinks what it finds.
func TestMixedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var faults []fault
		for range rapid.IntRange(1, 4).Draw(rt, "faults") {
			faults = append(faults, fault{
				kind:  faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(rt, "kind")),
				at:    time.Duration(rapid.IntRange(0, 2000).Draw(rt, "at ms")) * time.Millisecond,
				lasts: time.Duration(rapid.IntRange(10, 8000).Draw(rt, "lasts ms")) * time.Millisecond,
			})
		}
		if violations := runMixed(t, faults).violations; len(violations) > 0 {
			rt.Fatalf("faults %v: %v", faults, violations)
		}
	})
}

// TestFaultSeeds runs more seeds and prints what was injected.
func TestFaultSeeds(t *testing.T) {
	injected := map[string]int{}
	programs, orders, violations := 0, 0, 0
	for seed := range *seedsFlag {
		random := rand.New(rand.NewPCG(uint64(seed), 3))
		var faults []fault
		for range 1 + random.IntN(5) {
			f := fault{
				kind: faultKind(random.IntN(int(faultKinds))), at: time.Duration(random.IntN(2500)) * time.Millisecond,
				lasts: time.Duration(10+random.IntN(12000)) * time.Millisecond,
			}
			faults = append(faults, f)
			injected[f.kind.String()]++
		}
		r := runMixed(t, faults)
		programs += mixedPrograms
		orders += r.orders
		violations += len(r.violations)
		for _, v := range r.violations {
			t.Errorf("seed %d, faults %v: %s", seed, faults, v)
		}
	}
	t.Logf("seeds %d, faults %v, programs %d, orders sent %d, violations %d", *seedsFlag, injected, programs, orders, violations)
}

// mixedResult is what a run with faults came to.
type mixedResult struct {
	violations []string
	orders     int
}

const (
	mixedPrograms = 6
	mixedTurns    = 6
)

// runMixed runs some programs over three homes while faults come and go.
func runMixed(t *testing.T, faults []fault) mixedResult {
	var result mixedResult
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		a := &audit{world: w}
		set := &homeSet{names: []string{"model-1", "model-2", "model-3"}, homes: map[string]*home.Home{}}
		engines := &engineSet{}
		for _, name := range set.names {
			h, e := w.home(name)
			set.put(name, h)
			engines.add(e)
		}
		var work sync.WaitGroup
		for _, f := range faults {
			work.Go(func() { inject(w, set, engines, f) })
		}
		witnesses := make([]*witness, mixedPrograms)
		for i := range witnesses {
			witnesses[i] = &witness{key: fmt.Sprint("program-", i), orders: map[uint32]program.Outcome{}, receipts: map[uint32]string{}}
			d := &driver{audit: a, world: w, homes: set, witness: witnesses[i], at: i}
			work.Go(func() { d.run(mixedTurns) })
		}
		work.Wait()
		time.Sleep(time.Minute)
		started := witnesses[:0]
		for _, x := range witnesses {
			if !x.handle.Program().IsZero() {
				started = append(started, x)
			}
		}
		a.check(started)
		result.violations = a.violations
		result.orders = len(w.service.effects)
		w.close()
	})
	return result
}

// inject makes one thing go wrong for a time.
func inject(w *world, set *homeSet, engines *engineSet, f fault) {
	time.Sleep(f.at)
	switch f.kind {
	case logDown:
		w.log.SetFaults(standin.LogFaults{Down: true})
		defer w.log.SetFaults(standin.LogFaults{})
	case logLossy:
		w.log.SetFaults(standin.LogFaults{LoseAppendResponses: true})
		defer w.log.SetFaults(standin.LogFaults{})
	case logSlow:
		w.log.SetFaults(standin.LogFaults{Delay: 700 * time.Millisecond})
		defer w.log.SetFaults(standin.LogFaults{})
	case answersLost:
		w.service.set(func(s *fakeService) { s.loseAnswers += 3; s.callTime = 300 * time.Millisecond })
	case serviceUnreachable:
		w.service.set(func(s *fakeService) { s.unreachable = true })
		defer w.service.set(func(s *fakeService) { s.unreachable = false })
	case serviceRestarts:
		w.service.restart()
	case engineFails:
		engines.fail(program.NewError(program.ErrorConfig{Op: "engine", Kind: program.KindUnavailable, Err: errLost}))
		defer engines.fail(nil)
	case homeDies:
		replaceHome(w, set, engines, set.names[int(f.at)%3], f.lasts)
		return
	case homeLeaves:
		h := set.get(set.names[int(f.at)%3])
		if h == nil {
			return
		}
		h.Leave()
		defer h.Return()
	case duplicateCalls:
		duplicate(w, set)
	}
	time.Sleep(f.lasts)
}

// replaceHome ends a home and starts another of its name after a time.
func replaceHome(w *world, set *homeSet, engines *engineSet, name string, after time.Duration) {
	old := set.get(name)
	if old == nil {
		return
	}
	set.put(name, nil)
	old.Close()
	time.Sleep(after)
	h, e := w.home(name)
	engines.add(e)
	set.put(name, h)
}

// duplicate starts a program with a key that others use, at all homes at once.
func duplicate(w *world, set *homeSet) {
	for i := range set.names {
		d := &driver{
			audit: &audit{world: w}, world: w, homes: set, at: i,
			witness: &witness{key: "program-0", orders: map[uint32]program.Outcome{}, receipts: map[uint32]string{}},
		}
		w.work.Go(func() { d.run(mixedTurns) })
	}
}

// engineSet holds all engines of a run.
type engineSet struct {
	mu      sync.Mutex
	engines []*fakeEngine
}

func (s *engineSet) add(e *fakeEngine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.engines = append(s.engines, e)
}

func (s *engineSet) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		e.setFail(err)
	}
}

func TestAuditSeesViolations(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		h, _ := w.home("model-1")
		handle := w.mustCall(h, w.start(h, "k"), w.ask(1, "one"))
		handle = w.mustCall(h, handle, w.pay(2))
		time.Sleep(time.Second)
		good := &witness{key: "k", handle: handle, asked: []string{"one"}, orders: map[uint32]program.Outcome{2: program.Ran}}
		tests := []struct {
			name    string
			witness witness
			effects int
			want    int
		}{
			{name: "all well", witness: *good, effects: 1},
			{name: "turn lost", witness: witness{key: "k", handle: handle, asked: []string{"one", "two"}}, effects: 1, want: 1},
			{name: "turn mixed", witness: witness{key: "k", handle: handle, asked: []string{"other"}}, effects: 1, want: 1},
			{name: "ran twice", witness: *good, effects: 2, want: 2},
			{name: "refused but ran", witness: witness{key: "k", handle: handle, orders: map[uint32]program.Outcome{2: program.NotRun}}, effects: 1, want: 1},
			{name: "answered but not run", witness: *good, effects: 0, want: 1},
		}
		for _, test := range tests {
			w.service.set(func(s *fakeService) { s.effects[handle.Program().String()+"-2"] = test.effects })
			a := &audit{world: w}
			a.check([]*witness{&test.witness})
			require.Len(t, a.violations, test.want, "%s: %v", test.name, a.violations)
		}
	})
}
