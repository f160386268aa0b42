package daemon

import (
	"sync/atomic"

	"github.com/lavendervale/lavendervale/fleet"
)

// owners holds the committer of each stream, as an entry last said.
type streamOwners struct {
	self      string
	instances atomic.Pointer[[]fleet.Instance]
}

// Owner returns the address of the process that commits for a stream, and
// false when this one should.
func (o *streamOwners) Owner(stream int) (string, bool) {
	instances := o.instances.Load()
	if instances == nil || stream >= len(*instances) || (*instances)[stream].Name() == o.self {
		return "", false
	}
	return (*instances)[stream].Address(), true
}

func (o *streamOwners) set(instances []fleet.Instance) { o.instances.Store(&instances) }
