package daemon

import (
	"sync/atomic"

	"github.com/lavendervale/lavendervale/fleet"
)

// streamOwners holds which process commits to each stream of the journal, as an entry
// last announced it.
type streamOwners struct {
	// self is the name of this process.
	self string
	// instances holds the committer of each stream, indexed by stream; nil before the
	// first announcement.
	instances atomic.Pointer[[]fleet.Instance]
}

// Owner returns the address of the process that commits to a stream, or false when this
// process does: it is the owner, or none is known.
func (o *streamOwners) Owner(stream int) (string, bool) {
	instances := o.instances.Load()
	if instances == nil || stream >= len(*instances) || (*instances)[stream].Name() == o.self {
		return "", false
	}
	return (*instances)[stream].Address(), true
}

func (o *streamOwners) set(instances []fleet.Instance) { o.instances.Store(&instances) }
