package entry

import (
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
)

const (
	// A broadcast is reused for broadcastAgePerInstance times the number of instances,
	// because building one iterates over all of them, but at least for minBroadcastAge. It
	// is rebuilt earlier when the instances change.
	minBroadcastAge         = time.Second
	broadcastAgePerInstance = time.Millisecond
)

// broadcast holds the part of a heartbeat that is the same for all instances.
type broadcast struct {
	// serviceInstances holds all instances with fleet.ServiceRole.
	serviceInstances []fleet.Instance
	servicesVersion  uint64
	// committers holds the committer of each stream of the journal, indexed by stream.
	committers        []fleet.Instance
	committersVersion uint64
	// membersVersion is the version of the members that the broadcast was built from.
	membersVersion uint64
	builtAt        time.Time
	// maxAge is the time after builtAt for which the broadcast may be reused.
	maxAge time.Duration
}

// broadcastLocked returns the current broadcast. It is rebuilt when the set of instances
// has changed and also after maxAge, because the committers depend on which instances
// answer. The caller holds e.mu.
func (e *Entry) broadcastLocked(now time.Time) *broadcast {
	version := e.members.Version()
	if e.broadcast != nil && e.broadcast.membersVersion == version && now.Sub(e.broadcast.builtAt) < e.broadcast.maxAge {
		return e.broadcast
	}
	members := e.members.Members(now)
	built := &broadcast{
		servicesVersion: e.members.ServicesVersion(), membersVersion: version, builtAt: now,
		maxAge: max(minBroadcastAge, time.Duration(len(members))*broadcastAgePerInstance),
	}
	for _, m := range members {
		if m.Instance().Role() == fleet.ServiceRole {
			built.serviceInstances = append(built.serviceInstances, m.Instance())
		}
	}
	built.committers, built.committersVersion = membership.Committers(members, e.config.StreamCount)
	e.broadcast = built
	return built
}
