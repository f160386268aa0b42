package entry

import (
	"context"

	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/program"
)

// HomeClient sends requests to instances. Its errors are of type *program.Error; outcome
// program.NotRun guarantees that the request had no effect.
type HomeClient interface {
	// Start creates a program at an instance, or finds the one with the same key.
	Start(ctx context.Context, instance string, r home.StartRequest) (home.StartResult, error)
	// Call runs a call at an instance and streams the text of the answer from its start.
	Call(ctx context.Context, instance string, h program.Handle, c program.Call, sink home.Sink) (home.CallResult, error)
	// End finishes a program at an instance, or cancels it when cancel is set.
	End(ctx context.Context, instance string, h program.Handle, cancel bool) (home.EndResult, error)
	// Read returns the state of a program at an instance.
	Read(ctx context.Context, instance string, h program.Handle) (home.View, error)
	// Transfer reserves or settles the budget of a child at the home of its parent and
	// returns the tokens that were reserved or came back.
	Transfer(ctx context.Context, instance string, t home.BudgetTransfer) (int64, error)
	// Beat sends a heartbeat to an instance and returns its reply.
	Beat(ctx context.Context, instance string, b membership.Heartbeat) (membership.HeartbeatReply, error)
}

// Sealer encrypts handles into opaque tokens that only entries can read.
type Sealer interface {
	// Seal returns the token of a handle.
	Seal(h program.Handle) (string, error)
	// Open returns the handle of a token, or an error of program.KindDenied.
	Open(token string) (program.Handle, error)
}

// Log is the platform's append-only log.
type Log interface {
	// Append adds an entry to a stream and returns its offset. An error of
	// fleet.KindUnknown leaves open whether the entry was added.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries, starting with offset from. When that offset has
	// expired, it returns an error of fleet.KindExpired with a page that has the oldest
	// retained offset.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.LogPage, error)
}

// InstanceLister reads the platform's list of instances.
type InstanceLister interface {
	// Instances returns the live and leaving instances. The list may lag behind.
	Instances(ctx context.Context) ([]fleet.Instance, error)
}

// PublicationCodec encodes publications as data of log entries.
type PublicationCodec interface {
	// Encode returns the data of a log entry for a publication.
	Encode(p Publication) ([]byte, error)
	// Decode returns the publication in the data of a log entry.
	Decode(data []byte) (Publication, error)
}

// Publication is a configuration that an operator publishes.
type Publication struct {
	// Base is the version that the operator edited, configuration.NoVersion for none.
	Base int64
	// Author names the operator.
	Author string
	// Text is the source text of the configuration.
	Text string
}
