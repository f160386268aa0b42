package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/placement"
)

// Table holds the instances that a process knows. Its methods may be called concurrently.
type Table struct {
	// mu guards the fields below.
	mu         sync.RWMutex
	rowsByName map[string]*tableRow
	// version grows whenever an instance is added, changed or removed.
	version uint64
	// servicesVersion grows like version, but only with changes of instances with
	// fleet.ServiceRole.
	servicesVersion uint64
	// countByRole holds the number of instances of each role.
	countByRole map[fleet.Role]int
	// heartbeatInterval is the time between two heartbeats to an instance.
	heartbeatInterval time.Duration
}

// tableRow holds what a Table knows of one instance.
type tableRow struct {
	instance fleet.Instance
	// listed reports whether the last list had the instance.
	listed  bool
	addedAt time.Time
	// lastReplyAt is when the instance last answered a heartbeat, zero if never.
	lastReplyAt time.Time
	load        placement.Load
	// configVersion is the version that the instance last reported, -1 if none.
	configVersion int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rowsByName: map[string]*tableRow{}, heartbeatInterval: defaultHeartbeatInterval, countByRole: map[fleet.Role]int{}}
}

// Update applies an instance list of the platform, or one that a heartbeat carries. An empty
// list is ignored: a faulty platform may return one although instances run, and a heartbeat
// has one when nothing changed. An instance that is not listed is removed only after
// forgetAfter without a reply.
func (t *Table) Update(listed []fleet.Instance, now time.Time) {
	if len(listed) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rowsByName {
		r.listed = false
	}
	for _, i := range listed {
		t.putLocked(i, now)
	}
	for name, r := range t.rowsByName {
		if !r.listed && now.Sub(r.lastReplyOrAddedAt()) > forgetAfter {
			delete(t.rowsByName, name)
			t.countByRole[r.instance.Role()]--
			t.incrementVersionLocked(r.instance)
		}
	}
}

// putLocked adds or updates a listed instance. A changed address means another process, so
// that its replies, load and configuration version are reset. The caller holds t.mu.
func (t *Table) putLocked(i fleet.Instance, now time.Time) {
	r, ok := t.rowsByName[i.Name()]
	if ok && r.instance == i {
		r.listed = true
		return
	}
	if !ok {
		t.countByRole[i.Role()]++
	}
	if !ok || r.instance.Address() != i.Address() {
		r = &tableRow{addedAt: now, configVersion: -1}
		t.rowsByName[i.Name()] = r
	}
	r.instance = i
	r.listed = true
	t.incrementVersionLocked(i)
}

// incrementVersionLocked marks a change of instance i in the versions. The caller holds t.mu.
func (t *Table) incrementVersionLocked(i fleet.Instance) {
	t.version++
	if i.Role() == fleet.ServiceRole {
		t.servicesVersion++
	}
}

// SetHeartbeatInterval sets the time between two heartbeats to an instance, from which the
// limits for Suspect and Dead are computed.
func (t *Table) SetHeartbeatInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heartbeatInterval = d
}

// RecordReply records that an instance answered a heartbeat at now, with its load and the
// version of its configuration. A name that is not in the table is ignored.
func (t *Table) RecordReply(name string, load placement.Load, configVersion int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rowsByName[name]
	if !ok {
		return
	}
	r.lastReplyAt = now
	r.load = load
	r.configVersion = configVersion
}

// Version returns a number that grows whenever an instance is added, changed or removed.
// State changes do not count.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// ServicesVersion returns a number that grows whenever an instance with fleet.ServiceRole is
// added, changed or removed.
func (t *Table) ServicesVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.servicesVersion
}

// CountByRole returns the number of instances with a role.
func (t *Table) CountByRole(role fleet.Role) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.countByRole[role]
}

// Member returns the instance with a name and its state at now, or false if it isn't known.
func (t *Table) Member(name string, now time.Time) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.rowsByName[name]
	if !ok {
		return Member{}, false
	}
	return r.member(now, t.heartbeatInterval), true
}

// Members returns all instances with their states at now, ordered by name.
func (t *Table) Members(now time.Time) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Member, 0, len(t.rowsByName))
	for _, r := range t.rowsByName {
		list = append(list, r.member(now, t.heartbeatInterval))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name() < list[j].Name() })
	return list
}

// ServiceMembers returns the instances that serve a service and are neither leaving nor Dead,
// in the order Alive, Unknown, Suspect and by name within a state.
func (t *Table) ServiceMembers(service string, now time.Time) []Member {
	var list []Member
	for _, m := range t.Members(now) {
		if m.Instance().Role() != fleet.ServiceRole || m.Instance().Service() != service {
			continue
		}
		if m.State() != Dead && !m.Leaving() {
			list = append(list, m)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return preference(list[i].State()) < preference(list[j].State()) })
	return list
}

// preference orders states by how likely an instance is to answer, the most likely first.
func preference(s State) int {
	switch s {
	case Alive:
		return 0
	case Unknown:
		return 1
	}
	return 2
}

func (r *tableRow) member(now time.Time, interval time.Duration) Member {
	return Member{
		instance: r.instance, state: r.state(now, interval), leaving: r.instance.Leaving() || r.load.Leaving(),
		load: r.load, lastReplyAt: r.lastReplyAt, configVersion: r.configVersion,
	}
}

func (r *tableRow) state(now time.Time, interval time.Duration) State {
	silence := now.Sub(r.lastReplyOrAddedAt())
	switch {
	case r.lastReplyAt.IsZero():
		return Unknown
	case silence > deadAfterIntervals*interval:
		return Dead
	case silence > suspectAfterIntervals*interval:
		return Suspect
	}
	return Alive
}

// lastReplyOrAddedAt returns when the instance last replied, or when it was added if it never
// has.
func (r *tableRow) lastReplyOrAddedAt() time.Time {
	if r.lastReplyAt.IsZero() {
		return r.addedAt
	}
	return r.lastReplyAt
}
