package daemon

import (
	"time"

	"github.com/lavendervale/lavendervale/membership"
)

// directory resolves names of instances and services by the membership table.
type directory struct {
	members *membership.Table
}

// Address returns the IP address and port of an instance, or false when it is not a
// member.
func (d directory) Address(instance string) (string, bool) {
	m, ok := d.members.Member(instance, time.Now())
	if !ok {
		return "", false
	}
	return m.Instance().Address(), true
}

// Services returns the names of the instances beside a service, those known to be alive
// first; dead and leaving ones are left out.
func (d directory) Services(service string) []string {
	var names []string
	for _, m := range d.members.ServiceMembers(service, time.Now()) {
		names = append(names, m.Name())
	}
	return names
}
