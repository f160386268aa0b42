package history

import (
	"context"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// remoteTries is the number of attempts at the committer of a stream before
	// a process appends by itself.
	remoteTries = 2
)

// Remote reaches the committers of other processes.
type Remote interface {
	// Commit writes a record through an instance; see Committer.Commit.
	Commit(ctx context.Context, instance string, r Record) (Position, error)
	// Locate asks an instance for the latest record of a program.
	Locate(ctx context.Context, instance string, id program.ID) (Tail, error)
}

// Owners tells which instance commits for a stream.
type Owners interface {
	// Owner returns the instance, and false when this process should commit by itself.
	Owner(stream int) (instance string, remote bool)
}

// Router sends records to the committer of their stream, so that the records
// of many processes share appends. It is an optimisation alone: the order of
// the log decides, so two committers of a stream at once, or none, do no harm.
type Router struct {
	config RouterConfig
}

// RouterConfig describes a Router.
type RouterConfig struct {
	// Local is the committer of this process.
	Local *Committer
	// Remote reaches the committers of other processes.
	Remote Remote
	// Owners tells which instance commits for a stream.
	Owners Owners
}

// NewRouter returns a Router.
func NewRouter(c RouterConfig) *Router { return &Router{config: c} }

// Commit writes a record; see Committer.Commit. A record that was sent twice
// is valid once.
func (r *Router) Commit(ctx context.Context, record Record) (Position, error) {
	stream := StreamOf(record.Program(), r.config.Local.Streams())
	for range remoteTries {
		owner, remote := r.config.Owners.Owner(stream)
		if !remote {
			break
		}
		position, err := r.config.Remote.Commit(ctx, owner, record)
		if err == nil || decided(err) || ctx.Err() != nil {
			return position, err
		}
	}
	return r.config.Local.Commit(ctx, record)
}

// decided reports whether an error is the answer of the log itself.
func decided(err error) bool {
	k := KindOf(err)
	return k == KindSuperseded || k == KindCorrupt
}

// Load reads the state of a program; the committer of its stream knows where
// its latest record stands.
func (r *Router) Load(ctx context.Context, id program.ID) (*Loaded, error) {
	owner, remote := r.config.Owners.Owner(StreamOf(id, r.config.Local.Streams()))
	if !remote {
		return r.config.Local.Load(ctx, id)
	}
	t, err := r.config.Remote.Locate(ctx, owner, id)
	switch {
	case err == nil:
		return r.config.Local.LoadFrom(ctx, id, t)
	case KindOf(err) == KindNotFound:
		return nil, err
	}
	return r.config.Local.Load(ctx, id)
}
