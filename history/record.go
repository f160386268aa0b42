package history

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const recordIDSize = 16 // bytes

// RecordID identifies one record. A record that is appended more than once keeps its id,
// so that readers recognize the repeat. The zero id stands for no record.
type RecordID [recordIDSize]byte

// NewRecordID returns a random id.
func NewRecordID() RecordID {
	var id RecordID
	_, _ = rand.Read(id[:])
	return id
}

// RecordIDFromBytes returns the id stored in b, the zero id when b is empty. A short b is
// padded with zero bytes, and bytes beyond the length of an id are ignored.
func RecordIDFromBytes(b []byte) RecordID {
	var id RecordID
	copy(id[:], b)
	return id
}

// Bytes returns the id as a new slice, nil for the zero id.
func (id RecordID) Bytes() []byte {
	if id == (RecordID{}) {
		return nil
	}
	return append([]byte(nil), id[:]...)
}

// String returns the id in hexadecimal.
func (id RecordID) String() string { return hex.EncodeToString(id[:]) }

// Record is one durable change of a program. It is immutable.
type Record struct {
	config RecordConfig
}

// RecordConfig describes a Record.
type RecordConfig struct {
	// ID identifies the record.
	ID RecordID
	// Program is the program the record belongs to.
	Program program.ID
	// Epoch is the number of times the program has been taken over, this record
	// included when it is of TypeAdopted.
	Epoch uint64
	// Previous is the id of the program's record that this one follows, zero for the
	// first.
	Previous RecordID
	// PreviousPosition is the position of the previous record in the stream. It is
	// NoPosition when unknown, and a relative position (see withinAppend) when both
	// records are in the same append.
	PreviousPosition Position
	// Home is the name of the instance that wrote the record.
	Home string
	// Time is when the record was written, by the clock of its home.
	Time time.Time
	// Body is the change that the record describes.
	Body Body
}

// NewRecord returns the record that c describes.
func NewRecord(c RecordConfig) Record { return Record{config: c} }

// ID returns the id of the record.
func (r Record) ID() RecordID { return r.config.ID }

// Program returns the program the record belongs to.
func (r Record) Program() program.ID { return r.config.Program }

// Epoch returns the number of times the program had been taken over.
func (r Record) Epoch() uint64 { return r.config.Epoch }

// Previous returns the id of the record that this one follows, zero for the first.
func (r Record) Previous() RecordID { return r.config.Previous }

// PreviousPosition returns the position of the previous record, which may be NoPosition
// or relative to the same append.
func (r Record) PreviousPosition() Position { return r.config.PreviousPosition }

// Home returns the name of the instance that wrote the record.
func (r Record) Home() string { return r.config.Home }

// Time returns when the record was written.
func (r Record) Time() time.Time { return r.config.Time }

// Body returns the change that the record describes.
func (r Record) Body() Body { return r.config.Body }

// withPreviousPosition returns a copy of the record with p as the position of the
// previous record.
func (r Record) withPreviousPosition(p Position) Record {
	r.config.PreviousPosition = p
	return r
}
