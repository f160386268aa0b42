package history

import (
	"github.com/lavendervale/lavendervale/program"
)

// Step is the kind of a record.
type Step uint8

// Kinds of records.
const (
	StepUnknown Step = iota
	StepStarted
	StepTurn
	StepClaimed
	StepSettled
	StepAdopted
	StepSnapshot
	StepFinished
	StepVoid
	StepSplit
	StepUnsplit
	stepCount
)

var stepNames = [...]string{
	"unknown", "started", "turn", "claimed", "settled", "adopted", "snapshot", "finished", "void", "split", "unsplit",
}

// String returns the name of the step.
func (s Step) String() string {
	if s < stepCount {
		return stepNames[s]
	}
	return "unknown"
}

// Body is what a record says happened.
type Body struct {
	step     Step
	started  program.Config
	messages []program.Message
	answer   program.Answer
	outcome  program.Outcome
	claim    *program.Claim
	snapshot *program.Snapshot
	canceled bool
	child    program.ID
	tokens   int64
}

// Started returns the body of a program's first record.
func Started(c program.Config) Body { return Body{step: StepStarted, started: c} }

// Turn returns the body for an answered call that has no side effect.
func Turn(messages []program.Message, a program.Answer) Body {
	return Body{step: StepTurn, messages: messages, answer: a}
}

// Claimed returns the body that goes before an order is sent.
func Claimed(c *program.Claim) Body { return Body{step: StepClaimed, claim: c} }

// Settled returns the body for an order whose outcome is known.
func Settled(outcome program.Outcome, a program.Answer) Body {
	return Body{step: StepSettled, outcome: outcome, answer: a}
}

// Adopted returns the body that moves a program to another home.
func Adopted() Body { return Body{step: StepAdopted} }

// Snapshot returns the body that holds the whole state of a program.
func Snapshot(s *program.Snapshot) Body { return Body{step: StepSnapshot, snapshot: s} }

// Finished returns the body that ends a program.
func Finished(canceled bool) Body { return Body{step: StepFinished, canceled: canceled} }

// Void returns the body that changes nothing but takes the place of another record.
func Void() Body { return Body{step: StepVoid} }

// Split returns the body that reserves budget for a child.
func Split(child program.ID, tokens int64) Body {
	return Body{step: StepSplit, child: child, tokens: tokens}
}

// Unsplit returns the body that ends the reservation of a child.
func Unsplit(child program.ID, used int64) Body {
	return Body{step: StepUnsplit, child: child, tokens: used}
}

// Step returns the kind of the record.
func (b Body) Step() Step { return b.step }

// Started returns the configuration of a started program.
func (b Body) Started() program.Config { return b.started }

// Messages returns the new messages of a turn.
func (b Body) Messages() []program.Message { return b.messages }

// Answer returns the answer of a turn or settlement.
func (b Body) Answer() program.Answer { return b.answer }

// Outcome returns the outcome of a settlement.
func (b Body) Outcome() program.Outcome { return b.outcome }

// Claim returns the claim.
func (b Body) Claim() *program.Claim { return b.claim }

// Snapshot returns the whole state.
func (b Body) Snapshot() *program.Snapshot { return b.snapshot }

// Canceled reports whether the program ended by cancellation.
func (b Body) Canceled() bool { return b.canceled }

// Child returns the child of a split.
func (b Body) Child() program.ID { return b.child }

// Tokens returns the tokens of a split, or those spent at its end.
func (b Body) Tokens() int64 { return b.tokens }
