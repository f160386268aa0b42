package history

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const recordIDSize = 16

// RecordID is unique to one record; a record appended twice keeps it.
type RecordID [recordIDSize]byte

// NewRecordID returns a random id.
func NewRecordID() RecordID {
	var id RecordID
	_, _ = rand.Read(id[:])
	return id
}

// RecordIDFromBytes returns the id stored in b; the zero id for an empty b.
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

// Record is one step of a program.
type Record struct {
	config RecordConfig
}

// RecordConfig describes a Record.
type RecordConfig struct {
	// ID is unique to the record.
	ID RecordID
	// Program is the program the record belongs to.
	Program program.ID
	// Epoch counts the adoptions of the program.
	Epoch uint64
	// Previous is the record this one follows, zero for the first.
	Previous RecordID
	// PreviousPosition is where the previous record stands, NoPosition when unknown.
	PreviousPosition Position
	// Home is the instance that wrote the record.
	Home string
	// Time is when it was written.
	Time time.Time
	// Body is what happened.
	Body Body
}

// NewRecord returns a Record.
func NewRecord(c RecordConfig) Record { return Record{config: c} }

// ID returns the unique id.
func (r Record) ID() RecordID { return r.config.ID }

// Program returns the program the record belongs to.
func (r Record) Program() program.ID { return r.config.Program }

// Epoch returns the count of adoptions.
func (r Record) Epoch() uint64 { return r.config.Epoch }

// Previous returns the record this one follows.
func (r Record) Previous() RecordID { return r.config.Previous }

// PreviousPosition returns where the previous record stands.
func (r Record) PreviousPosition() Position { return r.config.PreviousPosition }

// Home returns the instance that wrote the record.
func (r Record) Home() string { return r.config.Home }

// Time returns when the record was written.
func (r Record) Time() time.Time { return r.config.Time }

// Body returns what happened.
func (r Record) Body() Body { return r.config.Body }

// withPreviousPosition returns the record with the place of the one before.
func (r Record) withPreviousPosition(p Position) Record {
	r.config.PreviousPosition = p
	return r
}
