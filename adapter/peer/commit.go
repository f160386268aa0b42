package peer

import (
	"context"

	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// Committer writes records for other processes; *history.Committer is one.
type Committer interface {
	// Commit writes a record.
	Commit(ctx context.Context, r history.Record) (history.Position, error)
	// Locate returns the latest record of a program.
	Locate(ctx context.Context, id program.ID) (history.LatestRecord, error)
}

// Committers reaches the committers of other processes.
type Committers struct {
	pool  *Pool
	codec history.Codec
}

// NewCommitters returns Committers whose instances are named by their address.
func NewCommitters(p *Pool, c history.Codec) *Committers { return &Committers{pool: p, codec: c} }

// Commit writes a record through the process at an address.
func (c *Committers) Commit(ctx context.Context, address string, r history.Record) (history.Position, error) {
	data, err := c.codec.Encode([]history.Record{r})
	if err != nil {
		return history.NoPosition, history.Errorf("commit", history.KindCorrupt, "%w", err)
	}
	place, err := c.ask(ctx, address, &peerpb.Request{Body: &peerpb.Request_Commit{Commit: &peerpb.Commit{Record: data}}})
	if err != nil {
		return history.NoPosition, err
	}
	return history.Position(place.GetPosition()), nil
}

// Locate asks the process at an address for the latest record of a program.
func (c *Committers) Locate(ctx context.Context, address string, id program.ID) (history.LatestRecord, error) {
	place, err := c.ask(ctx, address, &peerpb.Request{Body: &peerpb.Request_Locate{Locate: &peerpb.Locate{Program: id.Bytes()}}})
	if err != nil {
		return history.LatestRecord{}, err
	}
	return history.NewLatestRecord(history.RecordIDFromBytes(place.GetRecord()), history.Position(place.GetPosition())), nil
}

// ask sends a request; a failure of the link leaves the outcome unknown.
func (c *Committers) ask(ctx context.Context, address string, r *peerpb.Request) (*peerpb.Place, error) {
	const op = "reach committer"
	x, err := c.pool.open(ctx, address, r)
	if err != nil {
		return nil, history.Errorf(op, history.KindUnknown, "%w", err)
	}
	defer x.close()
	reply := &peerpb.Reply{}
	if err := x.reader.Read(reply); err != nil {
		return nil, history.Errorf(op, history.KindUnknown, "%w", err)
	}
	if f := reply.GetFault(); f != nil {
		return nil, history.Errorf(f.GetOperation(), history.Kind(f.GetKind()), "%s", f.GetMessage())
	}
	if reply.GetPlace() == nil {
		return nil, history.Errorf(op, history.KindUnknown, "answer holds no place")
	}
	return reply.GetPlace(), nil
}

func (a *answerer) commit(ctx context.Context, m *peerpb.Commit) (*peerpb.Reply, error) {
	const op = "commit for another"
	c := a.server.config.Committer
	if c == nil {
		return nil, history.Errorf(op, history.KindUnavailable, "this instance commits for no one")
	}
	records, err := a.server.config.Codec.Decode(m.GetRecord())
	if err != nil || len(records) != 1 {
		return nil, history.Errorf(op, history.KindCorrupt, "want one record, got %d: %v", len(records), err)
	}
	position, err := c.Commit(ctx, records[0])
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Place{Place: &peerpb.Place{Position: int64(position)}}}, nil
}

func (a *answerer) locate(ctx context.Context, m *peerpb.Locate) (*peerpb.Reply, error) {
	const op = "locate for another"
	c := a.server.config.Committer
	if c == nil {
		return nil, history.Errorf(op, history.KindUnavailable, "this instance commits for no one")
	}
	id, err := program.IDFromBytes(m.GetProgram())
	if err != nil {
		return nil, history.Errorf(op, history.KindCorrupt, "%w", err)
	}
	t, err := c.Locate(ctx, id)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Place{Place: &peerpb.Place{Position: int64(t.Position()), Record: t.ID().Bytes()}}}, nil
}
