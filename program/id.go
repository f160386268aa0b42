package program

import (
	"crypto/sha256"
	"encoding/hex"
)

// idSize is the length of an ID in bytes.
const idSize = 16

// ID identifies a program. It is a truncated SHA-256 hash of the caller's name and the
// idempotency key, so a repeated start refers to the same program.
type ID [idSize]byte

// NewID returns the ID of the program that a caller starts with an idempotency key.
func NewID(caller, key string) ID {
	h := sha256.New()
	h.Write([]byte(caller))
	h.Write([]byte{0})
	h.Write([]byte(key))
	var id ID
	copy(id[:], h.Sum(nil))
	return id
}

// IDFromBytes returns the ID stored in b, or an error of KindInvalid when b has another
// length than an ID.
func IDFromBytes(b []byte) (ID, error) {
	var id ID
	if len(b) != idSize {
		return id, Errorf("read id", KindInvalid, "program id has %d bytes, must have %d", len(b), idSize)
	}
	copy(id[:], b)
	return id, nil
}

// Bytes returns a copy of the ID as a slice.
func (id ID) Bytes() []byte { return append([]byte(nil), id[:]...) }

// IsZero reports whether the ID is the zero value, which identifies no program.
func (id ID) IsZero() bool { return id == ID{} }

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }
