package membership

import (
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/placement"
)

// State is the state of an instance as detected by heartbeats.
type State uint8

// States of instances.
const (
	// Unknown means that no heartbeat has been answered yet.
	Unknown State = iota
	// Alive means that a recent heartbeat was answered.
	Alive
	// Suspect means that the last few heartbeats were not answered.
	Suspect
	// Dead means that so many heartbeats were not answered that other endpoints take over
	// the programs of the instance.
	Dead
	stateCount
)

const (
	// suspectAfterIntervals is the number of heartbeat intervals without a reply after which an
	// instance is Suspect and gets no new programs while others are Alive.
	suspectAfterIntervals = 3
	// deadAfterIntervals is the number of heartbeat intervals without a reply after which an
	// instance is Dead.
	deadAfterIntervals = 6
	// defaultHeartbeatInterval is the heartbeat interval until SetHeartbeatInterval is called.
	defaultHeartbeatInterval = 500 * time.Millisecond
	// forgetAfter is the time without a reply after which an instance that is not listed is
	// removed from the table.
	forgetAfter = time.Minute
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead"}

// String returns the name of the state.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return "invalid"
}

// Member is an instance with its state, as of the time of the query.
type Member struct {
	instance      fleet.Instance
	state         State
	leaving       bool
	load          placement.Load
	lastReplyAt   time.Time
	configVersion int64
}

// Instance returns the instance as the platform lists it.
func (m Member) Instance() fleet.Instance { return m.instance }

// Name returns the name of the instance.
func (m Member) Name() string { return m.instance.Name() }

// State returns the detected state of the instance.
func (m Member) State() State { return m.state }

// Leaving reports whether the instance accepts no new work, as listed by the platform or
// reported by the instance.
func (m Member) Leaving() bool { return m.leaving }

// Load returns the load that the instance last reported, the zero Load before that.
func (m Member) Load() placement.Load { return m.load }

// LastReplyAt returns when the instance last answered a heartbeat, the zero time if never.
func (m Member) LastReplyAt() time.Time { return m.lastReplyAt }

// ConfigVersion returns the version of the configuration that was in force at the instance
// when it last replied, -1 before that.
func (m Member) ConfigVersion() int64 { return m.configVersion }
