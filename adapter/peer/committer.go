package peer

import (
	"context"
	"errors"

	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

// Committer appends records to the journal for other processes; *history.Committer
// implements it. The kind of a *history.Error is passed on to the other process.
type Committer interface {
	// Commit appends a record and returns its position once it is valid in the log.
	Commit(ctx context.Context, r history.Record) (history.Position, error)
	// Locate returns the latest record of a program, or an error of
	// history.KindNotFound.
	Locate(ctx context.Context, id program.ID) (history.LatestRecord, error)
}

// CommitterClient sends records to the committers of other processes. Its errors are of
// type *history.Error: of the kind that the committer reports, or of history.KindUnknown
// when the exchange fails, in which case the record may have been written.
type CommitterClient struct {
	pool  *Pool
	codec history.Codec
}

// NewCommitterClient returns a client that names instances by their address and encodes
// records with codec c.
func NewCommitterClient(p *Pool, c history.Codec) *CommitterClient {
	return &CommitterClient{pool: p, codec: c}
}

// Commit appends a record through the committer at an address and returns the position
// of the record. It fails with history.KindCorrupt when the record can't be encoded.
func (c *CommitterClient) Commit(ctx context.Context, address string, r history.Record) (history.Position, error) {
	data, err := c.codec.Encode([]history.Record{r})
	if err != nil {
		return history.NoPosition, history.Errorf("commit", history.KindCorrupt, "%w", err)
	}
	place, err := c.roundTrip(ctx, address, &peerpb.Request{Body: &peerpb.Request_Commit{Commit: &peerpb.Commit{Record: data}}})
	if err != nil {
		return history.NoPosition, err
	}
	return history.Position(place.GetPosition()), nil
}

// Locate asks the committer at an address for the latest record of a program.
func (c *CommitterClient) Locate(ctx context.Context, address string, id program.ID) (history.LatestRecord, error) {
	place, err := c.roundTrip(ctx, address, &peerpb.Request{Body: &peerpb.Request_Locate{Locate: &peerpb.Locate{Program: id.Bytes()}}})
	if err != nil {
		return history.LatestRecord{}, err
	}
	return history.NewLatestRecord(history.RecordIDFromBytes(place.GetRecord()), history.Position(place.GetPosition())), nil
}

// roundTrip sends a request and returns its only reply.
func (c *CommitterClient) roundTrip(ctx context.Context, address string, r *peerpb.Request) (*peerpb.Place, error) {
	const op = "send request to committer"
	x, err := c.pool.openExchange(ctx, address, r)
	if err != nil {
		return nil, history.Errorf(op, history.KindUnknown, "%w", err)
	}
	defer x.close()
	reply := &peerpb.Reply{}
	if err := x.reader.Read(reply); err != nil {
		return nil, history.Errorf(op, history.KindUnknown, "%w", err)
	}
	if fault := reply.GetFault(); fault != nil {
		return nil, history.Errorf(fault.GetOperation(), history.Kind(fault.GetKind()), "%s", fault.GetMessage())
	}
	if reply.GetPlace() == nil {
		return nil, history.Errorf(op, history.KindUnknown, "reply holds no position of a record")
	}
	return reply.GetPlace(), nil
}

// handleCommit appends the single record of a request through the local committer.
func (rh *requestHandler) handleCommit(ctx context.Context, m *peerpb.Commit) (*peerpb.Reply, error) {
	const op = "commit record of another instance"
	committer := rh.server.config.Committer
	if committer == nil {
		return nil, history.Errorf(op, history.KindUnavailable, "this instance has no committer")
	}
	records, err := rh.server.config.Codec.Decode(m.GetRecord())
	if err != nil || len(records) != 1 {
		return nil, history.Errorf(op, history.KindCorrupt, "request holds %d records instead of one: %v", len(records), err)
	}
	position, err := committer.Commit(ctx, records[0])
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Place{Place: &peerpb.Place{Position: int64(position)}}}, nil
}

func (rh *requestHandler) handleLocate(ctx context.Context, m *peerpb.Locate) (*peerpb.Reply, error) {
	const op = "locate program for another instance"
	committer := rh.server.config.Committer
	if committer == nil {
		return nil, history.Errorf(op, history.KindUnavailable, "this instance has no committer")
	}
	id, err := program.IDFromBytes(m.GetProgram())
	if err != nil {
		return nil, history.Errorf(op, history.KindCorrupt, "%w", err)
	}
	latest, err := committer.Locate(ctx, id)
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Body: &peerpb.Reply_Place{Place: &peerpb.Place{Position: int64(latest.Position()), Record: latest.ID().Bytes()}}}, nil
}

// faultFromHistoryError converts an error to a Fault. An error of another type than
// *history.Error becomes one of history.KindUnknown.
func faultFromHistoryError(err error) *peerpb.Fault {
	var historyErr *history.Error
	if !errors.As(err, &historyErr) {
		historyErr = history.Errorf("handle record", history.KindUnknown, "%w", err)
	}
	return &peerpb.Fault{Kind: uint32(historyErr.Kind()), Operation: historyErr.Op(), Message: historyErr.Error()}
}
