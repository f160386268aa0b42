package membership

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lavendervale/lavendervale/fleet"
)

// Committers returns the instance that commits for each of n streams of the
// journal: the engine endpoint of the highest random weight (rendezvous
// hashing, after Thaler and Ravishankar). The version tells two results apart.
func Committers(members []Member, n int) ([]fleet.Instance, uint64) {
	var able []fleet.Instance
	for _, m := range members {
		if m.Instance().Role() == fleet.EngineRole && !m.Leaving() && (m.State() == Alive || m.State() == Unknown) {
			able = append(able, m.Instance())
		}
	}
	if len(able) == 0 {
		return nil, 0
	}
	chosen := make([]fleet.Instance, 0, n)
	version := xxhash.New()
	for stream := range n {
		best := highest(able, xxhash.Sum64String(fmt.Sprint("stream-", stream)))
		chosen = append(chosen, best)
		fmt.Fprintln(version, best.Name(), best.Address())
	}
	return chosen, version.Sum64()
}

func highest(list []fleet.Instance, seed uint64) fleet.Instance {
	best, weight := list[0], uint64(0)
	for _, i := range list {
		if w := mix(seed, xxhash.Sum64String(i.Name())); w >= weight {
			best, weight = i, w
		}
	}
	return best
}
