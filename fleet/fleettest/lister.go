package fleettest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/fleet"
)

// Lister is the port that TestLister checks.
type Lister interface {
	// Instances returns the live and leaving instances, as of some time ago.
	Instances(ctx context.Context) ([]fleet.Instance, error)
}

// ListSubject is an instance list under test with what only its stand-in can do.
type ListSubject struct {
	// Lister is what is tested; it does not lag.
	Lister Lister
	// Add lists an instance, or replaces the one of its name.
	Add func(i fleet.Instance)
	// Remove takes the instance of a name off the list.
	Remove func(name string)
	// SetDown makes the list refuse to answer, or not.
	SetDown func(down bool)
	// SetEmpty makes the list answer as if there were no instance, or not.
	SetEmpty func(empty bool)
}

// TestLister runs an instance list through the contract.
func TestLister(t *testing.T, fresh func(t *testing.T) ListSubject) {
	one := fleet.NewInstance(fleet.InstanceConfig{
		Name: "model-1", Address: "127.0.0.1:1", Domain: "a", Role: fleet.EngineRole, Service: "small",
	})
	leaving := fleet.NewInstance(fleet.InstanceConfig{
		Name: "model-1", Address: "127.0.0.1:1", Domain: "a", Role: fleet.EngineRole, Service: "small", Leaving: true,
	})
	two := fleet.NewInstance(fleet.InstanceConfig{Name: "payment-1", Address: "127.0.0.1:2", Domain: "b", Role: fleet.ServiceRole})
	tests := []struct {
		name  string
		steps func(s ListSubject)
		want  []fleet.Instance
		fails bool
	}{
		{name: "nothing listed", steps: func(ListSubject) {}},
		{name: "all fields come through", steps: func(s ListSubject) { s.Add(one); s.Add(two) }, want: []fleet.Instance{one, two}},
		{name: "leaving replaces live", steps: func(s ListSubject) { s.Add(one); s.Add(leaving) }, want: []fleet.Instance{leaving}},
		{name: "removed", steps: func(s ListSubject) { s.Add(one); s.Add(two); s.Remove("model-1") }, want: []fleet.Instance{two}},
		{name: "empty by mistake", steps: func(s ListSubject) { s.Add(one); s.SetEmpty(true) }},
		{name: "down", steps: func(s ListSubject) { s.Add(one); s.SetDown(true) }, fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := fresh(t)
			test.steps(s)
			list, err := s.Lister.Instances(context.Background())
			if test.fails {
				require.Equal(t, fleet.KindUnavailable, fleet.KindOf(err))
				return
			}
			require.NoError(t, err)
			require.ElementsMatch(t, test.want, list)
		})
	}
}
