package home

import (
	"context"

	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/quarantine"
)

// Engine is the model engine whose calls a home schedules.
type Engine interface {
	// Complete generates an answer and passes its text to emit piece by piece;
	// a piece is valid only until emit returns. Errors are of type
	// *program.Error: outcome program.NotRun means that the engine did no work,
	// and kind program.KindUnavailable with another outcome is treated as a
	// crash of the engine.
	Complete(ctx context.Context, p Prompt, emit func(text []byte)) (Completion, error)
	// Release frees the cache that the engine holds for a program. Releasing a
	// program that holds none is not an error.
	Release(ctx context.Context, id program.ID) error
}

// Journal stores the records of programs in the log.
type Journal interface {
	// Commit writes a record and returns its position, see history.Committer.
	// An error of history.KindSuperseded means that another home wrote the next
	// record of the program first.
	Commit(ctx context.Context, r history.Record) (history.Position, error)
	// Load reads the state of a program, see history.Committer. An error of
	// history.KindNotFound means that the journal has no record of it.
	Load(ctx context.Context, id program.ID) (*history.LoadedProgram, error)
}

// Codec encodes the records that handles carry.
type Codec interface {
	// Encode returns the encoded form of records.
	Encode(records []history.Record) ([]byte, error)
	// Decode returns the records that Encode encoded.
	Decode(data []byte) ([]history.Record, error)
}

// CrashTracker tracks the requests during which an engine crashed.
type CrashTracker interface {
	// Verdict returns whether a request is clear, suspect or quarantined.
	Verdict(request program.Digest) quarantine.Verdict
	// Report publishes a crash, or that a suspect request ran without one, to
	// all homes.
	Report(ctx context.Context, e quarantine.Event) error
}

// ServiceClient sends calls and orders to the instances that serve plain
// services.
type ServiceClient interface {
	// Locate returns an instance that serves a service and the incarnation of
	// its ledger of orders.
	Locate(service string) (instance string, incarnation uint64, err error)
	// Run sends a call or an order to an instance. Errors are of type
	// *order.Error.
	Run(ctx context.Context, instance string, r order.Request) (order.Reply, error)
	// Query asks the ledger of an instance for the outcome of an order.
	Query(ctx context.Context, instance string, r order.Request) (order.Reply, error)
}

// ConfigurationSource supplies the configuration in force.
type ConfigurationSource interface {
	// Current returns the configuration in force, which must not be nil.
	Current() *configuration.Configuration
}

// Sink receives the text of an answer piece by piece; a piece is valid only
// until the function returns. An error ends the delivery but not the call,
// which continues without a reader.
type Sink func(text []byte) error

// Prompt is a request for one completion by the engine.
type Prompt struct {
	config PromptConfig
}

// PromptConfig holds the fields of a Prompt.
type PromptConfig struct {
	// Program is the program that makes the call; the engine keys its prompt
	// cache by it.
	Program program.ID
	// Model is the model to use, empty for the engine's default.
	Model string
	// Messages holds the whole history followed by the new messages.
	Messages []program.Message
	// MaxTokens is the most tokens to generate, without those of ResumeFrom.
	MaxTokens int64
	// Rank is the priority of the request at the engine.
	Rank class.Rank
	// ResumeFrom is the beginning of the answer, generated earlier, that the
	// engine continues; empty for a new answer.
	ResumeFrom string
}

// NewPrompt returns a Prompt with the fields of c.
func NewPrompt(c PromptConfig) Prompt { return Prompt{config: c} }

// Program returns the program that makes the call.
func (p Prompt) Program() program.ID { return p.config.Program }

// Model returns the model to use, empty for the engine's default.
func (p Prompt) Model() string { return p.config.Model }

// Messages returns the whole history followed by the new messages.
func (p Prompt) Messages() []program.Message { return p.config.Messages }

// MaxTokens returns the most tokens to generate, without those of ResumeFrom.
func (p Prompt) MaxTokens() int64 { return p.config.MaxTokens }

// ResumeFrom returns the text that the engine continues, empty for a new
// answer.
func (p Prompt) ResumeFrom() string { return p.config.ResumeFrom }

// Rank returns the priority of the request at the engine.
func (p Prompt) Rank() class.Rank { return p.config.Rank }

// Completion is what an engine reports at the end of an answer.
type Completion struct {
	usage      program.Usage
	stopReason program.FinishReason
}

// NewCompletion returns a Completion.
func NewCompletion(usage program.Usage, stop program.FinishReason) Completion {
	return Completion{usage: usage, stopReason: stop}
}

// Usage returns the tokens that the engine counted for the request; the text of
// ResumeFrom counts as part of the prompt.
func (c Completion) Usage() program.Usage { return c.usage }

// StopReason returns why the engine stopped generating.
func (c Completion) StopReason() program.FinishReason { return c.stopReason }
