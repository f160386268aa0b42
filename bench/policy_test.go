package bench

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUnknownPolicyIsAnError guards against a benchmark that runs nothing, or less than
// asked for, and passes.
func TestUnknownPolicyIsAnError(t *testing.T) {
	tests := []struct {
		list string
		// names are the selected policies, nil for an error.
		names []string
	}{
		{list: "current", names: []string{"current"}},
		{list: "current,fifo-round-robin", names: []string{"current", "fifo-round-robin"}},
		{list: "all", names: []string{"fifo-round-robin", "least-loaded", "version-0.1", "current"}},
		{list: "curent"},
		{list: "current,fifo"},
		{list: "current,"},
		{list: ""},
	}
	for _, test := range tests {
		t.Run(test.list, func(t *testing.T) {
			selected, err := policiesByName(test.list)
			require.Equal(t, test.names == nil, err != nil)
			var names []string
			for _, p := range selected {
				names = append(names, p.name)
			}
			require.ElementsMatch(t, test.names, names)
		})
	}
}
