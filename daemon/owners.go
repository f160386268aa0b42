package daemon

import (
	"sync/atomic"

	"github.com/lavendervale/lavendervale/fleet"
)

// owners holds the committer of each stream, as an entry last said.
type owners struct {
	self string
	list atomic.Pointer[[]fleet.Instance]
}

// Owner returns the address of the process that commits for a stream, and
// false when this one should.
func (o *owners) Owner(stream int) (string, bool) {
	list := o.list.Load()
	if list == nil || stream >= len(*list) || (*list)[stream].Name() == o.self {
		return "", false
	}
	return (*list)[stream].Address(), true
}

func (o *owners) set(list []fleet.Instance) { o.list.Store(&list) }
