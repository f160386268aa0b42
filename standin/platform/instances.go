package platform

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/fleet"
)

// Instances is the stand-in instance list; it shows changes after a lag.
type Instances struct {
	mu      sync.Mutex
	lag     time.Duration
	changes []change
	down    bool
	empty   bool
}

type change struct {
	at       time.Time
	instance fleet.Instance
	gone     bool
}

// NewInstances returns an empty list that lags.
func NewInstances(lag time.Duration) *Instances { return &Instances{lag: lag} }

// Add lists an instance, or replaces the one of the same name.
func (l *Instances) Add(i fleet.Instance) { l.note(change{at: time.Now(), instance: i}) }

// Remove takes the instance of a name off the list.
func (l *Instances) Remove(name string) {
	gone := fleet.NewInstance(fleet.InstanceConfig{Name: name})
	l.note(change{at: time.Now(), instance: gone, gone: true})
}

// SetDown makes the list refuse to answer.
func (l *Instances) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// SetEmpty makes the list answer as if there were no instance.
func (l *Instances) SetEmpty(empty bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.empty = empty
}

// Instances returns the list as it was before the lag.
func (l *Instances) Instances(context.Context) ([]fleet.Instance, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, fleet.Errorf("read instance list", fleet.KindUnavailable, "list is down")
	}
	if l.empty {
		return nil, nil
	}
	return l.asOf(time.Now().Add(-l.lag)), nil
}

func (l *Instances) note(c change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, c)
}

func (l *Instances) asOf(at time.Time) []fleet.Instance {
	byName := map[string]fleet.Instance{}
	for _, c := range l.changes {
		if c.at.After(at) {
			continue
		}
		if c.gone {
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
