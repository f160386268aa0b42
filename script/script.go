package script

import (
	"time"

	"github.com/lavendervale/lavendervale/program"
)

// Action tells what a step does.
type Action uint8

// Actions of steps.
const (
	// Ask sends messages to the model.
	Ask Action = iota
	// Do calls a service method that may run more than once.
	Do
	// Order calls a service method that runs at most once.
	Order
	// Pause waits, as an agent does while a tool runs.
	Pause
	// Agent runs a sub-agent as a child program.
	Agent
	actionCount
)

var actionNames = [...]string{"ask", "do", "order", "pause", "agent"}

// String returns the name of the action.
func (a Action) String() string {
	if a < actionCount {
		return actionNames[a]
	}
	return "unknown"
}

// ParseAction returns the action with the given name, or false when there is none.
func ParseAction(name string) (Action, bool) {
	for i, n := range actionNames {
		if n == name {
			return Action(i), true
		}
	}
	return 0, false
}

// Script is a program as a list of steps. It is immutable.
type Script struct {
	config Config
}

// Config holds the content of a Script.
type Config struct {
	// Class is the name of the program's class.
	Class string
	// BudgetTokens is the number of tokens that the program may spend; 0 means the budget
	// of the class.
	BudgetTokens int64
	// Steps holds the steps, which run one after the other.
	Steps []Step
}

// New returns a script with the given content.
func New(c Config) *Script { return &Script{config: c} }

// Class returns the name of the program's class.
func (s *Script) Class() string { return s.config.Class }

// BudgetTokens returns the number of tokens that the program may spend; 0 means the budget
// of the class.
func (s *Script) BudgetTokens() int64 { return s.config.BudgetTokens }

// Steps returns the steps in order.
func (s *Script) Steps() []Step { return s.config.Steps }

// Step is one step of a script. It is immutable.
type Step struct {
	config StepConfig
}

// StepConfig holds the content of a Step.
type StepConfig struct {
	// Name identifies the step in reports.
	Name string
	// Action tells what the step does and which of the fields below apply.
	Action Action
	// Messages and MaxTokens are the new messages and the limit of generated tokens of
	// an Ask.
	Messages  []program.Message
	MaxTokens int64
	// Service, Method and Payload are the service, its method and the request body of a
	// Do or an Order.
	Service string
	Method  string
	Payload string
	// PauseTime is the length of a Pause.
	PauseTime time.Duration
	// Agent is the script that an Agent step runs.
	Agent *Script
}

// NewStep returns a step with the given content.
func NewStep(c StepConfig) Step { return Step{config: c} }

// Name returns the name that identifies the step in reports.
func (s Step) Name() string { return s.config.Name }

// Action returns what the step does.
func (s Step) Action() Action { return s.config.Action }

// Agent returns the script that the step runs as a sub-agent, or nil.
func (s Step) Agent() *Script { return s.config.Agent }
