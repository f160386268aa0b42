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

// Engine is the model engine beside the home.
type Engine interface {
	// Complete generates an answer and emits its text as it comes, in pieces
	// that are only valid during the call; an error of program.NotRun means that
	// the engine did no work.
	Complete(ctx context.Context, p Prompt, emit func(text []byte)) (Completion, error)
	// Release frees the memory the engine holds for a program.
	Release(ctx context.Context, id program.ID) error
}

// Journal keeps the records of programs.
type Journal interface {
	// Commit writes a record, see history.Committer.
	Commit(ctx context.Context, r history.Record) (history.Position, error)
	// Load reads the state of a program, see history.Committer.
	Load(ctx context.Context, id program.ID) (*history.Loaded, error)
}

// Codec turns records into bytes and back.
type Codec interface {
	// Encode returns the bytes of some records.
	Encode(records []history.Record) ([]byte, error)
	// Decode returns the records of some bytes.
	Decode(data []byte) ([]history.Record, error)
}

// Crashes keeps the requests that have crashed engines.
type Crashes interface {
	// Verdict returns what is known of a request.
	Verdict(request program.Digest) quarantine.Verdict
	// Report tells every entry of an event.
	Report(ctx context.Context, e quarantine.Event) error
}

// Services reaches the processes beside plain services.
type Services interface {
	// Locate returns a process beside a service and the life of its ledger.
	Locate(service string) (instance string, incarnation uint64, err error)
	// Run makes a call at an instance.
	Run(ctx context.Context, instance string, r order.Request) (order.Reply, error)
	// Query asks the ledger of an instance for the outcome of an order.
	Query(ctx context.Context, instance string, r order.Request) (order.Reply, error)
}

// Configurations gives the configuration in force.
type Configurations interface {
	// Current returns the configuration in force.
	Current() *configuration.Configuration
}

// Sink takes the text of an answer as it comes; a piece is only valid during
// the call.
type Sink func(text []byte) error

// Prompt is what an engine is asked for.
type Prompt struct {
	config PromptConfig
}

// PromptConfig describes a Prompt.
type PromptConfig struct {
	// Program is the program that asks; the engine keeps its cache by it.
	Program program.ID
	// Model is the model to use, empty for the engine's own.
	Model string
	// Messages are the whole history and the new messages.
	Messages []program.Message
	// MaxTokens is the most to generate, in tokens.
	MaxTokens int64
	// Rank is the priority at the engine.
	Rank class.Rank
	// Resume is the text generated so far, which the engine goes on from.
	Resume string
}

// NewPrompt returns a Prompt.
func NewPrompt(c PromptConfig) Prompt { return Prompt{config: c} }

// Program returns the program that asks.
func (p Prompt) Program() program.ID { return p.config.Program }

// Model returns the model to use, empty for the engine's own.
func (p Prompt) Model() string { return p.config.Model }

// Messages returns the whole history and the new messages.
func (p Prompt) Messages() []program.Message { return p.config.Messages }

// MaxTokens returns the most to generate, in tokens.
func (p Prompt) MaxTokens() int64 { return p.config.MaxTokens }

// Resume returns the text generated so far, empty for a new answer.
func (p Prompt) Resume() string { return p.config.Resume }

// Rank returns the priority at the engine.
func (p Prompt) Rank() class.Rank { return p.config.Rank }

// Completion is what an engine reports at the end of an answer.
type Completion struct {
	usage program.Usage
	stop  program.FinishReason
}

// NewCompletion returns a Completion.
func NewCompletion(usage program.Usage, stop program.FinishReason) Completion {
	return Completion{usage: usage, stop: stop}
}

// Usage returns the tokens of the call.
func (c Completion) Usage() program.Usage { return c.usage }

// Stop returns why the engine ended.
func (c Completion) Stop() program.FinishReason { return c.stop }
