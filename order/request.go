package order

import (
	"fmt"
	"time"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/program"
)

// Key identifies one attempt at a service call.
type Key struct {
	program    program.ID
	callNumber uint32
	attempt    uint32
}

// NewKey returns the key of an attempt, from 1, at the call of a program with a number. A
// new attempt may be made only after proof that the previous one did not run.
func NewKey(id program.ID, callNumber, attempt uint32) Key {
	return Key{program: id, callNumber: callNumber, attempt: attempt}
}

// Program returns the program of the call.
func (k Key) Program() program.ID { return k.program }

// Number returns the number of the call within its program.
func (k Key) Number() uint32 { return k.callNumber }

// Attempt returns the number of the attempt at the call, which is the number of times the
// call has been claimed.
func (k Key) Attempt() uint32 { return k.attempt }

// String returns the idempotency key that is sent to the service. It is the same for all
// attempts at a call, so the attempt is not part of it.
func (k Key) String() string { return fmt.Sprintf("%s-%d", k.program, k.callNumber) }

// Request asks the process beside a service to make one call. It is immutable.
type Request struct {
	config RequestConfig
}

// RequestConfig describes a Request.
type RequestConfig struct {
	// Key identifies the attempt at the call.
	Key Key
	// Epoch is the number of times the program has been taken over; it grows with each
	// new home.
	Epoch uint64
	// Incarnation is the incarnation of the ledger at which the order was claimed. It is
	// 0 for an idempotent call, which no ledger keeps.
	Incarnation uint64
	// Idempotent is set for a call that may be repeated.
	Idempotent bool
	// Rank is the rank of the program, and Deadline the time by which it must finish.
	// They decide which waiting call is sent first.
	Rank     class.Rank
	Deadline time.Time
	// Service is the name of the service, Method the method to call, and Payload the
	// body of the call.
	Service string
	Method  string
	Payload []byte
}

// NewRequest returns the request that c describes.
func NewRequest(c RequestConfig) Request { return Request{config: c} }

// Key returns the key of the attempt at the call.
func (r Request) Key() Key { return r.config.Key }

// Epoch returns the number of times the program has been taken over.
func (r Request) Epoch() uint64 { return r.config.Epoch }

// Incarnation returns the incarnation of the ledger at which the order was claimed.
func (r Request) Incarnation() uint64 { return r.config.Incarnation }

// Idempotent reports whether the call may be repeated.
func (r Request) Idempotent() bool { return r.config.Idempotent }

// Rank returns the rank of the program.
func (r Request) Rank() class.Rank { return r.config.Rank }

// Deadline returns the time by which the program must finish.
func (r Request) Deadline() time.Time { return r.config.Deadline }

// Service returns the name of the service.
func (r Request) Service() string { return r.config.Service }

// Method returns the method to call.
func (r Request) Method() string { return r.config.Method }

// Payload returns the body of the call.
func (r Request) Payload() []byte { return r.config.Payload }

// Reply is the answer of a service.
type Reply struct {
	payload  []byte
	replayed bool
}

// NewReply returns a Reply with a payload; replayed is set when the call ran for an
// earlier request.
func NewReply(payload []byte, replayed bool) Reply {
	return Reply{payload: payload, replayed: replayed}
}

// Payload returns the body of the answer.
func (r Reply) Payload() []byte { return r.payload }

// Replayed reports whether the call ran for an earlier request.
func (r Reply) Replayed() bool { return r.replayed }
