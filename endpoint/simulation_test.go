package endpoint_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Parameters of the simulated load, which are those of agent programs in the benchmark
// deployment omuti-grown.
const (
	engineCount        = 36
	engineSlots        = 6
	engineMemoryTokens = 44_335
	// prefillTokensPerMS is the number of prompt tokens that an engine reads per millisecond.
	prefillTokensPerMS = 150.0
	// stepMS is the time per output token, which grows by stepMSPerRequest with each request
	// that the engine runs.
	stepMS           = 2.42
	stepMSPerRequest = 0.0362
	// outputTokensPerTurn is 4 events of 18 tokens.
	outputTokensPerTurn = 4 * 18
	// turnOverheadMS is the time of a turn outside of the engine.
	turnOverheadMS = 22.0
	gossipInterval = 100 * time.Millisecond
	frontCount     = 15
	// sharedPromptTokens is the part of a prompt that is equal for all programs, and cached by
	// every engine.
	sharedPromptTokens = 512
	// newTokensPerTurn is the growth of a conversation per turn: prompt and output.
	newTokensPerTurn = 327 + outputTokensPerTurn
)

// simEvent is a function to call at a simulated time.
type simEvent struct {
	at time.Time
	do func(now time.Time)
}

// eventHeap orders events by time; it implements heap.Interface.
type eventHeap []simEvent

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simEngine runs up to engineSlots turns at once, in order of arrival, and caches the most
// recently used conversations.
type simEngine struct {
	running int
	queue   []func(now time.Time)
	// cachedTokens is the number of cached tokens by conversation.
	cachedTokens map[string]int
	// evictionOrder lists the cached conversations, least recently used first.
	evictionOrder []string
}

// readTokens caches a conversation and returns how many of its tokens have to be read because
// they are not in the cache.
func (e *simEngine) readTokens(conversation string, promptTokens int) int {
	missing := promptTokens - min(promptTokens, e.cachedTokens[conversation])
	if e.cachedTokens[conversation] == 0 {
		missing = promptTokens - sharedPromptTokens
	}
	e.cachedTokens[conversation] = promptTokens
	for i, c := range e.evictionOrder {
		if c == conversation {
			e.evictionOrder = append(e.evictionOrder[:i], e.evictionOrder[i+1:]...)
			break
		}
	}
	e.evictionOrder = append(e.evictionOrder, conversation)
	sum := 0
	for _, n := range e.cachedTokens {
		sum += n
	}
	for sum > engineMemoryTokens && len(e.evictionOrder) > 1 {
		sum -= e.cachedTokens[e.evictionOrder[0]]
		delete(e.cachedTokens, e.evictionOrder[0])
		e.evictionOrder = e.evictionOrder[1:]
	}
	return missing
}

// simulation is one run of the simulated load.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	events  eventHeap
	engines []*simEngine
	fronts  []*endpoint.Directory
	// readTokens is the number of prompt tokens that engines had to read, out of
	// totalPromptTokens.
	readTokens        int
	totalPromptTokens int
	// finished is the number of finished programs, of which onTime met their deadline.
	finished int
	onTime   int
	// preferHolder makes fronts prefer the engine that holds the conversation.
	preferHolder bool
	// speeds are the speeds of the engines in turn, as ratios to the nominal one; nil if all have that.
	speeds []float64
	// learnSpeeds makes fronts observe the events of streams and exchange the speeds of engines.
	learnSpeeds bool
	// gossipPhases is the number of groups of fronts that send reports at different times, each every
	// gossipInterval; 0 is one. gossipRounds counts the exchanges.
	gossipPhases int
	gossipRounds int
	// turnTimes are the times of all turns that ended after measureAfter, without those outside of
	// engines.
	turnTimes    []time.Duration
	measureAfter time.Time
}

// newSimulation returns a simulation whose fronts know all engines.
func newSimulation(t *testing.T, seed uint64, preferHolder bool) *simulation {
	return newSimulationOf(t, seed, preferHolder, frontCount, engineCount)
}

// newSimulationOf returns a simulation of the given size.
func newSimulationOf(t *testing.T, seed uint64, preferHolder bool, frontCount, engineCount int) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), preferHolder: preferHolder}
	start := time.Unix(0, 0)
	for range engineCount {
		s.engines = append(s.engines, &simEngine{cachedTokens: map[string]int{}})
	}
	for range frontCount {
		d := endpoint.NewDirectory()
		for i := range engineCount {
			d.Put(endpoint.Registration{ID: fmt.Sprint(i), Service: "llm", Slots: engineSlots}, start)
		}
		s.fronts = append(s.fronts, d)
	}
	return s
}

func (s *simulation) at(t time.Time, do func(now time.Time)) {
	heap.Push(&s.events, simEvent{t, do})
}

// gossip exchanges the load reports of fronts, and schedules the next exchange.
func (s *simulation) gossip(now time.Time) {
	phases := max(1, s.gossipPhases)
	for i, from := range s.fronts {
		if i%phases != s.gossipRounds%phases {
			continue
		}
		loads := from.Loads()
		for j, to := range s.fronts {
			if i != j {
				to.UpdatePeerLoads(fmt.Sprint(i), loads, now)
			}
		}
	}
	if s.learnSpeeds && s.gossipRounds%phases == 0 {
		s.exchangeSpeeds(now, s.gossipRounds/phases)
	}
	s.gossipRounds++
	s.at(now.Add(gossipInterval/time.Duration(phases)), s.gossip)
}

// runTurn runs one turn of a conversation at a random front and calls then at its end. A turn
// for which there is no room is tried again after 25 ms, as in package dispatch. MaxQueued and
// the factor of the time saved by the holder are those of package gateway.
func (s *simulation) runTurn(now time.Time, conversation, holder string, promptTokens int, then func(now time.Time, endpoint string)) {
	front := s.fronts[s.rng.IntN(len(s.fronts))]
	q := endpoint.Query{Service: "llm", Kind: "tally", MaxQueued: 3, IgnoreDomain: true}
	if s.preferHolder {
		q.PreferredID, q.PreferredSaving = holder, time.Duration(3*float64(promptTokens)/prefillTokensPerMS*float64(time.Millisecond))
	}
	target, result := front.Pick(q, now)
	if result != endpoint.Picked {
		s.at(now.Add(25*time.Millisecond), func(now time.Time) { s.runTurn(now, conversation, holder, promptTokens, then) })
		return
	}
	var index int
	_, err := fmt.Sscan(target.ID(), &index)
	require.NoError(s.t, err)
	e := s.engines[index]
	begin := func(now time.Time) {
		e.running++
		missing := e.readTokens(conversation, promptTokens)
		s.readTokens += missing
		s.totalPromptTokens += promptTokens
		tokenMS := (stepMS + stepMSPerRequest*float64(e.running)) / s.speed(index)
		firstMS := float64(missing)/prefillTokensPerMS/s.speed(index) + tokenMS
		if s.learnSpeeds {
			s.observeTurn(front, target, holder == "", promptTokens, firstMS, tokenMS, now)
		}
		tookMS := firstMS + (outputTokensPerTurn-1)*tokenMS
		s.at(now.Add(time.Duration(tookMS*float64(time.Millisecond))), func(now time.Time) {
			e.running--
			front.Release(target)
			front.RecordSuccess(target, now)
			if now.After(s.measureAfter) {
				s.turnTimes = append(s.turnTimes, now.Sub(target.PickedAt()))
			}
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next(now)
			}
			then(now.Add(turnOverheadMS/2*time.Millisecond), target.ID())
		})
	}
	if e.running >= engineSlots {
		e.queue = append(e.queue, begin)
		return
	}
	begin(now)
}

// runProgram runs a program of several turns and counts whether it met its deadline, which is
// 1.3 times its duration on idle engines plus 400 ms. The number of turns has a log-normal
// distribution with median 11.
func (s *simulation) runProgram(now time.Time, id int) {
	turns := max(1, int(math.Round(11*math.Exp(0.4*s.rng.NormFloat64()))))
	idleMS := float64(turns) * (newTokensPerTurn/prefillTokensPerMS + outputTokensPerTurn*(stepMS+stepMSPerRequest) + turnOverheadMS)
	deadline := now.Add(time.Duration((1.3*idleMS + 400) * float64(time.Millisecond)))
	name := fmt.Sprint(id)
	var next func(now time.Time, turnsLeft, promptTokens int, holder string)
	next = func(now time.Time, turnsLeft, promptTokens int, holder string) {
		if turnsLeft == 0 {
			s.finished++
			if now.Before(deadline) {
				s.onTime++
			}
			return
		}
		s.runTurn(now, name, holder, promptTokens, func(now time.Time, holder string) {
			s.at(now.Add(turnOverheadMS/2*time.Millisecond), func(now time.Time) { next(now, turnsLeft-1, promptTokens+newTokensPerTurn, holder) })
		})
	}
	next(now, turns, sharedPromptTokens+newTokensPerTurn, "")
}

// run starts programs at a rate per second for a time, and runs the simulation until all
// programs have finished.
func (s *simulation) run(rate float64, length time.Duration) {
	start := time.Unix(0, 0)
	s.gossip(start)
	id := 0
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))) {
		n := id
		s.at(at, func(now time.Time) { s.runProgram(now, n) })
		id++
	}
	for s.finished < id {
		e := heap.Pop(&s.events).(simEvent)
		e.do(e.at)
	}
}

// TestProgramsMeetTheirDeadlineOnBusyEngines checks that enough programs meet their deadline
// at the peak load of omuti-grown, with engines three quarters full. Users there require a
// share of 0.83. If the choice of endpoints ignores caches or load, engines read prompts
// repeatedly and programs finish late.
func TestProgramsMeetTheirDeadlineOnBusyEngines(t *testing.T) {
	// A program has 11 * 1.08 turns on average, as the mean of exp(0.4 * N(0, 1)) is 1.08, and
	// a turn takes 0.2 s.
	const rate = 0.75 * engineCount * engineSlots / (11 * 1.08 * 0.2)
	for seed := range uint64(3) {
		s := newSimulation(t, seed, true)
		s.run(rate, 15*time.Second)
		t.Logf("seed %d: %d programs, %.3f on time, %.3f of the prompt tokens read", seed, s.finished, float64(s.onTime)/float64(s.finished), float64(s.readTokens)/float64(s.totalPromptTokens))
		require.GreaterOrEqual(t, float64(s.onTime)/float64(s.finished), 0.83)
	}
}
