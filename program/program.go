package program

import (
	"fmt"
	"time"
)

// State tells whether a program is active or how it ended.
type State uint8

// States of a program.
const (
	// Active means that the program accepts calls.
	Active State = iota
	// Finished means that the caller finished the program.
	Finished
	// Canceled means that the program was canceled.
	Canceled
	stateCount
)

var stateNames = [...]string{"active", "finished", "canceled"}

// ParseState returns the state with the given name, or an error of KindInvalid when
// there is none.
func ParseState(name string) (State, error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return 0, Errorf("parse state", KindInvalid, "state %q is not one of active, finished, canceled", name)
}

// String returns the name of the state.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "unknown"
}

// Config holds what is fixed when a program starts.
type Config struct {
	// Caller is the name of the caller that started the program.
	Caller string
	// Key is the idempotency key that the caller chose.
	Key string
	// Class is the name of the program's class.
	Class string
	// BudgetTokens is the number of tokens that the program may spend.
	BudgetTokens int64
	// MaxTurns limits the number of calls, 0 for no limit.
	MaxTurns int
	// MaxRepeats limits the number of equal calls in a row, 0 for no limit.
	MaxRepeats int
	// Parent is the program that started this one as its child, or zero.
	Parent ID
	// ParentHome is the name of the instance that is the parent's home.
	ParentHome string
	// StartedAt is when the program started.
	StartedAt time.Time
}

// Program is the state of one program. It is not safe for concurrent use: its home
// serializes access.
type Program struct {
	config Config
	id     ID
	// epoch counts how often another home has taken the program over.
	epoch   uint64
	state   State
	history []Message
	// digestByTurn holds the digest of the history at each turn, starting at turn 0.
	digestByTurn []Digest
	// historyTokens is the number of prompt tokens that history takes.
	historyTokens int64
	budget        Budget
	// reservedByChild holds the tokens reserved for each child. The entry of a settled
	// child stays with 0 tokens, so that a repeated request reserves nothing again.
	reservedByChild map[ID]int64
	// running is the reservation of the running call, or nil.
	running *Reservation
	// claim is the order that may have run without a known result, or nil.
	claim *Claim
	// claimAttempts counts the claims that were made for the next call.
	claimAttempts uint32
	lastAnswer    *Answer
	// repeats counts how often in a row the latest call repeated the one before it.
	repeats int
	endedAt time.Time
	// serviceTime is the total time of the answered calls, without queueing.
	serviceTime time.Duration
}

// New returns an active program that has run no call.
func New(c Config) *Program {
	return &Program{
		config: c, id: NewID(c.Caller, c.Key), budget: NewBudget(c.BudgetTokens),
		digestByTurn: []Digest{{}}, reservedByChild: map[ID]int64{},
	}
}

// Config returns what was fixed when the program started.
func (p *Program) Config() Config { return p.config }

// ID returns the program's ID, which is derived from its caller and key.
func (p *Program) ID() ID { return p.id }

// Caller returns the name of the caller that started the program.
func (p *Program) Caller() string { return p.config.Caller }

// Key returns the idempotency key that the caller chose.
func (p *Program) Key() string { return p.config.Key }

// Class returns the name of the program's class.
func (p *Program) Class() string { return p.config.Class }

// Parent returns the program that started this one as its child, or zero.
func (p *Program) Parent() ID { return p.config.Parent }

// ParentHome returns the name of the instance that is the parent's home.
func (p *Program) ParentHome() string { return p.config.ParentHome }

// StartedAt returns when the program started.
func (p *Program) StartedAt() time.Time { return p.config.StartedAt }

// EndedAt returns when the program finished or was canceled, or zero while it is active.
func (p *Program) EndedAt() time.Time { return p.endedAt }

// Epoch returns how often another home has taken the program over.
func (p *Program) Epoch() uint64 { return p.epoch }

// State returns whether the program is active or how it ended.
func (p *Program) State() State { return p.state }

// Turn returns the number of answered calls.
func (p *Program) Turn() uint32 { return uint32(len(p.digestByTurn) - 1) }

// NextNumber returns the number of the first call that is not answered yet.
func (p *Program) NextNumber() uint32 { return p.Turn() + 1 }

// Digest returns the digest of the history up to the current turn.
func (p *Program) Digest() Digest { return p.digestByTurn[len(p.digestByTurn)-1] }

// Budget returns a copy of the program's budget.
func (p *Program) Budget() Budget { return p.budget }

// History returns the messages of all answered model calls. The slice must not be
// modified.
func (p *Program) History() []Message { return p.history }

// HistoryTokens returns the tokens that the history takes in a prompt, based on the usage
// that the engine reported for the latest model call.
func (p *Program) HistoryTokens() int64 { return p.historyTokens }

// LastAnswer returns the answer to the latest answered call, or nil when there is none.
func (p *Program) LastAnswer() *Answer { return p.lastAnswer }

// ServiceTime returns the time that the program's answered calls took, without queueing.
func (p *Program) ServiceTime() time.Duration { return p.serviceTime }

// HasRunningCall reports whether a call is running.
func (p *Program) HasRunningCall() bool { return p.running != nil }

// Latency returns the time from the start of the program to its end, or to now while it
// is active.
func (p *Program) Latency(now time.Time) time.Duration {
	if p.state != Active {
		now = p.endedAt
	}
	return now.Sub(p.config.StartedAt)
}

// Handle returns a handle for the current state, without carried records. home and
// incarnation identify the issuing process; journalPosition is that of the program's
// latest record in the journal, or -1.
func (p *Program) Handle(home string, incarnation uint64, journalPosition int64) Handle {
	return NewHandle(HandleConfig{
		Program: p.id, Caller: p.config.Caller, Key: p.config.Key, Class: p.config.Class,
		Home: home, Incarnation: incarnation, Epoch: p.epoch, Turn: p.Turn(), Digest: p.Digest(),
		JournalPosition: journalPosition, Parent: p.config.Parent, ParentHome: p.config.ParentHome,
	})
}

// VerifyHandle checks that a handle refers to a state that this program has been in. It
// returns an error of KindDenied when the handle is for another program or caller, of
// KindMoved when the handle is newer than this copy of the program, and of KindConflict
// when the histories differ.
func (p *Program) VerifyHandle(h Handle) error {
	const op = "verify handle"
	switch {
	case h.Program() != p.id || h.Caller() != p.config.Caller:
		return Errorf(op, KindDenied, "handle is for another program or caller")
	case h.Epoch() > p.epoch:
		return newMovedError("handle has epoch %d, but this home only knows epoch %d", h.Epoch(), p.epoch)
	case h.Turn() > p.Turn():
		return newMovedError("handle has turn %d, but this home only knows turn %d", h.Turn(), p.Turn())
	case p.digestByTurn[h.Turn()] != h.Digest():
		return Errorf(op, KindConflict, "history in the handle differs from that of the program at turn %d", h.Turn())
	}
	return nil
}

// newMovedError returns an error of KindMoved for a handle that is newer than this copy
// of the program. Its outcome is InDoubt because another home may have run the call.
func newMovedError(format string, args ...any) error {
	return NewError(ErrorConfig{
		Op: "verify handle", Kind: KindMoved, Outcome: InDoubt, Err: fmt.Errorf(format, args...),
	})
}

// End finishes or cancels the program. It does nothing when the program is in that state
// already. It returns an error of KindEnded when the program ended otherwise, and of
// KindConflict when it is to finish while a call is running.
func (p *Program) End(state State, endedAt time.Time) error {
	const op = "end program"
	if p.state == state {
		return nil
	}
	if p.state != Active {
		return Errorf(op, KindEnded, "program is already %s", p.state)
	}
	if state == Finished && p.running != nil {
		return Errorf(op, KindConflict, "call %d is still running", p.running.call.number)
	}
	p.state = state
	p.endedAt = endedAt
	return nil
}
