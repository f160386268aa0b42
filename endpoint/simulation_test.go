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

// The load of the agent programs on the sheet of omuti-grown: 36 engines of 6 slots
// with memory for 44,335 tokens, a step of 2.42 ms that grows by 0.036 ms a request,
// 150 prompt tokens read a millisecond, 4 events of 18 tokens a turn.
const (
	playEngines  = 36
	playSlots    = 6
	playMemory   = 44_335
	playRate     = 150.0
	playStep     = 2.42
	playCrowd    = 0.0362
	playTokens   = 4 * 18
	playOverhead = 22.0
	playGossip   = 100 * time.Millisecond
	playFronts   = 15
	playShared   = 512
	playNew      = 327 + playTokens
)

// playEvent is something that happens at a time.
type playEvent struct {
	at time.Time
	do func(now time.Time)
}

type playEvents []playEvent

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)        { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// playEngine runs turns in order of arrival and keeps the latest prompts.
type playEngine struct {
	running int
	waiting []func(now time.Time)
	held    map[string]int
	order   []string
}

// read returns the tokens of a conversation that must be read, and keeps all of it.
func (e *playEngine) read(conversation string, tokens int) int {
	missing := tokens - min(tokens, e.held[conversation])
	if e.held[conversation] == 0 {
		missing = tokens - playShared
	}
	e.held[conversation] = tokens
	for i, c := range e.order {
		if c == conversation {
			e.order = append(e.order[:i], e.order[i+1:]...)
			break
		}
	}
	e.order = append(e.order, conversation)
	sum := 0
	for _, n := range e.held {
		sum += n
	}
	for sum > playMemory && len(e.order) > 1 {
		sum -= e.held[e.order[0]]
		delete(e.held, e.order[0])
		e.order = e.order[1:]
	}
	return missing
}

// play is one run of the load.
type play struct {
	t       *testing.T
	random  *rand.Rand
	events  playEvents
	engines []*playEngine
	fronts  []*endpoint.Directory
	read    int
	asked   int
	done    int
	inAim   int
	prefer  bool
}

func newPlay(t *testing.T, seed uint64, prefer bool) *play {
	p := &play{t: t, random: rand.New(rand.NewPCG(seed, 1)), prefer: prefer}
	start := time.Unix(0, 0)
	for range playEngines {
		p.engines = append(p.engines, &playEngine{held: map[string]int{}})
	}
	for range playFronts {
		d := endpoint.NewDirectory()
		for i := range playEngines {
			d.Put(endpoint.Registration{ID: fmt.Sprint(i), Service: "llm", Slots: playSlots}, start)
		}
		p.fronts = append(p.fronts, d)
	}
	return p
}

func (p *play) at(t time.Time, do func(now time.Time)) { heap.Push(&p.events, playEvent{t, do}) }

// gossip lets the fronts tell each other their load.
func (p *play) gossip(now time.Time) {
	for i, from := range p.fronts {
		loads := from.Loads()
		for j, to := range p.fronts {
			if i != j {
				to.UpdatePeerLoads(fmt.Sprint(i), loads, now)
			}
		}
	}
	p.at(now.Add(playGossip), p.gossip)
}

// turn runs one turn of a conversation and calls then at its end.
func (p *play) turn(now time.Time, conversation, holder string, tokens int, then func(now time.Time, endpoint string)) {
	front := p.fronts[p.random.IntN(len(p.fronts))]
	q := endpoint.Query{Service: "llm", Kind: "tally", MaxQueued: 3, IgnoreDomain: true}
	if p.prefer {
		q.PreferredID, q.PreferredSaving = holder, time.Duration(3*float64(tokens)/playRate*float64(time.Millisecond))
	}
	target, verdict := front.Pick(q, now)
	if verdict != endpoint.Picked {
		p.at(now.Add(25*time.Millisecond), func(now time.Time) { p.turn(now, conversation, holder, tokens, then) })
		return
	}
	var index int
	_, err := fmt.Sscan(target.ID(), &index)
	require.NoError(p.t, err)
	e := p.engines[index]
	begin := func(now time.Time) {
		e.running++
		missing := e.read(conversation, tokens)
		p.read += missing
		p.asked += tokens
		took := float64(missing)/playRate + playTokens*(playStep+playCrowd*float64(e.running))
		p.at(now.Add(time.Duration(took*float64(time.Millisecond))), func(now time.Time) {
			e.running--
			front.Release(target)
			front.RecordSuccess(target, now)
			if len(e.waiting) > 0 {
				next := e.waiting[0]
				e.waiting = e.waiting[1:]
				next(now)
			}
			then(now.Add(playOverhead/2*time.Millisecond), target.ID())
		})
	}
	if e.running >= playSlots {
		e.waiting = append(e.waiting, begin)
		return
	}
	begin(now)
}

// program runs a program of several turns and counts whether it met its aim.
func (p *play) program(now time.Time, id int) {
	turns := max(1, int(math.Round(11*math.Exp(0.4*p.random.NormFloat64()))))
	idle := float64(turns) * (playNew/playRate + playTokens*(playStep+playCrowd) + playOverhead)
	aim := now.Add(time.Duration((1.3*idle + 400) * float64(time.Millisecond)))
	name := fmt.Sprint(id)
	var next func(now time.Time, left, tokens int, holder string)
	next = func(now time.Time, left, tokens int, holder string) {
		if left == 0 {
			p.done++
			if now.Before(aim) {
				p.inAim++
			}
			return
		}
		p.turn(now, name, holder, tokens, func(now time.Time, holder string) {
			p.at(now.Add(playOverhead/2*time.Millisecond), func(now time.Time) { next(now, left-1, tokens+playNew, holder) })
		})
	}
	next(now, turns, playShared+playNew, "")
}

// run starts programs at a rate for a time, and plays on until all have ended.
func (p *play) run(rate float64, length time.Duration) {
	start := time.Unix(0, 0)
	p.gossip(start)
	id := 0
	for at := start; at.Before(start.Add(length)); at = at.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))) {
		n := id
		p.at(at, func(now time.Time) { p.program(now, n) })
		id++
	}
	for p.done < id {
		e := heap.Pop(&p.events).(playEvent)
		e.do(e.at)
	}
}

// TestProgramsMeetTheirAimOnBusyEngines plays the busiest seconds of omuti-grown, with
// engines three quarters full; the users' aim there is a worth of 0.83.
func TestProgramsMeetTheirAimOnBusyEngines(t *testing.T) {
	const rate = 0.75 * playEngines * playSlots / (11 * 1.08 * 0.2)
	for seed := range uint64(3) {
		p := newPlay(t, seed, true)
		p.run(rate, 15*time.Second)
		t.Logf("seed %d: %d programs, %.3f in aim, %.3f of the prompts read again or first", seed, p.done, float64(p.inAim)/float64(p.done), float64(p.read)/float64(p.asked))
		require.GreaterOrEqual(t, float64(p.inAim)/float64(p.done), 0.83)
	}
}
