package membership

import (
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/placement"
)

// Beat is the heartbeat that an entry sends to an instance, with the news that
// the instance lacks.
type Beat struct {
	config BeatConfig
}

// BeatConfig describes a Beat.
type BeatConfig struct {
	// Records are the configurations that the instance lacks.
	Records []configuration.Record
	// ConfigVersion is the configuration in force at the sender.
	ConfigVersion int64
	// Instances are the instances beside services, when the receiver lacks them.
	Instances []fleet.Instance
	// InstancesVersion is the sender's version of them.
	InstancesVersion uint64
	// Committers holds the committer of each stream of the journal, when the
	// receiver lacks them.
	Committers []fleet.Instance
	// CommittersVersion is the sender's version of them.
	CommittersVersion uint64
}

// NewBeat returns a Beat.
func NewBeat(c BeatConfig) Beat { return Beat{config: c} }

// Records returns the configurations that the instance lacks.
func (b Beat) Records() []configuration.Record { return b.config.Records }

// ConfigVersion returns the configuration in force at the sender.
func (b Beat) ConfigVersion() int64 { return b.config.ConfigVersion }

// Instances returns all instances, or none when the receiver has them.
func (b Beat) Instances() []fleet.Instance { return b.config.Instances }

// InstancesVersion returns the sender's version of the instances.
func (b Beat) InstancesVersion() uint64 { return b.config.InstancesVersion }

// Committers returns the committer of each stream, or none when the receiver
// has them.
func (b Beat) Committers() []fleet.Instance { return b.config.Committers }

// CommittersVersion returns the sender's version of the committers.
func (b Beat) CommittersVersion() uint64 { return b.config.CommittersVersion }

// Answer is the reply to a heartbeat.
type Answer struct {
	config AnswerConfig
}

// AnswerConfig describes an Answer.
type AnswerConfig struct {
	// ConfigVersion is the configuration in force at the instance.
	ConfigVersion int64
	// InstancesVersion is the version of the instances last taken from the sender.
	InstancesVersion uint64
	// CommittersVersion is the version of the committers last taken from the sender.
	CommittersVersion uint64
	// Record is the configuration in force, when the sender lacks it.
	Record *configuration.Record
	// Load is how busy the instance is.
	Load placement.Load
}

// NewAnswer returns an Answer.
func NewAnswer(c AnswerConfig) Answer { return Answer{config: c} }

// ConfigVersion returns the configuration in force at the instance.
func (a Answer) ConfigVersion() int64 { return a.config.ConfigVersion }

// InstancesVersion returns the version of the instances last taken from the sender.
func (a Answer) InstancesVersion() uint64 { return a.config.InstancesVersion }

// CommittersVersion returns the version of the committers last taken from the sender.
func (a Answer) CommittersVersion() uint64 { return a.config.CommittersVersion }

// Record returns the configuration in force, nil when the sender has it.
func (a Answer) Record() *configuration.Record { return a.config.Record }

// Load returns how busy the instance is.
func (a Answer) Load() placement.Load { return a.config.Load }
