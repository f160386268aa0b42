package program

import "strconv"

// CallType tells what a call does.
type CallType uint8

// Types of calls.
const (
	// ModelCall sends new messages to a model, which generates an answer.
	ModelCall CallType = iota
	// IdempotentCall calls a service method that may run more than once.
	IdempotentCall
	// OrderCall calls a service method that runs at most once.
	OrderCall
	callTypeCount
)

const (
	// maxBytesPerToken is an upper bound for the text of one token. A longer received
	// text cannot come from the call and is rejected.
	maxBytesPerToken = 64
	// meanBytesPerToken is the approximate length of one token's text.
	meanBytesPerToken = 4
)

var callTypeNames = [...]string{"model", "idempotent", "order"}

// String returns the name of the type.
func (t CallType) String() string {
	if t < callTypeCount {
		return callTypeNames[t]
	}
	return "unknown"
}

// Call is one step of a program as the caller sent it. It is immutable.
type Call struct {
	number       uint32
	callType     CallType
	messages     []Message
	maxTokens    int64
	service      string
	method       string
	payload      []byte
	receivedText string
	fingerprint  Digest
}

// CallConfig holds the content of a Call.
type CallConfig struct {
	// Number is the position of the call in its program, starting at 1.
	Number uint32
	// Type tells which of the fields below apply.
	Type CallType
	// Messages holds the messages of a model call that are not in the history yet.
	Messages []Message
	// MaxTokens is the largest number of tokens that a model call may generate.
	MaxTokens int64
	// Service, Method and Payload are the service, its method and the request body of
	// a service call.
	Service string
	Method  string
	Payload []byte
	// ReceivedText is the generated text that the caller received in an earlier attempt
	// at this model call; generation continues after it.
	ReceivedText string
}

// NewCall returns the call with the given content, or an error of KindInvalid when the
// content does not fit its type.
func NewCall(c CallConfig) (Call, error) {
	const op = "check call"
	switch {
	case c.Number == 0:
		return Call{}, Errorf(op, KindInvalid, "call number is 0, but calls are numbered from 1")
	case c.Type >= callTypeCount:
		return Call{}, Errorf(op, KindInvalid, "unknown call type %d", c.Type)
	case c.Type == ModelCall && len(c.Messages) == 0:
		return Call{}, Errorf(op, KindInvalid, "a model call needs at least one message")
	case c.Type == ModelCall && c.MaxTokens <= 0:
		return Call{}, Errorf(op, KindInvalid, "max_tokens is %d, must be at least 1", c.MaxTokens)
	case len(c.ReceivedText) > 0 && (c.Type != ModelCall || int64(len(c.ReceivedText)) > maxBytesPerToken*c.MaxTokens):
		return Call{}, Errorf(op, KindInvalid, "received text has %d bytes, but only a model call may have one, and max_tokens limits its length", len(c.ReceivedText))
	case c.Type != ModelCall && (c.Service == "" || c.Method == ""):
		return Call{}, Errorf(op, KindInvalid, "a service call needs a service and a method")
	}
	call := Call{
		number: c.Number, callType: c.Type, messages: c.Messages, maxTokens: c.MaxTokens,
		service: c.Service, method: c.Method, payload: c.Payload, receivedText: c.ReceivedText,
	}
	call.fingerprint = call.digest()
	return call, nil
}

// Number returns the position of the call in its program.
func (c Call) Number() uint32 { return c.number }

// Type returns what the call does.
func (c Call) Type() CallType { return c.callType }

// Messages returns the messages of a model call that are not in the history yet.
func (c Call) Messages() []Message { return c.messages }

// MaxTokens returns the largest number of tokens that a model call may generate.
func (c Call) MaxTokens() int64 { return c.maxTokens }

// Service returns the name of the called service.
func (c Call) Service() string { return c.service }

// Method returns the called method of the service.
func (c Call) Method() string { return c.method }

// Payload returns the request body of a service call.
func (c Call) Payload() []byte { return c.payload }

// ReceivedText returns the text that the caller received in an earlier attempt at the
// call.
func (c Call) ReceivedText() string { return c.receivedText }

// WithReceivedText returns a copy of the call with the given received text.
func (c Call) WithReceivedText(text string) Call {
	c.receivedText = text
	return c
}

// Fingerprint returns a digest of the content of the call. It covers neither the number
// nor the received text, so that a repeated call has the same fingerprint.
func (c Call) Fingerprint() Digest { return c.fingerprint }

func (c Call) digest() Digest {
	parts := []string{c.callType.String(), c.service, c.method, string(c.payload), strconv.FormatInt(c.maxTokens, 10)}
	for _, m := range c.messages {
		parts = append(parts, m.role.String(), m.content)
	}
	return Digest{}.chain(parts...)
}

// estimateReceivedTokens estimates the tokens of the received text, rounded up.
func (c Call) estimateReceivedTokens() int64 {
	return int64(len(c.receivedText)+meanBytesPerToken-1) / meanBytesPerToken
}
