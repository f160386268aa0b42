package program

import "time"

// FinishReason tells why an engine stopped generating.
type FinishReason uint8

// Reasons for an engine to stop.
const (
	// FinishStop means that the model ended its answer.
	FinishStop FinishReason = iota
	// FinishLength means that the answer reached its limit of tokens.
	FinishLength
)

// Usage counts the tokens of one model call.
type Usage struct {
	promptTokens int64
	cachedTokens int64
	outputTokens int64
}

// UsageConfig holds the token counts of a Usage.
type UsageConfig struct {
	// PromptTokens counts the tokens of the prompt, including cached ones.
	PromptTokens int64
	// CachedTokens counts the prompt tokens that the engine had in its prefix cache.
	CachedTokens int64
	// OutputTokens counts the generated tokens.
	OutputTokens int64
}

// NewUsage returns a Usage with the given counts.
func NewUsage(c UsageConfig) Usage {
	return Usage{promptTokens: c.PromptTokens, cachedTokens: c.CachedTokens, outputTokens: c.OutputTokens}
}

// PromptTokens returns the tokens of the prompt, including cached ones.
func (u Usage) PromptTokens() int64 { return u.promptTokens }

// CachedTokens returns the prompt tokens that the engine had in its prefix cache.
func (u Usage) CachedTokens() int64 { return u.cachedTokens }

// OutputTokens returns the generated tokens.
func (u Usage) OutputTokens() int64 { return u.outputTokens }

// TotalTokens returns the tokens that are charged to a budget: prompt and output,
// whether cached or not.
func (u Usage) TotalTokens() int64 { return u.promptTokens + u.outputTokens }

// Timing holds the durations of a call.
type Timing struct {
	// Queue is the time that the call waited for a slot of the engine.
	Queue time.Duration
	// FirstToken is the time from the arrival of the call to the first token, 0 when
	// there is none.
	FirstToken time.Duration
	// Total is the time from the arrival of the call to the end of the answer.
	Total time.Duration
}

// Answer is the complete result of a call. It is immutable.
type Answer struct {
	// number and fingerprint identify the answered call.
	number       uint32
	fingerprint  Digest
	text         string
	payload      []byte
	usage        Usage
	finishReason FinishReason
	timing       Timing
	endpoint     string
	inDoubt      bool
}

// AnswerConfig holds the content of an Answer.
type AnswerConfig struct {
	// Call is the answered call; its number and fingerprint are kept.
	Call Call
	// Text is the text that a model generated, empty for a service call.
	Text string
	// Payload is the body that a service returned, nil for a model call.
	Payload []byte
	// Usage counts the tokens of a model call, zero for a service call.
	Usage Usage
	// FinishReason tells why the engine stopped generating.
	FinishReason FinishReason
	// Timing holds the durations of the call.
	Timing Timing
	// Endpoint is the name of the instance that ran the call.
	Endpoint string
	// InDoubt is set for an order whose outcome can never be determined.
	InDoubt bool
}

// NewAnswer returns the answer to c.Call.
func NewAnswer(c AnswerConfig) Answer {
	return Answer{
		number: c.Call.number, fingerprint: c.Call.fingerprint, text: c.Text, payload: c.Payload,
		usage: c.Usage, finishReason: c.FinishReason, timing: c.Timing, endpoint: c.Endpoint, inDoubt: c.InDoubt,
	}
}

// RestoreAnswer returns an answer read from the journal, which stores the number and
// the fingerprint of a call but not the call; c.Call is ignored.
func RestoreAnswer(number uint32, fingerprint Digest, c AnswerConfig) Answer {
	a := NewAnswer(c)
	a.number = number
	a.fingerprint = fingerprint
	return a
}

// Number returns the number of the answered call.
func (a Answer) Number() uint32 { return a.number }

// Fingerprint returns the fingerprint of the answered call.
func (a Answer) Fingerprint() Digest { return a.fingerprint }

// Text returns the text that a model generated.
func (a Answer) Text() string { return a.text }

// Payload returns the body that a service returned.
func (a Answer) Payload() []byte { return a.payload }

// Usage returns the token counts of a model call.
func (a Answer) Usage() Usage { return a.usage }

// FinishReason returns why the engine stopped generating.
func (a Answer) FinishReason() FinishReason { return a.finishReason }

// Timing returns the durations of the call.
func (a Answer) Timing() Timing { return a.timing }

// Endpoint returns the name of the instance that ran the call.
func (a Answer) Endpoint() string { return a.endpoint }

// InDoubt reports whether the answer is to an order whose outcome can never be
// determined.
func (a Answer) InDoubt() bool { return a.inDoubt }
