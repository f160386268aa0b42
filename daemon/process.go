package daemon

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/fleet"
)

// Process is one process of the system with its listeners open.
type Process interface {
	// Run serves until ctx ends, then stops without cutting calls off.
	Run(ctx context.Context) error
	// Addresses returns where the process listens.
	Addresses() Addresses
}

// Addresses holds where a process listens; an empty one is not listened on.
type Addresses struct {
	// Peers is for other processes of the system.
	Peers string
	// Admin is for operators.
	Admin string
	// Callers is for callers.
	Callers string
}

// New opens the listeners of a process.
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

// newIncarnation returns a number that grows with each life of a process.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// listen opens listeners for addresses; when one fails, none stays open.
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
