package history

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

// The model explores every interleaving of two homes, a service that may
// restart, lost answers, pauses and deaths around one order. What is valid in the
// log and what the ledger lets run is decided by the product's own functions.

const (
	modelHomes    = 2
	modelAttempts = 2
	modelEpochs   = 2
	modelRestarts = 1
)

var modelID = program.NewID("caller", "model")

// phase is what a home is doing with the order.
type phase uint8

const (
	// away means that the home does not hold the program.
	away phase = iota
	// holding means that it holds it and nothing is claimed.
	holding
	// claiming means that its claim is on the way into the log.
	claiming
	// cleared means that its claim is valid, so that it may send.
	cleared
	// sent means that the order is on its way, or was.
	sent
	// asking means that it found a claim and asks the ledger.
	asking
	// settled means that it knows the outcome.
	settled
)

// modelHome is one home.
type modelHome struct {
	phase   phase
	epoch   uint64
	last    RecordID
	attempt uint32
	life    uint64
	pending RecordID
}

// message is an order on its way to the service.
type message struct {
	home    int
	epoch   uint64
	attempt uint32
	life    uint64
}

// modelState is one state of the whole.
type modelState struct {
	log      tails
	claimed  uint32
	claimer  uint64
	outcome  string
	homes    [modelHomes]modelHome
	flying   []message
	book     *order.Attempts
	life     uint64
	effects  int
	ranAt    uint32
	serial   byte
	told     string
	mutation mutation
}

// mutation switches a mechanism off, to show that the model sees it missing.
type mutation uint8

const (
	intact mutation = iota
	sendsUnclaimed
	asksWithoutRefusing
	ignoresLife
	mutations
)

func newModel(m mutation) *modelState {
	s := &modelState{log: tails{}, book: order.NewAttempts(1), life: 1, mutation: m}
	first := s.record(0, RecordID{}, Started(program.Config{}))
	s.log.apply(first, NewPosition(0, 0))
	s.homes[0] = modelHome{phase: holding, last: first.ID()}
	return s
}

func (s *modelState) record(epoch uint64, previous RecordID, b Body) Record {
	s.serial++
	return NewRecord(RecordConfig{ID: RecordID{s.serial}, Program: modelID, Epoch: epoch, Previous: previous, Body: b})
}

func (s *modelState) clone() *modelState {
	c := *s
	c.log = maps.Clone(s.log)
	c.book = s.book.Clone()
	c.flying = append([]message(nil), s.flying...)
	return &c
}

// key names a state; record ids are renamed by their role, so that states that
// differ only in them are the same.
func (s *modelState) key() string {
	t := s.log[modelID]
	k := fmt.Sprint(t.epoch, s.claimed, s.claimer, s.outcome, s.flying, s.life, s.effects, s.ranAt, s.told, fmt.Sprintf("%+v", *s.book))
	for _, h := range s.homes {
		k += fmt.Sprint("|", h.phase, h.epoch, h.attempt, h.life, h.last == t.last, h.pending == RecordID{})
	}
	return k
}

// next returns all states that one step leads to.
func (s *modelState) next() []*modelState {
	var list []*modelState
	step := func(f func(c *modelState)) {
		c := s.clone()
		f(c)
		list = append(list, c)
	}
	for i := range s.homes {
		for _, f := range s.homeSteps(i) {
			step(f)
		}
	}
	for i := range s.flying {
		step(func(c *modelState) { c.deliver(i) })
		step(func(c *modelState) { c.flying = append(c.flying[:i], c.flying[i+1:]...) })
	}
	if s.life <= modelRestarts {
		step(func(c *modelState) {
			c.life++
			c.book = order.NewAttempts(c.life)
		})
	}
	return list
}

// homeSteps returns what a home may do next; a home that is paused or dead
// just takes no step.
func (s *modelState) homeSteps(i int) []func(c *modelState) {
	h := s.homes[i]
	switch h.phase {
	case away:
		if s.log[modelID].epoch < modelEpochs {
			return []func(c *modelState){func(c *modelState) { c.adopt(i) }}
		}
	case holding:
		steps := []func(c *modelState){func(c *modelState) { c.refuse(i) }}
		if h.attempt < modelAttempts {
			steps = append(steps, func(c *modelState) { c.claim(i) })
		}
		return steps
	case claiming:
		return []func(c *modelState){func(c *modelState) { c.land(i) }}
	case cleared:
		return []func(c *modelState){func(c *modelState) { c.send(i) }}
	case sent, asking:
		return []func(c *modelState){func(c *modelState) { c.ask(i) }}
	}
	return nil
}

// adopt reads the log and appends an adoption; another may come in between.
func (s *modelState) adopt(i int) {
	t := s.log[modelID]
	r := s.record(t.epoch+1, t.last, Adopted())
	if !s.log.apply(r, NewPosition(1, 0)) {
		return
	}
	h := modelHome{phase: holding, epoch: t.epoch + 1, last: r.ID(), attempt: s.claimed}
	if s.claimed > 0 && s.outcome == "" {
		h.phase, h.life = asking, s.claimer
	}
	if s.outcome == "ran" || s.outcome == "doubt" {
		h.phase = settled
	}
	s.homes[i] = h
}

// claim begins to write a claim; it lands in the log at any later time.
func (s *modelState) claim(i int) {
	h := &s.homes[i]
	r := s.record(h.epoch, h.last, Claimed(program.NewClaim(program.ClaimConfig{Attempt: h.attempt + 1})))
	h.attempt++
	h.life = s.life
	h.pending = r.ID()
	h.phase = claiming
	if s.mutation == sendsUnclaimed {
		s.flying = append(s.flying, message{home: i, epoch: h.epoch, attempt: h.attempt, life: h.life})
	}
}

// land puts the claim of a home into the log.
func (s *modelState) land(i int) {
	h := &s.homes[i]
	r := NewRecord(RecordConfig{
		ID: h.pending, Program: modelID, Epoch: h.epoch, Previous: h.last,
		Body: Claimed(program.NewClaim(program.ClaimConfig{Attempt: h.attempt})),
	})
	if !s.log.apply(r, NewPosition(2, 0)) {
		h.phase = away
		return
	}
	h.last = r.ID()
	h.phase = cleared
	s.claimed, s.claimer, s.outcome = h.attempt, h.life, ""
}

func (s *modelState) send(i int) {
	h := &s.homes[i]
	s.flying = append(s.flying, message{home: i, epoch: h.epoch, attempt: h.attempt, life: h.life})
	h.phase = sent
}

func (s *modelState) request(epoch uint64, attempt uint32, life uint64) order.Request {
	return order.NewRequest(order.RequestConfig{Key: order.NewKey(modelID, 1, attempt), Epoch: epoch, Incarnation: life})
}

// deliver brings an order to the service; its answer may be lost.
func (s *modelState) deliver(i int) {
	m := s.flying[i]
	s.flying = append(s.flying[:i], s.flying[i+1:]...)
	if s.mutation == ignoresLife {
		m.life = s.life
	}
	first, err := s.book.Enter(s.request(m.epoch, m.attempt, m.life))
	if err == nil && first {
		s.effects++
		s.ranAt = m.attempt
	}
}

// ask asks the ledger for the outcome of a claim and settles by the answer.
func (s *modelState) ask(i int) {
	h := &s.homes[i]
	life := h.life
	if s.mutation == ignoresLife {
		life = s.life
	}
	book := s.book
	if s.mutation == asksWithoutRefusing {
		book = s.book.Clone()
	}
	first, err := book.Enter(s.request(h.epoch, h.attempt, life))
	switch {
	case order.KindOf(err) == order.KindIncarnation && err != nil:
		s.settle(i, "doubt")
	case err != nil:
		h.phase = away
	case first:
		s.settle(i, "not run")
	case s.effects > 0 && s.ranAt == h.attempt:
		s.settle(i, "ran")
	default:
		s.settle(i, "not run")
	}
}

// settle appends the outcome; a home that has been replaced learns so.
func (s *modelState) settle(i int, outcome string) {
	h := &s.homes[i]
	r := s.record(h.epoch, h.last, Settled(program.Ran, program.Answer{}))
	if !s.log.apply(r, NewPosition(3, 0)) {
		h.phase = away
		return
	}
	h.last = r.ID()
	s.outcome = outcome
	h.phase = settled
	if outcome == "not run" {
		h.phase = holding
	}
}

// refuse tells the caller that the order did not run, with its proof in the log.
func (s *modelState) refuse(i int) {
	h := &s.homes[i]
	r := s.record(h.epoch, h.last, Void())
	if !s.log.apply(r, NewPosition(4, 0)) {
		h.phase = away
		return
	}
	h.last = r.ID()
	h.phase = settled
	s.outcome = "ran"
	s.told = "not run"
}

// violation names what must not be.
func (s *modelState) violation() string {
	if s.effects > 1 {
		return "the order ran twice"
	}
	if s.told == "not run" && s.effects > 0 {
		return "the order was refused as not run, but ran"
	}
	return ""
}

// explore visits every state that can be reached and returns how many, and the
// first violation.
func explore(m mutation) (int, string) {
	seen := map[string]bool{}
	queue := []*modelState{newModel(m)}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		k := s.key()
		if seen[k] {
			continue
		}
		seen[k] = true
		if v := s.violation(); v != "" {
			return len(seen), v
		}
		queue = append(queue, s.next()...)
	}
	return len(seen), ""
}

func TestModelOfOrderAndAdoption(t *testing.T) {
	states, violation := explore(intact)
	t.Logf("%d states", states)
	require.Empty(t, violation)
	require.Greater(t, states, 1000)
}

func TestModelSeesMissingMechanisms(t *testing.T) {
	for m := intact + 1; m < mutations; m++ {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			_, violation := explore(m)
			require.NotEmpty(t, violation)
		})
	}
}
