package membership

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendervale/lavendervale/fleet"
)

// Committers returns the instance that commits to each of the n streams of the journal,
// indexed by stream, and a hash that identifies the result. It selects among the engine
// endpoints that are not leaving and in state Alive or Unknown by rendezvous hashing
// (highest random weight, Thaler and Ravishankar), so that a lost endpoint moves only its
// own streams. Without such endpoints it returns nil and 0.
func Committers(members []Member, n int) ([]fleet.Instance, uint64) {
	var eligible []fleet.Instance
	for _, m := range members {
		if m.Instance().Role() == fleet.EngineRole && !m.Leaving() && (m.State() == Alive || m.State() == Unknown) {
			eligible = append(eligible, m.Instance())
		}
	}
	if len(eligible) == 0 {
		return nil, 0
	}
	chosen := make([]fleet.Instance, 0, n)
	versionHash := xxhash.New()
	for stream := range n {
		best := highestWeighted(eligible, xxhash.Sum64String(fmt.Sprint("stream-", stream)))
		chosen = append(chosen, best)
		fmt.Fprintln(versionHash, best.Name(), best.Address())
	}
	return chosen, versionHash.Sum64()
}

// highestWeighted returns the instance with the highest weight for a seed.
func highestWeighted(instances []fleet.Instance, seed uint64) fleet.Instance {
	best, bestWeight := instances[0], uint64(0)
	for _, i := range instances {
		if weight := combineHashes(seed, xxhash.Sum64String(i.Name())); weight >= bestWeight {
			best, bestWeight = i, weight
		}
	}
	return best
}
