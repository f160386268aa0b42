package history

import (
	"github.com/lavendervale/lavendervale/program"
)

// RecordType tells which change of a program a record describes.
type RecordType uint8

// Types of records.
const (
	// TypeUnknown stands for a record that could not be decoded.
	TypeUnknown RecordType = iota
	// TypeStarted is the first record of a program and holds its configuration.
	TypeStarted
	// TypeTurn holds an answered model call or an answered idempotent service call.
	TypeTurn
	// TypeClaimed holds an order that is about to be sent to a service.
	TypeClaimed
	// TypeSettled holds the outcome of an order.
	TypeSettled
	// TypeAdopted moves the program to the home that wrote the record.
	TypeAdopted
	// TypeSnapshot holds the whole state of the program, so that earlier records are
	// not needed.
	TypeSnapshot
	// TypeFinished ends the program.
	TypeFinished
	// TypeVoid changes nothing. It supersedes any other record that follows the same
	// one.
	TypeVoid
	// TypeSplit reserves a part of the program's budget for a child program.
	TypeSplit
	// TypeUnsplit ends the reservation for a child program.
	TypeUnsplit
	recordTypeCount
)

var recordTypeNames = [...]string{
	"unknown", "started", "turn", "claimed", "settled", "adopted", "snapshot", "finished", "void", "split", "unsplit",
}

// String returns the name of the record type, "unknown" for an undefined value.
func (t RecordType) String() string {
	if t < recordTypeCount {
		return recordTypeNames[t]
	}
	return "unknown"
}

// Body is the content of a record. Which fields are set depends on its type.
type Body struct {
	recordType RecordType
	// config is set for TypeStarted.
	config program.Config
	// messages is set for a TypeTurn of a model call.
	messages []program.Message
	// answer is set for TypeTurn and TypeSettled.
	answer program.Answer
	// outcome is set for TypeSettled.
	outcome program.Outcome
	// claim is set for TypeClaimed.
	claim *program.Claim
	// snapshot is set for TypeSnapshot.
	snapshot *program.Snapshot
	// canceled is set for a TypeFinished that ends the program by cancellation.
	canceled bool
	// child is set for TypeSplit and TypeUnsplit.
	child program.ID
	// tokens is the number of tokens that TypeSplit reserves, or that the child of
	// TypeUnsplit has used.
	tokens int64
}

// Started returns the body of the first record of a program with configuration c.
func Started(c program.Config) Body { return Body{recordType: TypeStarted, config: c} }

// Turn returns the body for an answered call that is not an order. messages holds the
// messages that a model call added; it is empty for a service call.
func Turn(messages []program.Message, a program.Answer) Body {
	return Body{recordType: TypeTurn, messages: messages, answer: a}
}

// Claimed returns the body for an order that is about to be sent. The record must be in
// the log before the order is sent, so that a home that takes over the program knows
// that the order may have run.
func Claimed(c *program.Claim) Body { return Body{recordType: TypeClaimed, claim: c} }

// Settled returns the body for an order with its outcome; a is the answer that the
// program gets.
func Settled(outcome program.Outcome, a program.Answer) Body {
	return Body{recordType: TypeSettled, outcome: outcome, answer: a}
}

// Adopted returns the body that moves a program to the home that writes the record.
func Adopted() Body { return Body{recordType: TypeAdopted} }

// Snapshot returns the body with the whole state of a program.
func Snapshot(s *program.Snapshot) Body { return Body{recordType: TypeSnapshot, snapshot: s} }

// Finished returns the body that ends a program; canceled is set when it was canceled.
func Finished(canceled bool) Body { return Body{recordType: TypeFinished, canceled: canceled} }

// Void returns the body of a record that changes no state. Once such a record is valid,
// every other record that names the same previous record is superseded.
func Void() Body { return Body{recordType: TypeVoid} }

// Split returns the body that reserves tokens of the program's budget for a child.
func Split(child program.ID, tokens int64) Body {
	return Body{recordType: TypeSplit, child: child, tokens: tokens}
}

// Unsplit returns the body that ends the reservation for a child that used the given
// number of tokens.
func Unsplit(child program.ID, used int64) Body {
	return Body{recordType: TypeUnsplit, child: child, tokens: used}
}

// Type returns the type of the record.
func (b Body) Type() RecordType { return b.recordType }

// Config returns the configuration in a body of TypeStarted.
func (b Body) Config() program.Config { return b.config }

// Messages returns the messages that the call of a body of TypeTurn added.
func (b Body) Messages() []program.Message { return b.messages }

// Answer returns the answer in a body of TypeTurn or TypeSettled.
func (b Body) Answer() program.Answer { return b.answer }

// Outcome returns the outcome of the order in a body of TypeSettled.
func (b Body) Outcome() program.Outcome { return b.outcome }

// Claim returns the order in a body of TypeClaimed, nil for other types.
func (b Body) Claim() *program.Claim { return b.claim }

// Snapshot returns the state in a body of TypeSnapshot, nil for other types.
func (b Body) Snapshot() *program.Snapshot { return b.snapshot }

// Canceled reports whether a body of TypeFinished ends the program by cancellation.
func (b Body) Canceled() bool { return b.canceled }

// Child returns the child program in a body of TypeSplit or TypeUnsplit.
func (b Body) Child() program.ID { return b.child }

// Tokens returns the number of tokens that a body of TypeSplit reserves, or that the
// child of a body of TypeUnsplit has used.
func (b Body) Tokens() int64 { return b.tokens }
