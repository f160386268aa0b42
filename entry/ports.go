package entry

import (
	"context"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/program"
)

// Homes reaches the homes of programs; errors are of type *program.Error, and
// one of program.NotRun proves that nothing ran.
type Homes interface {
	// Start creates a program at an instance.
	Start(ctx context.Context, instance string, r home.StartRequest) (home.StartResult, error)
	// Call runs a call at an instance and streams its text from the start.
	Call(ctx context.Context, instance string, h program.Handle, c program.Call, sink home.Sink) (home.CallResult, error)
	// End finishes or cancels a program at an instance.
	End(ctx context.Context, instance string, h program.Handle, cancel bool) (home.EndResult, error)
	// Read returns the state of a program at an instance.
	Read(ctx context.Context, instance string, h program.Handle) (home.View, error)
	// Transfer moves budget between a parent at an instance and a child.
	Transfer(ctx context.Context, instance string, t home.BudgetTransfer) (int64, error)
	// Beat sends a heartbeat to an instance.
	Beat(ctx context.Context, instance string, b membership.Beat) (membership.Answer, error)
}

// Sealer turns handles into opaque text that only entries can read.
type Sealer interface {
	// Seal returns the text of a handle.
	Seal(h program.Handle) (string, error)
	// Open returns the handle of a text, or an error of program.KindDenied.
	Open(text string) (program.Handle, error)
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds data to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries from an offset on.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.Page, error)
}

// Lister reads the platform's list of instances.
type Lister interface {
	// Instances returns the live and leaving instances, as of some time ago.
	Instances(ctx context.Context) ([]fleet.Instance, error)
}

// RecordCodec turns published configurations into bytes of the log and back.
type RecordCodec interface {
	// Encode returns the bytes of a publication.
	Encode(p Publication) ([]byte, error)
	// Decode returns the publication of an entry.
	Decode(data []byte) (Publication, error)
}

// Publication is a configuration as an operator publishes it.
type Publication struct {
	// Base is the version it was made from.
	Base int64
	// Author is who publishes it.
	Author string
	// Text is the configuration.
	Text string
}
