package seal

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/lavendervale/lavendervale/adapter/convert"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// KeyBytes is the length of a key, which selects AES-256.
	KeyBytes = 32
	// MaxTextBytes is the longest text that Open accepts, in bytes.
	MaxTextBytes = 4 << 20
	// keyIDBytes is the length of the key id at the start of a sealed handle.
	keyIDBytes = 4
)

// Sealer seals handles with its first key and opens those sealed with any of its keys. A
// sealed handle is the key id, the nonce and the AES-GCM ciphertext, in unpadded URL-safe
// base64. Its methods are safe for concurrent use.
type Sealer struct {
	// keys holds the key to seal with, then the previous one if any.
	keys []key
}

type key struct {
	// id is the start of the SHA-256 digest of the secret. It selects the key to open a
	// handle with, and is authenticated as additional data.
	id   [keyIDBytes]byte
	aead cipher.AEAD
}

// Config describes a Sealer.
type Config struct {
	// Key is the key to seal and open with, of KeyBytes bytes.
	Key []byte
	// PreviousKey is a second key to open with, of KeyBytes bytes, or nil. It keeps
	// handles valid while the key is being replaced on all entries.
	PreviousKey []byte
}

// New returns a Sealer. It fails when there is no key or a key has the wrong length.
func New(c Config) (*Sealer, error) {
	s := &Sealer{}
	for _, secret := range [][]byte{c.Key, c.PreviousKey} {
		if secret == nil {
			continue
		}
		k, err := newKey(secret)
		if err != nil {
			return nil, err
		}
		s.keys = append(s.keys, k)
	}
	if len(s.keys) == 0 {
		return nil, trace.BadParameter("handle key is missing")
	}
	return s, nil
}

func newKey(secret []byte) (key, error) {
	if len(secret) != KeyBytes {
		return key{}, trace.BadParameter("handle key has %d bytes, must have %d", len(secret), KeyBytes)
	}
	block, err := aes.NewCipher(secret)
	if err != nil {
		return key{}, trace.Wrap(err)
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return key{}, trace.Wrap(err)
	}
	k := key{aead: aead}
	digest := sha256.Sum256(secret)
	copy(k.id[:], digest[:])
	return k, nil
}

// Seal returns the sealed text of a handle. The text differs with each call.
func (s *Sealer) Seal(h program.Handle) (string, error) {
	plaintext, err := proto.Marshal(convert.HandleToProto(h))
	if err != nil {
		return "", trace.Wrap(err)
	}
	k := s.keys[0]
	nonce := make([]byte, k.aead.NonceSize())
	if _, err := rand.Read(nonce); err != nil {
		return "", trace.Wrap(err)
	}
	sealed := append(append([]byte(nil), k.id[:]...), nonce...)
	sealed = k.aead.Seal(sealed, nonce, plaintext, k.id[:])
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Open returns the handle in a text of Seal. It fails with program.KindDenied when the
// text is not authentic or its key is not one of the Sealer's.
func (s *Sealer) Open(text string) (program.Handle, error) {
	const op = "open handle"
	if len(text) > MaxTextBytes {
		return program.Handle{}, program.Errorf(op, program.KindDenied, "handle is longer than %d bytes", MaxTextBytes)
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return program.Handle{}, program.Errorf(op, program.KindDenied, "handle is not valid base64")
	}
	plaintext, ok := s.decrypt(sealed)
	if !ok {
		return program.Handle{}, program.Errorf(op, program.KindDenied, "handle was not sealed by this system, or its key is no longer accepted")
	}
	m := &peerpb.Handle{}
	if err := proto.Unmarshal(plaintext, m); err != nil {
		return program.Handle{}, program.Errorf(op, program.KindDenied, "handle can't be decoded")
	}
	return convert.HandleFromProto(m)
}

// decrypt returns the plaintext of a sealed handle, or false when no key has its id or it
// is not authentic.
func (s *Sealer) decrypt(sealed []byte) ([]byte, bool) {
	for _, k := range s.keys {
		headerBytes := keyIDBytes + k.aead.NonceSize()
		if len(sealed) < headerBytes || [keyIDBytes]byte(sealed[:keyIDBytes]) != k.id {
			continue
		}
		plaintext, err := k.aead.Open(nil, sealed[keyIDBytes:headerBytes], sealed[headerBytes:], k.id[:])
		return plaintext, err == nil
	}
	return nil, false
}
