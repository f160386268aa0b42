package class

import (
	"fmt"
	"time"
)

// Rank is the priority of a class; a lower value goes first.
type Rank uint8

// The ranks.
const (
	// Urgent work goes before background work.
	Urgent Rank = iota
	// Background work gets what urgent work leaves, and at least its floor.
	Background
	// Ranks is the number of ranks.
	Ranks
)

var rankNames = [...]string{"urgent", "background"}

// Class is a class of programs; its settings are valid.
type Class struct {
	config Config
}

// Config holds the settings of a Class.
type Config struct {
	// Name is the name by which callers select the class.
	Name string
	// Rank is the priority of the class.
	Rank Rank
	// Target is the time within which a whole program must finish.
	Target time.Duration
	// Worth is the relative value of a program of this class. The floors of the
	// ranks are derived from worth per second of target.
	Worth float64
	// Budget is the number of tokens that a program may spend.
	Budget int64
	// Model is the name of the model that serves the class.
	Model string
	// MaxTurns bounds the number of calls of a program; 0 means no bound.
	MaxTurns int
	// MaxRepeats bounds the number of equal calls in a row; 0 means no bound.
	MaxRepeats int
}

// New returns a class. It returns an *Error of kind KindInvalid, which names the
// setting, when one is missing or out of range.
func New(c Config) (*Class, error) {
	switch {
	case c.Name == "":
		return nil, &Error{operation: "check class", kind: KindInvalid, cause: fmt.Errorf("class has no name")}
	case c.Rank >= Ranks:
		return nil, newInvalidError(c.Name, "rank %d is not known", c.Rank)
	case c.Target <= 0:
		return nil, newInvalidError(c.Name, "target is %v, want more than 0", c.Target)
	case c.Worth <= 0:
		return nil, newInvalidError(c.Name, "worth is %v, want more than 0", c.Worth)
	case c.Budget <= 0:
		return nil, newInvalidError(c.Name, "budget is %d tokens, want more than 0", c.Budget)
	case c.MaxTurns < 0 || c.MaxRepeats < 0:
		return nil, newInvalidError(c.Name, "max-turns and max-repeats must not be negative")
	}
	return &Class{config: c}, nil
}

// ParseRank returns the rank with the given name, or an *Error of kind KindInvalid.
func ParseRank(name string) (Rank, error) {
	for i, n := range rankNames {
		if n == name {
			return Rank(i), nil
		}
	}
	return 0, &Error{operation: "parse rank", kind: KindInvalid, cause: fmt.Errorf("rank %q is not one of urgent, background", name)}
}

// String returns the name of the rank, or "unknown" for an invalid one.
func (r Rank) String() string {
	if r < Ranks {
		return rankNames[r]
	}
	return "unknown"
}

// Name returns the name by which callers select the class.
func (c *Class) Name() string { return c.config.Name }

// Rank returns the rank of the class.
func (c *Class) Rank() Rank { return c.config.Rank }

// Target returns the time within which a whole program must finish.
func (c *Class) Target() time.Duration { return c.config.Target }

// Worth returns the relative value of a program of this class.
func (c *Class) Worth() float64 { return c.config.Worth }

// Budget returns the number of tokens that a program may spend.
func (c *Class) Budget() int64 { return c.config.Budget }

// Model returns the name of the model that serves the class.
func (c *Class) Model() string { return c.config.Model }

// MaxTurns returns the bound on the number of calls of a program; 0 means no bound.
func (c *Class) MaxTurns() int { return c.config.MaxTurns }

// MaxRepeats returns the bound on equal calls in a row; 0 means no bound.
func (c *Class) MaxRepeats() int { return c.config.MaxRepeats }
