package configuration

import (
	"sync"
	"sync/atomic"
)

// snapshot is the immutable state that a Store swaps in atomically, so that readers need no
// lock.
type snapshot struct {
	version int64
	record  Record
	current *Configuration
}

// Store holds the configuration in force and recent decisions. It is safe for concurrent use.
type Store struct {
	// mu guards machine and history.
	mu      sync.Mutex
	machine *StateMachine
	// history holds the latest decisions, the oldest first.
	history []Decision
	current atomic.Pointer[snapshot]
}

// Decision is a record and whether it was accepted.
type Decision struct {
	// Record is the published record, with its version if it was accepted.
	Record Record
	// Err is why the record was refused, nil if it was accepted.
	Err error
}

const (
	// maxHistory bounds the decisions kept for operators.
	maxHistory = 256
)

// NewStore returns a store with NoVersion and an empty configuration in force.
func NewStore(parse Parser) *Store {
	s := &Store{machine: NewStateMachine(parse)}
	s.updateSnapshotLocked()
	return s
}

// Current returns the configuration in force.
func (s *Store) Current() *Configuration { return s.current.Load().current }

// Version returns the version in force, NoVersion before the first.
func (s *Store) Version() int64 { return s.current.Load().version }

// Record returns the record in force, the zero Record before the first.
func (s *Store) Record() Record { return s.current.Load().record }

// Apply applies a record of the log to the state machine and records the decision. It
// returns the errors of StateMachine.Apply.
func (s *Store) Apply(r Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.machine.Apply(r)
	if err == nil {
		r = s.machine.Record()
	}
	s.recordDecisionLocked(r, err)
	s.updateSnapshotLocked()
	return err
}

// Install puts a record that another process has accepted in force, if its version is newer.
// It returns the errors of StateMachine.Install.
func (s *Store) Install(r Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.machine.Version()
	err := s.machine.Install(r)
	if s.machine.Version() != before {
		s.recordDecisionLocked(r, err)
	}
	s.updateSnapshotLocked()
	return err
}

// History returns the latest decisions, at most maxHistory, in the order in which this
// process made or received them.
func (s *Store) History() []Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Decision(nil), s.history...)
}

// DecisionAt returns the latest decision on a record at an offset, or false when there is
// none yet or it is no longer kept.
func (s *Store) DecisionAt(offset int64) (Decision, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.history) - 1; i >= 0; i-- {
		if s.history[i].Record.Offset() == offset {
			return s.history[i], true
		}
	}
	return Decision{}, false
}

// Parse parses a text without putting the configuration in force.
func (s *Store) Parse(text string) (*Configuration, error) { return s.machine.parse(text) }

// recordDecisionLocked adds the decision on a record to the history unless it has one, because
// a record that is applied again is refused as a conflict with itself. The caller holds s.mu.
func (s *Store) recordDecisionLocked(r Record, err error) {
	for _, d := range s.history {
		if d.Record.Offset() == r.Offset() && d.Record.Time().Equal(r.Time()) {
			return
		}
	}
	s.history = append(s.history, Decision{Record: r, Err: err})
	if len(s.history) > maxHistory {
		s.history = s.history[len(s.history)-maxHistory:]
	}
}

// updateSnapshotLocked makes the state of the state machine visible to readers. The caller
// holds s.mu, except in NewStore.
func (s *Store) updateSnapshotLocked() {
	s.current.Store(&snapshot{version: s.machine.Version(), record: s.machine.Record(), current: s.machine.Current()})
}
