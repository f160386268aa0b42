package platform

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/fleet"
)

// InstanceList is a fake of the platform's instance list. Changes become visible after a
// fixed lag. It is safe for concurrent use.
type InstanceList struct {
	mu sync.Mutex
	// lag is the time until a change becomes visible.
	lag time.Duration
	// changes are in the order in which they were made.
	changes []change
	// down and empty are the faults set by SetDown and SetEmpty.
	down  bool
	empty bool
}

// change is the addition, replacement or removal of an instance.
type change struct {
	changedAt time.Time
	// instance has only a name if removed is set.
	instance fleet.Instance
	removed  bool
}

// NewInstanceList returns an empty list whose changes become visible after the given
// lag; 0 makes them visible at once.
func NewInstanceList(lag time.Duration) *InstanceList { return &InstanceList{lag: lag} }

// Add adds an instance to the list, or replaces the one with the same name.
func (l *InstanceList) Add(i fleet.Instance) { l.record(change{changedAt: time.Now(), instance: i}) }

// Remove removes the instance with the given name from the list.
func (l *InstanceList) Remove(name string) {
	removed := fleet.NewInstance(fleet.InstanceConfig{Name: name})
	l.record(change{changedAt: time.Now(), instance: removed, removed: true})
}

// SetDown sets whether reading the list fails with fleet.KindUnavailable.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetEmpty sets whether the list reports no instances, whatever it contains.
func (l *InstanceList) SetEmpty(empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = empty
}

// Instances returns the instances that were listed one lag ago, sorted by name. The
// error is of fleet.KindUnavailable after SetDown(true).
func (l *InstanceList) Instances(context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, fleet.Errorf("read instance list", fleet.KindUnavailable, "injected fault: list is unavailable")
	}
	if l.empty {
		return nil, nil
	}
	return l.listAt(time.Now().Add(-l.lag)), nil
}

func (l *InstanceList) record(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
}

// listAt returns the instances that were listed at a time, sorted by name. The caller
// holds l.mu.
func (l *InstanceList) listAt(at time.Time) []fleet.Instance {
	byName := map[string]fleet.Instance{}
	for _, c := range l.changes {
		if c.changedAt.After(at) {
			continue
		}
		if c.removed {
			delete(byName, c.instance.Name())
			continue
		}
		byName[c.instance.Name()] = c.instance
	}
	list := make([]fleet.Instance, 0, len(byName))
	for _, i := range byName {
		list = append(list, i)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name() < list[b].Name() })
	return list
}
