package history

import (
	"context"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// maxRemoteAttempts is the number of times a record is sent to the owner of its
	// stream before this process appends it itself.
	maxRemoteAttempts = 2
)

// RemoteCommitters sends requests to the committers of other processes.
type RemoteCommitters interface {
	// Commit commits a record through the committer of an instance; see
	// Committer.Commit.
	Commit(ctx context.Context, instance string, r Record) (Position, error)
	// Locate asks an instance for the latest record of a program; see Committer.Locate.
	Locate(ctx context.Context, instance string, id program.ID) (LatestRecord, error)
}

// StreamOwners tells which instance is the owner of a stream: the one whose committer
// appends the records of all processes to it.
type StreamOwners interface {
	// Owner returns the owner of a stream. remote is false when this process is the
	// owner or no owner is known, so that this process appends itself.
	Owner(stream int) (instance string, remote bool)
}

// Router sends records to the owner of their stream, so that the records of many
// processes share appends. This only saves appends: the order of the log decides which
// record is valid, so two owners of a stream at the same time, or none, do no harm.
type Router struct {
	config RouterConfig
}

// RouterConfig describes a Router.
type RouterConfig struct {
	// Local is the committer of this process.
	Local *Committer
	// Remote sends requests to the committers of other processes.
	Remote RemoteCommitters
	// Owners tells which instance is the owner of a stream.
	Owners StreamOwners
}

// NewRouter returns the router that c describes.
func NewRouter(c RouterConfig) *Router { return &Router{config: c} }

// Commit commits a record through the owner of its stream, or through the local committer
// when the owner does not answer; see Committer.Commit. The record may then be appended
// twice, but it is applied only once, because both copies have the same id.
func (r *Router) Commit(ctx context.Context, record Record) (Position, error) {
	stream := StreamOf(record.Program(), r.config.Local.StreamCount())
	for range maxRemoteAttempts {
		owner, remote := r.config.Owners.Owner(stream)
		if !remote {
			break
		}
		position, err := r.config.Remote.Commit(ctx, owner, record)
		if err == nil || isFinal(err) || ctx.Err() != nil {
			return position, err
		}
	}
	return r.config.Local.Commit(ctx, record)
}

// isFinal reports whether an error of a commit settles the outcome, so that neither a
// retry nor another committer would change it.
func isFinal(err error) bool {
	k := KindOf(err)
	return k == KindSuperseded || k == KindCorrupt
}

// Load returns the state of a program; see Committer.Load. The owner of the stream, which
// has read it to the end, supplies the position of the latest record. When it does not
// answer, the local committer reads the stream.
func (r *Router) Load(ctx context.Context, id program.ID) (*LoadedProgram, error) {
	owner, remote := r.config.Owners.Owner(StreamOf(id, r.config.Local.StreamCount()))
	if !remote {
		return r.config.Local.Load(ctx, id)
	}
	latest, err := r.config.Remote.Locate(ctx, owner, id)
	switch {
	case err == nil:
		return r.config.Local.LoadFrom(ctx, id, latest)
	case KindOf(err) == KindNotFound:
		return nil, err
	}
	return r.config.Local.Load(ctx, id)
}
