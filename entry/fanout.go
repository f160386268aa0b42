package entry

import (
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
)

const (
	// fanoutAge is how long what all instances are told alike is kept at least,
	// and fanoutSpacing what each instance adds: working it out takes a look at
	// every instance.
	fanoutAge     = time.Second
	fanoutSpacing = time.Millisecond
)

// fanout is what an entry tells all instances alike.
type fanout struct {
	services          []fleet.Instance
	servicesVersion   uint64
	committers        []fleet.Instance
	committersVersion uint64
	members           uint64
	at                time.Time
	age               time.Duration
}

// fanoutLocked returns what to tell instances, worked out anew when the
// instances have changed or it is old.
func (e *Entry) fanoutLocked(now time.Time) *fanout {
	version := e.members.Version()
	if e.told != nil && e.told.members == version && now.Sub(e.told.at) < e.told.age {
		return e.told
	}
	members := e.members.Members(now)
	f := &fanout{
		servicesVersion: e.members.ServicesVersion(), members: version, at: now,
		age: max(fanoutAge, time.Duration(len(members))*fanoutSpacing),
	}
	for _, m := range members {
		if m.Instance().Role() == fleet.ServiceRole {
			f.services = append(f.services, m.Instance())
		}
	}
	f.committers, f.committersVersion = membership.Committers(members, e.config.Streams)
	e.told = f
	return f
}
