package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%d", prefix, i)
	}
	return list
}

func newEndpoints(n int) []fleet.Instance {
	var list []fleet.Instance
	for _, name := range names("model", n) {
		list = append(list, fleet.NewInstance(fleet.InstanceConfig{Name: name, Role: fleet.EngineRole}))
	}
	return list
}

// countWatchers returns the number of entries that watch each endpoint, by its name.
func countWatchers(entries []string, endpoints []fleet.Instance) map[string]int {
	watched := map[string]int{}
	for _, e := range entries {
		for _, i := range membership.Subset(e, entries, endpoints) {
			watched[i.Name()]++
		}
	}
	return watched
}

// TestSubsetCoversEveryEndpoint guards against endpoints that too few entries watch, and
// against entries that watch too many of them.
func TestSubsetCoversEveryEndpoint(t *testing.T) {
	tests := []struct {
		name       string
		entries    int
		endpoints  int
		watchers   int
		maxWatched int
	}{
		{name: "small site is a full mesh", entries: 3, endpoints: 9, watchers: 3, maxWatched: 9},
		{name: "two entries watch all", entries: 2, endpoints: 200, watchers: 2, maxWatched: 200},
		{name: "large site", entries: 76, endpoints: 1000, watchers: 2, maxWatched: 60},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			entries, list := names("entry", test.entries), newEndpoints(test.endpoints)
			watched := countWatchers(entries, list)
			require.Len(t, watched, test.endpoints)
			for name, n := range watched {
				require.Equal(t, test.watchers, n, name)
			}
			for _, e := range entries {
				require.LessOrEqual(t, len(membership.Subset(e, entries, list)), test.maxWatched)
			}
		})
	}
}

// TestSubsetChangesLittleWhenAnEntryLeaves guards against an entry being assigned many other
// endpoints, or losing some, when another entry leaves.
func TestSubsetChangesLittleWhenAnEntryLeaves(t *testing.T) {
	entries, list := names("entry", 50), newEndpoints(1000)
	watchedBefore := map[string]bool{}
	for _, i := range membership.Subset("entry-7", entries, list) {
		watchedBefore[i.Name()] = true
	}
	gained := 0
	for _, i := range membership.Subset("entry-7", entries[:49], list) {
		if !watchedBefore[i.Name()] {
			gained++
		}
		delete(watchedBefore, i.Name())
	}
	require.Empty(t, watchedBefore, "endpoints that the entry watched and lost")
	require.LessOrEqual(t, gained, 10)
}
