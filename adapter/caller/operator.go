package caller

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/membership"
)

const (
	// defaultWindow is the time a status covers when none is asked for.
	defaultWindow = 5 * time.Minute
)

// Operators is the OperatorService of an entry.
type Operators struct {
	entry   *entry.Entry
	store   *configuration.Store
	keyring *Keyring
}

// NewOperators returns the service of an entry for the operators of a keyring.
func NewOperators(e *entry.Entry, s *configuration.Store, k *Keyring) *Operators {
	return &Operators{entry: e, store: s, keyring: k}
}

// Publish appends a configuration made from a given version.
func (o *Operators) Publish(ctx context.Context, req *connect.Request[pb.PublishRequest]) (*connect.Response[pb.PublishResponse], error) {
	operator, err := o.keyring.Identify(req.Header())
	if err != nil {
		return nil, connectError(err)
	}
	author := req.Msg.GetAuthor()
	if author == "" {
		author = operator
	}
	version, err := o.entry.Publish(ctx, entry.Publication{Base: req.Msg.GetBaseVersion(), Author: author, Text: req.Msg.GetText()})
	if err != nil {
		return nil, operatorError(err)
	}
	return connect.NewResponse(&pb.PublishResponse{Version: version}), nil
}

// Show reads the configuration in force.
func (o *Operators) Show(_ context.Context, req *connect.Request[pb.ShowRequest]) (*connect.Response[pb.ShowResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	r := o.store.Record()
	return connect.NewResponse(&pb.ShowResponse{Version: o.store.Version(), Text: r.Text(), Author: r.Author()}), nil
}

// History lists the publications seen so far.
func (o *Operators) History(_ context.Context, req *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	reply := &pb.HistoryResponse{}
	for _, a := range o.store.History() {
		reply.Versions = append(reply.Versions, &pb.Version{
			Version: versionOf(a), BaseVersion: a.Record.Base(), Author: a.Record.Author(),
			Time: timestamppb.New(a.Record.Time()), Accepted: a.Err == nil,
		})
	}
	return connect.NewResponse(reply), nil
}

// versionOf returns the version of a record, or its offset when it was refused.
func versionOf(a configuration.Decision) int64 {
	if a.Err != nil {
		return a.Record.Offset()
	}
	return a.Record.Version()
}

// Endpoints lists the endpoints this entry knows.
func (o *Operators) Endpoints(_ context.Context, req *connect.Request[pb.EndpointsRequest]) (*connect.Response[pb.EndpointsResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	reply := &pb.EndpointsResponse{}
	for _, m := range o.entry.Members() {
		if m.Instance().Role() == fleet.EntryRole {
			continue
		}
		reply.Endpoints = append(reply.Endpoints, o.endpoint(m))
	}
	return connect.NewResponse(reply), nil
}

func (o *Operators) endpoint(m membership.Member) *pb.Endpoint {
	state := m.State().String()
	if m.Leaving() || o.store.Current().Draining(m.Name()) {
		state = "draining"
	}
	e := &pb.Endpoint{
		Name: m.Name(), Address: m.Instance().Address(), Domain: m.Instance().Domain(),
		Role: m.Instance().Role().String(), State: state, Running: m.Load().Running(),
		Programs: m.Load().Programs(), ConfigVersion: m.ConfigVersion(),
	}
	for r := range class.Ranks {
		e.Waiting += m.Load().Waiting(r)
	}
	return e
}

// Status reports how programs fared against their targets.
func (o *Operators) Status(_ context.Context, req *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	window := req.Msg.GetWindow().AsDuration()
	if window <= 0 {
		window = defaultWindow
	}
	reply := &pb.StatusResponse{}
	for _, s := range o.entry.Status(window) {
		reply.Classes = append(reply.Classes, o.classStatus(s))
	}
	return connect.NewResponse(reply), nil
}

func (o *Operators) classStatus(s entry.ClassStatus) *pb.ClassStatus {
	m := &pb.ClassStatus{
		Class: s.Class, Started: s.Started, Refused: s.Refused, Finished: s.Finished, Met: s.Met,
		Canceled: s.Canceled, P50: durationpb.New(s.P50), P95: durationpb.New(s.P95),
	}
	if c, ok := o.store.Current().Class(s.Class); ok {
		m.Rank = c.Rank().String()
		m.Target = durationpb.New(c.Target())
	}
	return m
}
