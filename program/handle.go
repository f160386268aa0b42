package program

// Handle identifies a program and the latest state of it that the caller has seen. The
// caller returns it with the next request, so that another instance can find or rebuild
// that state. It is immutable.
type Handle struct {
	config HandleConfig
}

// HandleConfig holds the content of a Handle.
type HandleConfig struct {
	// Program is the ID of the program.
	Program ID
	// Caller is the name of the caller that started the program.
	Caller string
	// Key is the idempotency key that the caller started the program with.
	Key string
	// Class is the name of the program's class.
	Class string
	// Home is the name of the instance that owns the program.
	Home string
	// Incarnation identifies the run of the home's process that issued the handle.
	Incarnation uint64
	// Epoch counts how often another home has taken the program over.
	Epoch uint64
	// Turn counts the answered calls.
	Turn uint32
	// Digest identifies the program's history up to Turn.
	Digest Digest
	// JournalPosition is the position of the program's latest known record in the
	// journal, as a history.Position, or -1 when no record is known to be there.
	JournalPosition int64
	// Parent is the program that started this one as its child, or zero.
	Parent ID
	// ParentHome is the name of the instance that was the parent's home when this
	// program started.
	ParentHome string
	// CarriedRecords holds the encoded records that are not in the journal yet. The
	// handle carries them so that they are not lost with the home.
	CarriedRecords string
}

// NewHandle returns a Handle with the given content.
func NewHandle(c HandleConfig) Handle { return Handle{config: c} }

// Program returns the ID of the program.
func (h Handle) Program() ID { return h.config.Program }

// Caller returns the name of the caller that started the program.
func (h Handle) Caller() string { return h.config.Caller }

// Key returns the idempotency key that the caller started the program with.
func (h Handle) Key() string { return h.config.Key }

// Class returns the name of the program's class.
func (h Handle) Class() string { return h.config.Class }

// Home returns the name of the instance that owns the program.
func (h Handle) Home() string { return h.config.Home }

// Incarnation identifies the run of the home's process that issued the handle.
func (h Handle) Incarnation() uint64 { return h.config.Incarnation }

// Epoch returns how often another home has taken the program over.
func (h Handle) Epoch() uint64 { return h.config.Epoch }

// Turn returns the number of answered calls.
func (h Handle) Turn() uint32 { return h.config.Turn }

// Digest returns the digest of the program's history up to Turn.
func (h Handle) Digest() Digest { return h.config.Digest }

// JournalPosition returns the position of the program's latest known record in the
// journal, or -1 when no record is known to be there.
func (h Handle) JournalPosition() int64 { return h.config.JournalPosition }

// Parent returns the program that started this one as its child, or zero.
func (h Handle) Parent() ID { return h.config.Parent }

// ParentHome returns the name of the instance that was the parent's home when this
// program started.
func (h Handle) ParentHome() string { return h.config.ParentHome }

// CarriedRecords returns the encoded records that are not in the journal yet.
func (h Handle) CarriedRecords() string { return h.config.CarriedRecords }

// WithCarriedRecords returns a copy of the handle with the given encoded records.
func (h Handle) WithCarriedRecords(records string) Handle {
	h.config.CarriedRecords = records
	return h
}

// WithHome returns a copy of the handle with the given home.
func (h Handle) WithHome(home string) Handle {
	h.config.Home = home
	return h
}
