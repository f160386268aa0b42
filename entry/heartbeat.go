package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// heartbeatTimeout bounds one heartbeat and its reply.
	heartbeatTimeout = time.Second
	// minHeartbeatSpacing is the least mean time between two heartbeats of one entry. It
	// bounds the rate of heartbeats however many instances the entry watches.
	minHeartbeatSpacing = 100 * time.Millisecond
)

// knownVersions holds the versions that an instance reported in its last reply.
type knownVersions struct {
	// configuration is the version of the configuration in force at the instance.
	configuration int64
	// instances and committers are the versions of the service instances and of the
	// committers that the instance has received from this entry, 0 for none.
	instances  uint64
	committers uint64
}

// sendHeartbeats sends heartbeats to the watched instances until ctx ends. The interval
// grows with their number, which bounds the total rate. An instance whose previous
// heartbeat is still in flight is skipped.
func (e *Entry) sendHeartbeats(ctx context.Context) {
	var inFlight sync.Map
	for ctx.Err() == nil {
		watched := e.watchedInstances()
		interval := max(e.config.HeartbeatInterval, time.Duration(len(watched))*minHeartbeatSpacing)
		e.members.SetHeartbeatInterval(interval)
		for _, name := range watched {
			if _, busy := inFlight.LoadOrStore(name, true); busy {
				continue
			}
			e.goroutines.Add(1)
			go func() {
				defer e.goroutines.Done()
				defer inFlight.Delete(name)
				e.sendHeartbeat(ctx, name)
			}()
		}
		_ = timer.Sleep(ctx, interval)
	}
}

// watchedInstances returns the names of the instances that this entry sends heartbeats
// to. The list is recomputed only when the known instances change.
func (e *Entry) watchedInstances() []string {
	version := e.members.Version()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.watched != nil && e.watchedVersion == version {
		return e.watched
	}
	entries := []string{e.config.Name}
	var endpoints []fleet.Instance
	for _, m := range e.members.Members(time.Now()) {
		instance := m.Instance()
		switch {
		case instance.Role() != fleet.EntryRole:
			endpoints = append(endpoints, instance)
		case instance.Name() != e.config.Name:
			entries = append(entries, instance.Name())
		}
	}
	e.watchedVersion = version
	e.watched = []string{}
	for _, i := range membership.Subset(e.config.Name, entries, endpoints) {
		e.watched = append(e.watched, i.Name())
	}
	return e.watched
}

// sendHeartbeat sends one heartbeat and records the reply. After a failure the versions
// that the instance has are unknown, so that the next heartbeat carries the service
// instances and the committers again.
func (e *Entry) sendHeartbeat(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := e.config.HomeClient.Beat(ctx, name, e.buildHeartbeat(name))
	if err != nil {
		e.metrics.heartbeatsLost.Add(1)
		e.forgetVersions(name)
		return
	}
	e.installConfiguration(reply)
	now := time.Now()
	e.members.RecordReply(name, reply.Load(), reply.ConfigVersion(), now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads.Update(name, reply.Load(), now)
	e.knownVersionsByInstance[name] = knownVersions{configuration: reply.ConfigVersion(), instances: reply.InstancesVersion(), committers: reply.CommittersVersion()}
}

// installConfiguration installs the configuration that a reply carries, if any. An entry
// that started while the log was down gets its configuration this way.
func (e *Entry) installConfiguration(reply membership.HeartbeatReply) {
	if reply.Record() == nil {
		return
	}
	if err := e.config.Configurations.Install(*reply.Record()); err != nil {
		e.config.Logger.Error("installing the configuration from a heartbeat reply failed", zap.Error(err))
	}
}

// buildHeartbeat returns a heartbeat with the service instances and committers, unless the
// instance is known to have them, and with the configuration in force if the instance has
// reported an older version.
func (e *Entry) buildHeartbeat(name string) membership.Heartbeat {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.knownVersionsByInstance[name]
	shared := e.broadcastLocked(time.Now())
	c := membership.HeartbeatConfig{
		ConfigVersion: e.config.Configurations.Version(), InstancesVersion: shared.servicesVersion,
		CommittersVersion: shared.committersVersion,
	}
	if ok && known.configuration < c.ConfigVersion {
		c.Records = []configuration.Record{e.config.Configurations.Record()}
	}
	if !ok || known.instances != c.InstancesVersion {
		c.Instances = shared.serviceInstances
	}
	if !ok || known.committers != c.CommittersVersion {
		c.Committers = shared.committers
	}
	return membership.NewHeartbeat(c)
}

func (e *Entry) forgetVersions(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.knownVersionsByInstance, name)
}
