package membership

import (
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/placement"
)

// Heartbeat is the message that an entry sends to an instance to check that it is alive.
// It carries the state that the instance does not have yet.
type Heartbeat struct {
	config HeartbeatConfig
}

// HeartbeatConfig holds the contents of a Heartbeat.
type HeartbeatConfig struct {
	// Records holds published configurations that the receiver does not have.
	Records []configuration.Record
	// ConfigVersion is the version of the configuration in force at the sender.
	ConfigVersion int64
	// Instances holds all instances with fleet.ServiceRole; empty when the receiver has
	// InstancesVersion.
	Instances []fleet.Instance
	// InstancesVersion is the sender's version of Instances.
	InstancesVersion uint64
	// Committers holds the committer of each stream of the journal, indexed by stream; empty
	// when the receiver has CommittersVersion.
	Committers []fleet.Instance
	// CommittersVersion is the sender's version of Committers.
	CommittersVersion uint64
}

// NewHeartbeat returns a Heartbeat with the given contents.
func NewHeartbeat(c HeartbeatConfig) Heartbeat { return Heartbeat{config: c} }

// Records returns published configurations that the receiver does not have.
func (h Heartbeat) Records() []configuration.Record { return h.config.Records }

// ConfigVersion returns the version of the configuration in force at the sender.
func (h Heartbeat) ConfigVersion() int64 { return h.config.ConfigVersion }

// Instances returns all instances with fleet.ServiceRole, or none when the receiver has them.
func (h Heartbeat) Instances() []fleet.Instance { return h.config.Instances }

// InstancesVersion returns the sender's version of the instances.
func (h Heartbeat) InstancesVersion() uint64 { return h.config.InstancesVersion }

// Committers returns the committer of each stream, indexed by stream, or none when the
// receiver has them.
func (h Heartbeat) Committers() []fleet.Instance { return h.config.Committers }

// CommittersVersion returns the sender's version of the committers.
func (h Heartbeat) CommittersVersion() uint64 { return h.config.CommittersVersion }

// HeartbeatReply is the reply of an instance to a Heartbeat.
type HeartbeatReply struct {
	config HeartbeatReplyConfig
}

// HeartbeatReplyConfig holds the contents of a HeartbeatReply.
type HeartbeatReplyConfig struct {
	// ConfigVersion is the version of the configuration in force at the instance.
	ConfigVersion int64
	// InstancesVersion is the version of the service instances last received from the
	// sender, 0 for none.
	InstancesVersion uint64
	// CommittersVersion is the version of the committers last received from the sender,
	// 0 for none.
	CommittersVersion uint64
	// Record is the configuration in force at the instance; nil when the sender's version
	// is not older.
	Record *configuration.Record
	// Load is the current load of the instance.
	Load placement.Load
}

// NewHeartbeatReply returns a HeartbeatReply with the given contents.
func NewHeartbeatReply(c HeartbeatReplyConfig) HeartbeatReply { return HeartbeatReply{config: c} }

// ConfigVersion returns the version of the configuration in force at the instance.
func (r HeartbeatReply) ConfigVersion() int64 { return r.config.ConfigVersion }

// InstancesVersion returns the version of the service instances last received from the
// sender, 0 for none.
func (r HeartbeatReply) InstancesVersion() uint64 { return r.config.InstancesVersion }

// CommittersVersion returns the version of the committers last received from the sender,
// 0 for none.
func (r HeartbeatReply) CommittersVersion() uint64 { return r.config.CommittersVersion }

// Record returns the configuration in force at the instance, nil when the sender's version
// is not older.
func (r HeartbeatReply) Record() *configuration.Record { return r.config.Record }

// Load returns the current load of the instance.
func (r HeartbeatReply) Load() placement.Load { return r.config.Load }
