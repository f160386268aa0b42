package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/placement"
)

// Table holds the instances known to a process.
type Table struct {
	mu      sync.RWMutex
	rows    map[string]*row
	version uint64
	// services is the version of the instances beside services alone.
	services uint64
	roles    map[fleet.Role]int
	interval time.Duration
}

// row is what a table keeps of one instance.
type row struct {
	instance fleet.Instance
	listed   bool
	added    time.Time
	heard    time.Time
	load     placement.Load
	config   int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]*row{}, interval: firstInterval, roles: map[fleet.Role]int{}}
}

// Update takes over a list of the platform; an empty list changes nothing, and
// an instance that is not listed stays as long as it answers.
func (t *Table) Update(list []fleet.Instance, now time.Time) {
	if len(list) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		r.listed = false
	}
	for _, i := range list {
		t.putLocked(i, now)
	}
	for name, r := range t.rows {
		if !r.listed && now.Sub(r.lastSign()) > forgetAfter {
			delete(t.rows, name)
			t.roles[r.instance.Role()]--
			t.bumpLocked(r.instance)
		}
	}
}

func (t *Table) putLocked(i fleet.Instance, now time.Time) {
	r, ok := t.rows[i.Name()]
	if ok && r.instance == i {
		r.listed = true
		return
	}
	if !ok {
		t.roles[i.Role()]++
	}
	if !ok || r.instance.Address() != i.Address() {
		r = &row{added: now, config: -1}
		t.rows[i.Name()] = r
	}
	r.instance = i
	r.listed = true
	t.bumpLocked(i)
}

// bumpLocked books that the set of instances changed.
func (t *Table) bumpLocked(i fleet.Instance) {
	t.version++
	if i.Role() == fleet.ServiceRole {
		t.services++
	}
}

// SetInterval says how often instances are sent heartbeats.
func (t *Table) SetInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interval = d
}

// Heard books an answered heartbeat.
func (t *Table) Heard(name string, load placement.Load, config int64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[name]
	if !ok {
		return
	}
	r.heard = now
	r.load = load
	r.config = config
}

// Version returns a number that grows whenever the set of instances changes.
func (t *Table) Version() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// ServicesVersion returns a number that grows whenever the set of instances
// beside services changes.
func (t *Table) ServicesVersion() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services
}

// Count returns the number of instances of a role.
func (t *Table) Count(role fleet.Role) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.roles[role]
}

// Member returns the instance with a name, or false.
func (t *Table) Member(name string, now time.Time) (Member, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	r, ok := t.rows[name]
	if !ok {
		return Member{}, false
	}
	return r.member(now, t.interval), true
}

// Members returns all instances, ordered by name.
func (t *Table) Members(now time.Time) []Member {
	t.mu.RLock()
	defer t.mu.RUnlock()
	list := make([]Member, 0, len(t.rows))
	for _, r := range t.rows {
		list = append(list, r.member(now, t.interval))
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name() < list[j].Name() })
	return list
}

// Services returns the instances beside a service that may be asked, the
// surest first.
func (t *Table) Services(service string, now time.Time) []Member {
	var list []Member
	for _, m := range t.Members(now) {
		if m.Instance().Role() != fleet.ServiceRole || m.Instance().Service() != service {
			continue
		}
		if m.State() != Dead && !m.Leaving() {
			list = append(list, m)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return rankOf(list[i].State()) < rankOf(list[j].State()) })
	return list
}

// rankOf orders states by how sure it is that the instance answers.
func rankOf(s State) int {
	switch s {
	case Alive:
		return 0
	case Unknown:
		return 1
	}
	return 2
}

func (r *row) member(now time.Time, interval time.Duration) Member {
	return Member{
		instance: r.instance, state: r.state(now, interval), leaving: r.instance.Leaving() || r.load.Leaving(),
		load: r.load, heard: r.heard, config: r.config,
	}
}

func (r *row) state(now time.Time, interval time.Duration) State {
	silence := now.Sub(r.lastSign())
	switch {
	case r.heard.IsZero():
		return Unknown
	case silence > deadBeats*interval:
		return Dead
	case silence > suspectBeats*interval:
		return Suspect
	}
	return Alive
}

// lastSign returns when the instance last answered, or was added.
func (r *row) lastSign() time.Time {
	if r.heard.IsZero() {
		return r.added
	}
	return r.heard
}
