package fleettest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/fleet"
)

// Lister is the interface that TestLister checks.
type Lister interface {
	// Instances returns the live and leaving instances. The list may lag behind.
	Instances(ctx context.Context) ([]fleet.Instance, error)
}

// ListSubject is an instance list under test with functions that control the fake behind it.
type ListSubject struct {
	// Lister is the implementation under test. Its list must not lag.
	Lister Lister
	// Add lists an instance, or replaces the one with the same name.
	Add func(i fleet.Instance)
	// Remove removes the instance with a name from the list.
	Remove func(name string)
	// SetDown sets whether requests for the list fail.
	SetDown func(down bool)
	// SetEmpty sets whether the list is returned empty although instances are listed.
	SetEmpty func(empty bool)
}

// TestLister runs the contract tests of an instance list. newSubject returns one without
// instances.
func TestLister(t *testing.T, newSubject func(t *testing.T) ListSubject) {
	model := fleet.NewInstance(fleet.InstanceConfig{
		Name: "model-1", Address: "127.0.0.1:1", Domain: "a", Role: fleet.EngineRole, Service: "small",
	})
	leavingModel := fleet.NewInstance(fleet.InstanceConfig{
		Name: "model-1", Address: "127.0.0.1:1", Domain: "a", Role: fleet.EngineRole, Service: "small", Leaving: true,
	})
	payment := fleet.NewInstance(fleet.InstanceConfig{Name: "payment-1", Address: "127.0.0.1:2", Domain: "b", Role: fleet.ServiceRole})
	tests := []struct {
		name    string
		steps   func(s ListSubject)
		want    []fleet.Instance
		wantErr bool
	}{
		{name: "nothing listed", steps: func(ListSubject) {}},
		{name: "all fields are returned", steps: func(s ListSubject) { s.Add(model); s.Add(payment) }, want: []fleet.Instance{model, payment}},
		{name: "leaving replaces live", steps: func(s ListSubject) { s.Add(model); s.Add(leavingModel) }, want: []fleet.Instance{leavingModel}},
		{name: "removed", steps: func(s ListSubject) { s.Add(model); s.Add(payment); s.Remove("model-1") }, want: []fleet.Instance{payment}},
		{name: "empty by mistake", steps: func(s ListSubject) { s.Add(model); s.SetEmpty(true) }},
		{name: "down", steps: func(s ListSubject) { s.Add(model); s.SetDown(true) }, wantErr: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSubject(t)
			test.steps(s)
			list, err := s.Lister.Instances(context.Background())
			if test.wantErr {
				require.Equal(t, fleet.KindUnavailable, fleet.KindOf(err))
				return
			}
			require.NoError(t, err)
			require.ElementsMatch(t, test.want, list)
		})
	}
}
