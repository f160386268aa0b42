package overload_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/overload"
)

// Parameters of the simulated site, which are those of deployment A.
const (
	frontCount  = 35
	engineCount = 41
	engineSlots = 6
	// queuedAtEngine is how many requests beyond its slots an engine holds.
	queuedAtEngine = 3
	// turnTime is the mean time of a turn, of which each takes 0.7 to 1.3 times as much.
	turnTime = 230 * time.Millisecond
	// pause is the time of a program between two turns.
	pause          = 150 * time.Millisecond
	gossipInterval = 100 * time.Millisecond
	latencyTarget  = 400 * time.Millisecond
	turnTimeout    = 2 * time.Second
)

// site is a set of fronts that share engines, without a network.
type site struct {
	fronts  []*siteFront
	engines map[string]chan struct{}
	// gossips is cleared to cut the load reports between fronts.
	gossips bool

	mu  sync.Mutex
	rng *rand.Rand
	result
}

// siteFront is the part of a front that places turns.
type siteFront struct {
	directory  *endpoint.Directory
	queue      *dispatch.Queue
	controller *overload.Controller
}

// result counts programs by their end.
type result struct {
	timely, late, refused int
	// refusals is the number of refused turns, refusedBegun that of them that belong to begun programs.
	refusals, refusedBegun int
	// turns is the number of turns that engines ran.
	turns int
}

// newSite returns a site whose fronts have controllers if controlled is set.
func newSite(seed uint64, controlled bool) *site {
	s := &site{engines: map[string]chan struct{}{}, gossips: true, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range engineCount {
		s.engines[fmt.Sprint("e-", i)] = make(chan struct{}, engineSlots)
	}
	for range frontCount {
		f := &siteFront{directory: endpoint.NewDirectory()}
		for id := range s.engines {
			f.directory.Put(endpoint.Registration{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: engineSlots}, time.Now())
		}
		f.queue = dispatch.New(f.directory)
		if controlled {
			f.controller = overload.New(overload.Config{Directory: f.directory})
		}
		s.fronts = append(s.fronts, f)
	}
	return s
}

// gossip sends the load reports of one front until ctx ends.
func (s *site) gossip(ctx context.Context, i int) {
	time.Sleep(time.Duration(s.draw() * float64(gossipInterval)))
	for ctx.Err() == nil {
		loads := s.fronts[i].directory.Loads()
		for j, to := range s.fronts {
			if i != j && s.gossips {
				to.directory.UpdatePeerLoads(fmt.Sprint("front-", i), loads, time.Now())
			}
		}
		time.Sleep(gossipInterval)
	}
}

func (s *site) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

func (s *site) front() *siteFront { return s.fronts[int(s.draw()*frontCount)] }

// runTurn runs one turn at a front, as package gateway does. It returns after how long the caller is to
// retry if it is refused, and an error if the turn did not run.
func (s *site) runTurn(f *siteFront, begins bool, due time.Time) (time.Duration, error) {
	now := time.Now()
	deadline := now.Add(turnTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	query := endpoint.Query{Service: "s", Kind: "turn", MaxQueued: queuedAtEngine}
	priority := dispatch.Priority{Late: !due.After(now), DueAt: due}
	target, err := s.acquire(ctx, f, begins, priority, query, deadline)
	if err != nil {
		after, _ := overload.RetryAfter(err)
		return min(after, turnTimeout/3), err
	}
	defer f.directory.Release(target)
	slot := s.engines[target.ID()]
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return 0, ctx.Err()
	}
	time.Sleep(time.Duration((0.7 + 0.6*s.draw()) * float64(turnTime)))
	<-slot
	f.directory.RecordSuccess(target, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turns++
	return 0, nil
}

// acquire places a turn like streaming.acquireTurn of package gateway.
func (s *site) acquire(ctx context.Context, f *siteFront, begins bool, priority dispatch.Priority, query endpoint.Query, deadline time.Time) (endpoint.Target, error) {
	if !begins || f.controller == nil {
		return f.queue.Acquire(ctx, priority, query)
	}
	beginning, err := f.controller.Begin(overload.Request{Service: "s", Kind: "turn", LatencyTarget: latencyTarget, Deadline: deadline, ProgramDeadline: priority.DueAt}, time.Now())
	if err != nil {
		return endpoint.Target{}, err
	}
	if beginning == nil {
		return f.queue.Acquire(ctx, priority, query)
	}
	queueCtx, cancel := context.WithDeadline(ctx, beginning.GiveUpAt())
	defer cancel()
	priority.Begins = true
	target, err := f.queue.Acquire(queueCtx, priority, beginning.Restrict(query))
	if err != nil {
		return target, beginning.Expired(time.Now())
	}
	beginning.Admitted(time.Now())
	return target, nil
}

// runProgram runs a program whose caller behaves as on the platform: a refused turn is retried once
// after Retry-After, then the program begins again after 0.1 to 0.4 s, at most twice.
func (s *site) runProgram(turns int, aim time.Duration) {
	due := time.Now().Add(aim)
	for try := range 3 {
		if try > 0 {
			time.Sleep(time.Duration((0.1 + 0.3*s.draw()) * float64(time.Second)))
		}
		if s.tryProgram(turns, due) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if time.Now().After(due) {
				s.late++
			} else {
				s.timely++
			}
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
}

// tryProgram runs the turns of a program and reports whether all of them ran.
func (s *site) tryProgram(turns int, due time.Time) bool {
	for n := range turns {
		if n > 0 {
			time.Sleep(pause)
		}
		after, err := s.runTurn(s.front(), n == 0, due)
		if err != nil {
			s.noteRefusal(n)
			time.Sleep(after)
			if _, err = s.runTurn(s.front(), n == 0, due); err != nil {
				s.noteRefusal(n)
				return false
			}
		}
	}
	return true
}

func (s *site) noteRefusal(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals++
	if n > 0 {
		s.refusedBegun++
	}
}

// play plays programs of 4 and 7 turns at a multiple of the capacity for a span, after two seconds at
// four fifths of it, and returns the result. Programs have 1.6 times the time that they take when idle.
func (s *site) play(demand float64, span time.Duration) result {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range s.fronts {
		wg.Go(func() { s.gossip(ctx, i) })
	}
	const warmUp = 2 * time.Second
	// Programs have 5.5 turns in the mean.
	perSecond := engineCount * engineSlots / turnTime.Seconds() / 5.5
	var programs sync.WaitGroup
	for began := time.Now(); time.Since(began) < warmUp+span; {
		rate := perSecond * demand
		if time.Since(began) < warmUp {
			rate = perSecond * min(demand, 0.8)
		}
		s.mu.Lock()
		gap := s.rng.ExpFloat64() / rate
		s.mu.Unlock()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		turns := 4 + 3*int(2*s.draw())
		idleTime := time.Duration(turns)*turnTime + time.Duration(turns-1)*pause
		programs.Go(func() { s.runProgram(turns, idleTime*8/5) })
	}
	programs.Wait()
	cancel()
	wg.Wait()
	return s.result
}

// TestControlKeepsProgramsInTimeUnderOverload plays the load of deployment A in its bad seconds: programs
// of 4 and 7 turns with pauses of 150 ms at 1.3 and 2 times the capacity for 6 s. It guards against
// programs that all share the excess, so that nearly all are late (A, day scale-1, 10 to 16 s), and
// against begun programs that are refused.
func TestControlKeepsProgramsInTimeUnderOverload(t *testing.T) {
	for _, demand := range []float64{1.3, 2} {
		results := map[bool]result{}
		for _, controlled := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				results[controlled] = newSite(1, controlled).play(demand, 6*time.Second)
				t.Logf("demand %.1f, controlled %t: %+v", demand, controlled, results[controlled])
			})
		}
		require.Zero(t, results[true].refusedBegun)
	}
}

// TestNothingIsRefusedBelowCapacity guards against slots that stay idle while programs are refused: at
// half the capacity the load hardly reaches the limit.
func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	for _, demand := range []float64{0.5, 0.7, 0.8, 0.9, 1} {
		synctest.Test(t, func(t *testing.T) {
			r := newSite(2, false).play(demand, 6*time.Second)
			t.Logf("uncontrolled demand %.1f: %+v", demand, r)
			r = newSite(2, true).play(demand, 6*time.Second)
			t.Logf("demand %.1f: %+v", demand, r)
			if demand < 0.6 {
				require.Zero(t, r.refusals)
			}
		})
	}
}
