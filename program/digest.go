package program

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// digestSize is the length of a Digest in bytes.
const digestSize = 16

// Digest is a truncated SHA-256 hash that identifies a history up to a turn, or the
// content of a call.
type Digest [digestSize]byte

// DigestFromBytes returns the digest stored in b, or an error of KindInvalid when b has
// another length than a digest.
func DigestFromBytes(b []byte) (Digest, error) {
	var d Digest
	if len(b) != digestSize {
		return d, Errorf("read digest", KindInvalid, "digest has %d bytes, must have %d", len(b), digestSize)
	}
	copy(d[:], b)
	return d, nil
}

// Bytes returns a copy of the digest as a slice.
func (d Digest) Bytes() []byte { return append([]byte(nil), d[:]...) }

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// RequestDigest returns the digest of the request for call c after the history d: the
// same call after another history has another digest.
func (d Digest) RequestDigest(c Call) Digest { return d.chain(c.fingerprint.String()) }

// chain returns the digest of the history d extended by parts. Each part is prefixed by
// its length, so that moving bytes from one part to the next changes the digest.
func (d Digest) chain(parts ...string) Digest {
	h := sha256.New()
	h.Write(d[:])
	var size [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:])
		h.Write([]byte(p))
	}
	var next Digest
	copy(next[:], h.Sum(nil))
	return next
}
