package history

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

// The tests of this file check a model of one order: two homes that hold or take over its
// program, and a service with its ledger. They visit every reachable state, with all
// interleavings of the steps below, for lost requests and answers, a restart of the
// service, and homes that pause or crash. Production code decides which records are valid
// (chainEnds) and which attempts may run (order.AttemptRegistry).

// Bounds of the model, which keep the number of states finite.
const (
	modelHomeCount = 2
	// maxModelAttempts is the largest attempt number that a home claims.
	maxModelAttempts = 2
	// maxModelEpoch is the number of takeovers.
	maxModelEpoch = 2
	// maxModelRestarts is the number of restarts of the service.
	maxModelRestarts = 1
)

var modelProgram = program.NewID("caller", "model")

// phase is the progress of one home with the order.
type phase uint8

const (
	// notHeld means that the home does not hold the program.
	notHeld phase = iota
	// held means that it holds the program and no claim is open.
	held
	// claimPending means that it has written a claim that may not be in the log yet.
	claimPending
	// claimRecorded means that its claim is valid in the log, so it may send the order.
	claimRecorded
	// orderSent means that it has sent the order.
	orderSent
	// ledgerQuery means that it has taken over with an open claim and queries the
	// ledger for the outcome.
	ledgerQuery
	// outcomeKnown means that it has recorded the outcome.
	outcomeKnown
)

// modelHome is the state of one home.
type modelHome struct {
	phase phase
	// epoch is the epoch in which the home holds the program.
	epoch uint64
	// lastRecordID is the latest record of the program that the home knows.
	lastRecordID RecordID
	// attempt is the number of its latest attempt at the order, from 1; 0 before the
	// first.
	attempt uint32
	// incarnation is the incarnation of the ledger that its claim names.
	incarnation uint64
	// pendingClaimID is the record id of its latest claim.
	pendingClaimID RecordID
}

// sentOrder is an order that has been sent and has not reached the service yet.
type sentOrder struct {
	// home is the index of the sender.
	home        int
	epoch       uint64
	attempt     uint32
	incarnation uint64
}

// modelState is one state of the log, both homes, the network and the service.
type modelState struct {
	// ends stands for the log.
	ends chainEnds
	// claimedAttempt and claimedIncarnation are those of the latest claim in the log,
	// outcome is what the log says about it: "ran", "not run", "doubt", or empty when
	// it has no outcome.
	claimedAttempt     uint32
	claimedIncarnation uint64
	outcome            string
	homes              [modelHomeCount]modelHome
	// inTransit holds the orders that have been sent but not delivered or lost.
	inTransit []sentOrder
	// attempts is the ledger of the service, incarnation its current incarnation.
	attempts    *order.AttemptRegistry
	incarnation uint64
	// executions is the number of times the order has run.
	executions int
	// ranAttempt is the attempt that ran last, 0 when none did.
	ranAttempt uint32
	// lastSerial is the latest number used for a record id.
	lastSerial byte
	// reportedOutcome is "not run" once the caller has been told so.
	reportedOutcome string
	mutation        mutation
}

// mutation switches off one safety mechanism, to check that the model detects this.
type mutation uint8

const (
	noMutation mutation = iota
	// sendBeforeClaim sends the order before its claim is in the log.
	sendBeforeClaim
	// queryWithoutRegistering queries the ledger without refusing an attempt that
	// arrives later.
	queryWithoutRegistering
	// ignoreIncarnation accepts orders and queries claimed at an earlier incarnation of
	// the ledger.
	ignoreIncarnation
	mutationCount
)

// newModel returns the initial state: home 0 holds the program and nothing is claimed. m is
// the safety mechanism that is switched off.
func newModel(m mutation) *modelState {
	s := &modelState{ends: chainEnds{}, attempts: order.NewAttemptRegistry(1), incarnation: 1, mutation: m}
	first := s.newRecord(0, RecordID{}, Started(program.Config{}))
	s.ends.accept(first, NewPosition(0, 0))
	s.homes[0] = modelHome{phase: held, lastRecordID: first.ID()}
	return s
}

func (s *modelState) newRecord(epoch uint64, previous RecordID, b Body) Record {
	s.lastSerial++
	return NewRecord(RecordConfig{ID: RecordID{s.lastSerial}, Program: modelProgram, Epoch: epoch, Previous: previous, Body: b})
}

func (s *modelState) clone() *modelState {
	c := *s
	c.ends = maps.Clone(s.ends)
	c.attempts = s.attempts.Clone()
	c.inTransit = append([]sentOrder(nil), s.inTransit...)
	return &c
}

// key returns a string that is equal for equal states. Record ids appear in it only by
// whether they are the latest one, so that states that differ in nothing else are equal.
func (s *modelState) key() string {
	end := s.ends[modelProgram]
	text := fmt.Sprint(end.epoch, s.claimedAttempt, s.claimedIncarnation, s.outcome, s.inTransit, s.incarnation, s.executions, s.ranAttempt, s.reportedOutcome, fmt.Sprintf("%+v", *s.attempts))
	for _, h := range s.homes {
		text += fmt.Sprint("|", h.phase, h.epoch, h.attempt, h.incarnation, h.lastRecordID == end.lastRecordID, h.pendingClaimID == RecordID{})
	}
	return text
}

// successors returns all states that one step leads to.
func (s *modelState) successors() []*modelState {
	var states []*modelState
	addSuccessor := func(f func(c *modelState)) {
		c := s.clone()
		f(c)
		states = append(states, c)
	}
	for i := range s.homes {
		for _, f := range s.homeTransitions(i) {
			addSuccessor(f)
		}
	}
	for i := range s.inTransit {
		addSuccessor(func(c *modelState) { c.deliverOrder(i) })
		addSuccessor(func(c *modelState) { c.inTransit = append(c.inTransit[:i], c.inTransit[i+1:]...) })
	}
	if s.incarnation <= maxModelRestarts {
		addSuccessor(func(c *modelState) {
			c.incarnation++
			c.attempts = order.NewAttemptRegistry(c.incarnation)
		})
	}
	return states
}

// homeTransitions returns the steps that a home may take next. A home that is paused or
// has crashed is one that takes none of them.
func (s *modelState) homeTransitions(i int) []func(c *modelState) {
	h := s.homes[i]
	switch h.phase {
	case notHeld:
		if s.ends[modelProgram].epoch < maxModelEpoch {
			return []func(c *modelState){func(c *modelState) { c.takeOver(i) }}
		}
	case held:
		transitions := []func(c *modelState){func(c *modelState) { c.reportNotRun(i) }}
		if h.attempt < maxModelAttempts {
			transitions = append(transitions, func(c *modelState) { c.beginClaim(i) })
		}
		return transitions
	case claimPending:
		return []func(c *modelState){func(c *modelState) { c.appendClaim(i) }}
	case claimRecorded:
		return []func(c *modelState){func(c *modelState) { c.sendOrder(i) }}
	case orderSent, ledgerQuery:
		return []func(c *modelState){func(c *modelState) { c.queryLedger(i) }}
	}
	return nil
}

// takeOver reads the log and appends an adopted record.
func (s *modelState) takeOver(i int) {
	end := s.ends[modelProgram]
	r := s.newRecord(end.epoch+1, end.lastRecordID, Adopted())
	if !s.ends.accept(r, NewPosition(1, 0)) {
		return
	}
	h := modelHome{phase: held, epoch: end.epoch + 1, lastRecordID: r.ID(), attempt: s.claimedAttempt}
	if s.claimedAttempt > 0 && s.outcome == "" {
		h.phase, h.incarnation = ledgerQuery, s.claimedIncarnation
	}
	if s.outcome == "ran" || s.outcome == "doubt" {
		h.phase = outcomeKnown
	}
	s.homes[i] = h
}

// beginClaim starts to write a claim. appendClaim, a later step, adds it to the log.
func (s *modelState) beginClaim(i int) {
	h := &s.homes[i]
	r := s.newRecord(h.epoch, h.lastRecordID, Claimed(program.NewClaim(program.ClaimConfig{Attempt: h.attempt + 1})))
	h.attempt++
	h.incarnation = s.incarnation
	h.pendingClaimID = r.ID()
	h.phase = claimPending
	if s.mutation == sendBeforeClaim {
		s.inTransit = append(s.inTransit, sentOrder{home: i, epoch: h.epoch, attempt: h.attempt, incarnation: h.incarnation})
	}
}

// appendClaim appends the pending claim of a home to the log.
func (s *modelState) appendClaim(i int) {
	h := &s.homes[i]
	r := NewRecord(RecordConfig{
		ID: h.pendingClaimID, Program: modelProgram, Epoch: h.epoch, Previous: h.lastRecordID,
		Body: Claimed(program.NewClaim(program.ClaimConfig{Attempt: h.attempt})),
	})
	if !s.ends.accept(r, NewPosition(2, 0)) {
		h.phase = notHeld
		return
	}
	h.lastRecordID = r.ID()
	h.phase = claimRecorded
	s.claimedAttempt, s.claimedIncarnation, s.outcome = h.attempt, h.incarnation, ""
}

// sendOrder sends the order of a home whose claim is recorded.
func (s *modelState) sendOrder(i int) {
	h := &s.homes[i]
	s.inTransit = append(s.inTransit, sentOrder{home: i, epoch: h.epoch, attempt: h.attempt, incarnation: h.incarnation})
	h.phase = orderSent
}

func (s *modelState) newRequest(epoch uint64, attempt uint32, incarnation uint64) order.Request {
	return order.NewRequest(order.RequestConfig{Key: order.NewKey(modelProgram, 1, attempt), Epoch: epoch, Incarnation: incarnation})
}

// deliverOrder lets a sent order reach the service. The answer does not reach the home: it
// learns the outcome by queryLedger.
func (s *modelState) deliverOrder(i int) {
	sent := s.inTransit[i]
	s.inTransit = append(s.inTransit[:i], s.inTransit[i+1:]...)
	if s.mutation == ignoreIncarnation {
		sent.incarnation = s.incarnation
	}
	first, err := s.attempts.Register(s.newRequest(sent.epoch, sent.attempt, sent.incarnation))
	if err == nil && first {
		s.executions++
		s.ranAttempt = sent.attempt
	}
}

// queryLedger queries the ledger for the outcome of a claim and records the outcome.
func (s *modelState) queryLedger(i int) {
	h := &s.homes[i]
	incarnation := h.incarnation
	if s.mutation == ignoreIncarnation {
		incarnation = s.incarnation
	}
	attempts := s.attempts
	if s.mutation == queryWithoutRegistering {
		attempts = s.attempts.Clone()
	}
	first, err := attempts.Register(s.newRequest(h.epoch, h.attempt, incarnation))
	switch {
	case order.KindOf(err) == order.KindIncarnationMismatch && err != nil:
		s.appendOutcome(i, "doubt")
	case err != nil:
		h.phase = notHeld
	case first:
		s.appendOutcome(i, "not run")
	case s.executions > 0 && s.ranAttempt == h.attempt:
		s.appendOutcome(i, "ran")
	default:
		s.appendOutcome(i, "not run")
	}
}

// appendOutcome records the outcome of the order, unless another home has taken over.
func (s *modelState) appendOutcome(i int, outcome string) {
	h := &s.homes[i]
	r := s.newRecord(h.epoch, h.lastRecordID, Settled(program.Ran, program.Answer{}))
	if !s.ends.accept(r, NewPosition(3, 0)) {
		h.phase = notHeld
		return
	}
	h.lastRecordID = r.ID()
	s.outcome = outcome
	h.phase = outcomeKnown
	if outcome == "not run" {
		h.phase = held
	}
}

// reportNotRun tells the caller that the order did not run, once a valid void record
// proves that no other home has taken over.
func (s *modelState) reportNotRun(i int) {
	h := &s.homes[i]
	r := s.newRecord(h.epoch, h.lastRecordID, Void())
	if !s.ends.accept(r, NewPosition(4, 0)) {
		h.phase = notHeld
		return
	}
	h.lastRecordID = r.ID()
	h.phase = outcomeKnown
	// With any outcome but "not run", a home that takes over does not claim the order again.
	s.outcome = "ran"
	s.reportedOutcome = "not run"
}

// violation describes the safety property that the state violates, empty when none.
func (s *modelState) violation() string {
	if s.executions > 1 {
		return "the order ran more than once"
	}
	if s.reportedOutcome == "not run" && s.executions > 0 {
		return "the order was reported as not run, but it ran"
	}
	return ""
}

// explore visits the reachable states in breadth-first order until one violates a safety
// property. It returns the number of states visited and the violation, empty when none.
func explore(m mutation) (int, string) {
	seen := map[string]bool{}
	queue := []*modelState{newModel(m)}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		stateKey := s.key()
		if seen[stateKey] {
			continue
		}
		seen[stateKey] = true
		if problem := s.violation(); problem != "" {
			return len(seen), problem
		}
		queue = append(queue, s.successors()...)
	}
	return len(seen), ""
}

// TestModelOfOrderAndTakeoverHasNoViolation checks that no reachable state of the model
// violates a safety property. A small number of states would mean that steps are missing
// from the model.
func TestModelOfOrderAndTakeoverHasNoViolation(t *testing.T) {
	states, violation := explore(noMutation)
	t.Logf("visited %d states", states)
	require.Empty(t, violation)
	require.Greater(t, states, 1000)
}

// TestModelDetectsDisabledMechanisms checks that the model finds a violation when any one of
// the safety mechanisms is switched off.
func TestModelDetectsDisabledMechanisms(t *testing.T) {
	for m := noMutation + 1; m < mutationCount; m++ {
		t.Run(fmt.Sprint(m), func(t *testing.T) {
			_, violation := explore(m)
			require.NotEmpty(t, violation)
		})
	}
}
