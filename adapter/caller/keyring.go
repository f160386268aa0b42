package caller

import (
	"crypto/sha256"
	"net/http"
	"strings"

	"github.com/gravitational/trace"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// MinKeyBytes is the minimum length of the key of a caller or operator.
	MinKeyBytes  = 16
	authHeader   = "Authorization"
	bearerPrefix = "Bearer "
)

// Keyring identifies callers or operators by the secret key that their requests carry.
type Keyring struct {
	// nameByDigest holds the owner of each key by the SHA-256 digest of the key.
	nameByDigest map[[sha256.Size]byte]string
}

// NewKeyring returns a keyring; keys holds the key of each caller or operator by name. It
// fails with a bad parameter error if a key is shorter than MinKeyBytes or is used twice.
func NewKeyring(keys map[string]string) (*Keyring, error) {
	k := &Keyring{nameByDigest: map[[sha256.Size]byte]string{}}
	for name, key := range keys {
		if len(key) < MinKeyBytes {
			return nil, trace.BadParameter("key of %q has %d bytes, the minimum is %d", name, len(key), MinKeyBytes)
		}
		digest := sha256.Sum256([]byte(key))
		if otherName, ok := k.nameByDigest[digest]; ok {
			return nil, trace.BadParameter("%q and %q have the same key, keys must differ", name, otherName)
		}
		k.nameByDigest[digest] = name
	}
	return k, nil
}

// Identify returns the name of the owner of the bearer key in the Authorization header.
// The error is of program.KindUnauthenticated if there is no such header or the key is
// unknown.
func (k *Keyring) Identify(header http.Header) (string, error) {
	const op = "identify caller"
	key, ok := strings.CutPrefix(header.Get(authHeader), bearerPrefix)
	if !ok {
		return "", program.Errorf(op, program.KindUnauthenticated, "request has no Authorization header with a bearer key")
	}
	// A lookup by the key itself could reveal parts of a valid key by the time that the
	// comparison takes; the digest of the key reveals nothing.
	name, ok := k.nameByDigest[sha256.Sum256([]byte(key))]
	if !ok {
		return "", program.Errorf(op, program.KindUnauthenticated, "bearer key is unknown")
	}
	return name, nil
}
