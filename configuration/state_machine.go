package configuration

import "time"

// NoVersion is the version in force before anything was published.
const NoVersion int64 = -1

// Record is the log record of a published configuration.
type Record struct {
	version int64
	offset  int64
	base    int64
	author  string
	text    string
	time    time.Time
}

// RecordConfig holds the contents of a Record.
type RecordConfig struct {
	// Version is the version of an accepted configuration, 0 before the decision on it.
	Version int64
	// Offset is the position in the log stream.
	Offset int64
	// Base is the version that this one was made from, NoVersion for none.
	Base int64
	// Author names the operator who published it.
	Author string
	// Text is the source text of the configuration.
	Text string
	// Time is when it was published.
	Time time.Time
}

// NewRecord returns a Record with the given contents.
func NewRecord(c RecordConfig) Record {
	return Record{version: c.Version, offset: c.Offset, base: c.Base, author: c.Author, text: c.Text, time: c.Time}
}

// Version returns the version of an accepted configuration, 0 before the decision on it.
func (r Record) Version() int64 { return r.version }

// Offset returns the position in the log stream.
func (r Record) Offset() int64 { return r.offset }

// Base returns the version that this one was made from, NoVersion for none.
func (r Record) Base() int64 { return r.base }

// Author returns the name of the operator who published the record.
func (r Record) Author() string { return r.author }

// Text returns the source text of the configuration.
func (r Record) Text() string { return r.text }

// Time returns when the record was published.
func (r Record) Time() time.Time { return r.time }

// Parser parses the source text of a configuration.
type Parser func(text string) (*Configuration, error)

// StateMachine decides from the order of the log which configuration is in force. A record is
// accepted only if it was made from the version in force, so that of two operators who edit
// the same version only the first succeeds. It is not safe for concurrent use.
type StateMachine struct {
	parse   Parser
	version int64
	record  Record
	current *Configuration
}

// NewStateMachine returns a state machine with NoVersion and an empty configuration in
// force.
func NewStateMachine(parse Parser) *StateMachine {
	return &StateMachine{parse: parse, version: NoVersion, current: Empty()}
}

// Version returns the version in force, NoVersion before the first accepted record.
func (m *StateMachine) Version() int64 { return m.version }

// Record returns the record in force, the zero Record before the first.
func (m *StateMachine) Record() Record { return m.record }

// Current returns the configuration in force.
func (m *StateMachine) Current() *Configuration { return m.current }

// Apply puts a record of the log in force. It returns an error of KindConflict when the record
// was not made from the version in force, and KindInvalid when its text can't be parsed. The
// version of an accepted record is its offset, or the version in force plus one after the log
// restarted with lower offsets, so that versions always grow.
func (m *StateMachine) Apply(r Record) error {
	const op = "apply configuration"
	if r.base != m.version {
		return Errorf(op, KindConflict, "offset %d was made from version %d, but %d is in force", r.offset, r.base, m.version)
	}
	configuration, err := m.parse(r.text)
	if err != nil {
		return Errorf(op, KindInvalid, "offset %d: %w", r.offset, err)
	}
	r.version = max(m.version+1, r.offset)
	m.accept(r, configuration)
	return nil
}

// Install puts a record that another process has accepted in force, if its version is newer.
// It returns an error of KindInvalid when the text can't be parsed.
func (m *StateMachine) Install(r Record) error {
	if r.version <= m.version {
		return nil
	}
	configuration, err := m.parse(r.text)
	if err != nil {
		return Errorf("install configuration", KindInvalid, "version %d: %w", r.version, err)
	}
	m.accept(r, configuration)
	return nil
}

func (m *StateMachine) accept(r Record, configuration *Configuration) {
	m.version = r.version
	m.record = r
	m.current = configuration
}
