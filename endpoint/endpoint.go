package endpoint

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State tells whether an endpoint takes requests.
type State uint8

// States of endpoints.
const (
	// Ready endpoints take requests.
	Ready State = iota
	// Draining endpoints finish their running requests and take no others.
	Draining
)

// Registration is what an endpoint publishes about itself in the store.
type Registration struct {
	// ID identifies the endpoint; successive incarnations may share it.
	ID string
	// StartedUnixMS is the start time of the incarnation in Unix milliseconds; 0 is unknown.
	StartedUnixMS int64
	// Service is the name of the service that the endpoint belongs to.
	Service string
	// Version is the version of the endpoint's software.
	Version string
	// Address is an IP address and a port.
	Address string
	// Domain is the failure domain of the endpoint.
	Domain string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// State tells whether the endpoint takes requests.
	State State
	// ColdFor is how much longer the endpoint stays slow after its start; 0 if it is warm.
	ColdFor time.Duration
	// Heartbeat grows with each heartbeat of the incarnation.
	Heartbeat int64
}

// Endpoint is one incarnation of an endpoint with its load and the health that this
// instance has observed.
type Endpoint struct {
	registration Registration
	// key is the Key of the endpoint's ID.
	key   uint64
	state State
	// leaving is set once the incarnation has said in a response that it leaves.
	leaving bool
	// addedAt is when this instance first saw the registration of the incarnation.
	addedAt time.Time
	// tenure is shared by successive incarnations that differ in nothing but their start.
	tenure *tenure
	// missingSince is when the registration went missing, or zero while it is present.
	missingSince time.Time
	// servesUntil is until when the endpoint accepts connections though its registration is no longer
	// ready, unless it crashes; zero if that is unknown.
	servesUntil time.Time
	heartbeat   heartbeat
	// localRunning is the number of requests of this instance at the endpoint.
	localRunning int
	// peerRunning is the number of requests of other instances, from their load reports.
	peerRunning int
	// coldUntil is until when the endpoint is slow after its start.
	coldUntil time.Time
	health    health
	slowdown  slowdown
	responses responseCounts
	// peerGood and peerErrors are the responses to other instances, from their load reports.
	peerGood, peerErrors int
	speed                endpointSpeed
	limit                limitState
	idle                 idleConnections
}

// Target is the endpoint picked for one request. Its zero value is no endpoint.
type Target struct {
	// endpoint is the incarnation that was picked.
	endpoint     *Endpoint
	registration Registration
	// kind is the kind of the request, from Query.Kind.
	kind     string
	pickedAt time.Time
	// others is the number of other requests at the endpoint when it was picked.
	others int
	// limit is the rate limit of the endpoint when it was picked.
	limit Limit
}

// Registration returns the registration of the endpoint when it was picked.
func (t Target) Registration() Registration { return t.registration }

// ID returns the identifier of the endpoint.
func (t Target) ID() string { return t.registration.ID }

// Address returns the IP address and port.
func (t Target) Address() string { return t.registration.Address }

// Domain returns the failure domain.
func (t Target) Domain() string { return t.registration.Domain }

// Limit returns the rate limit that the endpoint named when it was picked. If there is one, the
// request must not be sent before PermitTaken.
func (t Target) Limit() Limit { return t.limit }

// PickedAt returns when the endpoint was picked.
func (t Target) PickedAt() time.Time { return t.pickedAt }

// Zero reports whether t is the zero value.
func (t Target) Zero() bool { return t.registration.ID == "" }

// Key returns the hash of an endpoint's ID, or a service's name, that identifies it in reports
// to other instances.
func Key(id string) uint64 { return xxhash.Sum64String(id) }

// IncarnationKey returns a hash that identifies the incarnation of the endpoint in reports to other
// instances.
func (t Target) IncarnationKey() uint64 {
	return Key(t.registration.ID + "/" + strconv.FormatInt(t.registration.StartedUnixMS, 10))
}

// load returns the number of requests at the endpoint, of this instance and all others.
func (e *Endpoint) load() int { return e.localRunning + e.peerRunning }
