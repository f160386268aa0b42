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
	// beatTimeout bounds one heartbeat.
	beatTimeout = time.Second
	// beatSpacing is the least mean time between two heartbeats of an entry.
	beatSpacing = 100 * time.Millisecond
)

// reported is what an instance was last known to have.
type reported struct {
	config     int64
	instances  uint64
	committers uint64
}

// beatAll sends heartbeats to the watched instances; the more there are, the
// longer the time between two heartbeats, so that their rate is bounded.
func (e *Entry) beatAll(ctx context.Context) {
	var inFlight sync.Map
	for ctx.Err() == nil {
		watched := e.watch()
		interval := max(e.config.BeatInterval, time.Duration(len(watched))*beatSpacing)
		e.members.SetInterval(interval)
		for _, name := range watched {
			if _, busy := inFlight.LoadOrStore(name, true); busy {
				continue
			}
			e.background.Add(1)
			go func() {
				defer e.background.Done()
				defer inFlight.Delete(name)
				e.beat(ctx, name)
			}()
		}
		_ = timer.Sleep(ctx, interval)
	}
}

// watch returns the names of the instances this entry sends heartbeats to; it
// is worked out anew only when the instances change.
func (e *Entry) watch() []string {
	version := e.members.Version()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.watched != nil && e.watchedVersion == version {
		return e.watched
	}
	entries := []string{e.config.Name}
	var endpoints []fleet.Instance
	for _, m := range e.members.Members(time.Now()) {
		i := m.Instance()
		switch {
		case i.Role() != fleet.EntryRole:
			endpoints = append(endpoints, i)
		case i.Name() != e.config.Name:
			entries = append(entries, i.Name())
		}
	}
	e.watchedVersion = version
	e.watched = []string{}
	for _, i := range membership.Subset(e.config.Name, entries, endpoints) {
		e.watched = append(e.watched, i.Name())
	}
	return e.watched
}

// beat sends a heartbeat with the news that the instance lacks.
func (e *Entry) beat(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := e.config.Homes.Beat(ctx, name, e.beatFor(name))
	if err != nil {
		e.metrics.beatsLost.Add(1)
		e.forgetReported(name)
		return
	}
	e.adoptConfiguration(answer)
	now := time.Now()
	e.members.Heard(name, answer.Load(), answer.ConfigVersion(), now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loads.Update(name, answer.Load(), now)
	e.sent[name] = reported{config: answer.ConfigVersion(), instances: answer.InstancesVersion(), committers: answer.CommittersVersion()}
}

// adoptConfiguration takes over a configuration that this entry lacks, such as
// when it started while the log was down.
func (e *Entry) adoptConfiguration(a membership.Answer) {
	if a.Record() == nil {
		return
	}
	if err := e.config.Configurations.Adopt(*a.Record()); err != nil {
		e.config.Logger.Error("configuration of an instance can't be read", zap.Error(err))
	}
}

// beatFor returns a heartbeat with what an instance lacks.
func (e *Entry) beatFor(name string) membership.Beat {
	e.mu.Lock()
	defer e.mu.Unlock()
	known, ok := e.sent[name]
	told := e.fanoutLocked(time.Now())
	c := membership.BeatConfig{
		ConfigVersion: e.config.Configurations.Version(), InstancesVersion: told.servicesVersion,
		CommittersVersion: told.committersVersion,
	}
	if ok && known.config < c.ConfigVersion {
		c.Records = []configuration.Record{e.config.Configurations.Record()}
	}
	if !ok || known.instances != c.InstancesVersion {
		c.Instances = told.services
	}
	if !ok || known.committers != c.CommittersVersion {
		c.Committers = told.committers
	}
	return membership.NewBeat(c)
}

func (e *Entry) forgetReported(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sent, name)
}
