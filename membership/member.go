package membership

import (
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/placement"
)

// State tells what is known of an instance.
type State uint8

// States of instances.
const (
	// Unknown means that no heartbeat has been answered yet.
	Unknown State = iota
	// Alive means that a heartbeat was answered a short time ago.
	Alive
	// Suspect means that heartbeats have gone unanswered.
	Suspect
	// Dead means that heartbeats have gone unanswered for long.
	Dead
	stateCount
)

const (
	// suspectBeats is the number of heartbeats unanswered after which an instance
	// gets no new programs.
	suspectBeats = 3
	// deadBeats is the number after which its programs are adopted elsewhere.
	deadBeats = 6
	// firstInterval is the time between heartbeats until another is set.
	firstInterval = 500 * time.Millisecond
	// forgetAfter is the silence after which an instance that is not listed is forgotten.
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

// Member is one instance with what is known of it.
type Member struct {
	instance fleet.Instance
	state    State
	leaving  bool
	load     placement.Load
	heard    time.Time
	config   int64
}

// Instance returns the instance as listed.
func (m Member) Instance() fleet.Instance { return m.instance }

// Name returns the name of the instance.
func (m Member) Name() string { return m.instance.Name() }

// State returns what is known of the instance.
func (m Member) State() State { return m.state }

// Leaving reports whether the instance takes no new work.
func (m Member) Leaving() bool { return m.leaving }

// Load returns what the instance last reported of itself.
func (m Member) Load() placement.Load { return m.load }

// Heard returns when the instance last answered.
func (m Member) Heard() time.Time { return m.heard }

// ConfigVersion returns the configuration that the instance last reported.
func (m Member) ConfigVersion() int64 { return m.config }
