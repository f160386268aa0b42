package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/fleet"
)

// Process is an entry or an endpoint process with its listeners open.
type Process interface {
	// Run serves until ctx ends or a listener fails, then waits up to
	// Config.StopTimeout for the calls in progress. It returns the listener's error.
	Run(ctx context.Context) error
	// Addresses returns the addresses that the process listens on.
	Addresses() Addresses
}

// Addresses holds the addresses that a process listens on, empty for those that its role
// does not have.
type Addresses struct {
	// Peers is the address for other processes of the system.
	Peers string
	// Admin is the address for operators.
	Admin string
	// Callers is the address for callers.
	Callers string
}

// New opens the listeners of a process of the role in c. Fields of c that are 0 get their
// defaults.
func New(c Config) (Process, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.Logger = c.Logger.With(zap.String("instance", c.Name), zap.String("domain", c.Domain))
	if c.StopTimeout == 0 {
		c.StopTimeout = DefaultStopTimeout
	}
	if c.Service.Timeout == 0 {
		c.Service.Timeout = DefaultServiceTimeout
	}
	if c.Service.Slots == 0 {
		c.Service.Slots = DefaultServiceSlots
	}
	if c.Role == fleet.EntryRole {
		return newEntryProcess(c)
	}
	return newEndpointProcess(c)
}

// newIncarnation returns a number that is greater at each start of a process, unless the
// clock was set back.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// revision returns the commit that the program was built from, or "" when the build did not
// record it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}

// listen opens a TCP listener on each address; when one fails, none stays open.
func listen(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, listener := range listeners {
				_ = listener.Close()
			}
			return nil, trace.Wrap(err, "listen on %s", address)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}
