package quarantine

import "github.com/cespare/xxhash/v2"

// Identity identifies a request to Suspects by its content. Which part of the content makes a
// request crash its endpoints is not known beforehand, so there are two hashes.
type Identity struct {
	// content is equal for all requests that ask the same, whoever sends them.
	content uint64
	// conversation is equal for all attempts of one request.
	conversation uint64
}

// NewIdentity returns the identity of a request: content is what all requests that ask the same
// have in common, conversation what else is equal for all attempts of this one.
func NewIdentity(content [][]byte, conversation ...string) Identity {
	h := xxhash.New()
	for _, part := range content {
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	id := Identity{content: h.Sum64()}
	for _, part := range conversation {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	id.conversation = h.Sum64()
	return id
}

// Content returns the hash that is equal for all requests that ask the same.
func (i Identity) Content() uint64 { return i.content }

// Conversation returns the hash that is equal for all attempts of one request only.
func (i Identity) Conversation() uint64 { return i.conversation }
