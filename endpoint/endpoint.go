package endpoint

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State tells whether an endpoint takes requests.
type State uint8

// States of endpoints.
const (
	// Ready endpoints take requests.
	Ready State = iota
	// Draining endpoints finish what they have.
	Draining
)

// Entry is what an endpoint says of itself.
type Registration struct {
	// ID names one incarnation, or several in turn.
	ID string
	// Born is when the incarnation started, in Unix milliseconds; 0 is unknown.
	Born int64
	// Service is the service it belongs to.
	Service string
	// Address is an IP address and a port.
	Address string
	// Domain is its failure domain.
	Domain string
	// Slots is the number of requests it runs at once.
	Slots int
	// State tells whether it takes requests.
	State State
	// Cold is how much longer it stays slow after its start.
	ColdFor time.Duration
}

// Endpoint is one incarnation of an endpoint with what this instance has seen of it.
type Endpoint struct {
	registration   Registration
	key     uint64
	state   State
	missingSince    time.Time
	localRunning int
	peerRunning  int
	coldUntil  time.Time
	health  health
	slowdown    slowdown
}

// Target is an endpoint that a request is sent to.
type Target struct {
	registration  Registration
	key    uint64
	kind   string
	pickedAt time.Time
}

// Entry returns what the endpoint said of itself.
func (t Target) Registration() Registration { return t.registration }

// ID returns the identifier of the incarnation.
func (t Target) ID() string { return t.registration.ID }

// Address returns the IP address and port.
func (t Target) Address() string { return t.registration.Address }

// Domain returns the failure domain.
func (t Target) Domain() string { return t.registration.Domain }

// Zero reports whether there is no endpoint.
func (t Target) Zero() bool { return t.registration.ID == "" }

// Key returns the number that instances call an endpoint in their load reports.
func Key(id string) uint64 { return xxhash.Sum64String(id) }

// load is the requests at the endpoint, of this instance and of all others.
func (e *Endpoint) load() int { return e.localRunning + e.peerRunning }
