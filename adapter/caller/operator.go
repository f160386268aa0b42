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
	// defaultWindow is the window of Status if the request has none.
	defaultWindow = 5 * time.Minute
)

// OperatorService lets operators publish configurations and see the state of the system,
// as known to one entry.
type OperatorService struct {
	entry          *entry.Entry
	configurations *configuration.Store
	keyring        *Keyring
}

// NewOperatorService returns the service of an entry for the operators whose keys are in
// keyring.
func NewOperatorService(e *entry.Entry, configurations *configuration.Store, keyring *Keyring) *OperatorService {
	return &OperatorService{entry: e, configurations: configurations, keyring: keyring}
}

// Publish appends a configuration to the log and waits until it is accepted or refused. It
// fails with CodeAborted if the configuration was made from another version than the one
// in force, and with CodeInvalidArgument if it is invalid. The author defaults to the
// operator who sends the request.
func (o *OperatorService) Publish(ctx context.Context, req *connect.Request[pb.PublishRequest]) (*connect.Response[pb.PublishResponse], error) {
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

// Show returns the configuration in force.
func (o *OperatorService) Show(_ context.Context, req *connect.Request[pb.ShowRequest]) (*connect.Response[pb.ShowResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	record := o.configurations.Record()
	return connect.NewResponse(&pb.ShowResponse{Version: o.configurations.Version(), Text: record.Text(), Author: record.Author()}), nil
}

// History returns the latest publications that this entry knows, accepted and refused ones.
func (o *OperatorService) History(_ context.Context, req *connect.Request[pb.HistoryRequest]) (*connect.Response[pb.HistoryResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	response := &pb.HistoryResponse{}
	for _, decision := range o.configurations.History() {
		response.Versions = append(response.Versions, &pb.Version{
			Version: versionOrOffset(decision), BaseVersion: decision.Record.Base(), Author: decision.Record.Author(),
			Time: timestamppb.New(decision.Record.Time()), Accepted: decision.Err == nil,
		})
	}
	return connect.NewResponse(response), nil
}

// versionOrOffset returns the version of an accepted publication. A refused one has no
// version and is identified by its offset in the log.
func versionOrOffset(decision configuration.Decision) int64 {
	if decision.Err != nil {
		return decision.Record.Offset()
	}
	return decision.Record.Version()
}

// Endpoints returns the endpoints that this entry knows, with their load.
func (o *OperatorService) Endpoints(_ context.Context, req *connect.Request[pb.EndpointsRequest]) (*connect.Response[pb.EndpointsResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	response := &pb.EndpointsResponse{}
	for _, member := range o.entry.Members() {
		if member.Instance().Role() == fleet.EntryRole {
			continue
		}
		response.Endpoints = append(response.Endpoints, o.endpointMessage(member))
	}
	return connect.NewResponse(response), nil
}

func (o *OperatorService) endpointMessage(member membership.Member) *pb.Endpoint {
	state := member.State().String()
	if member.Leaving() || o.configurations.Current().Draining(member.Name()) {
		state = "draining"
	}
	message := &pb.Endpoint{
		Name: member.Name(), Address: member.Instance().Address(), Domain: member.Instance().Domain(),
		Role: member.Instance().Role().String(), State: state, Running: member.Load().Running(),
		Programs: member.Load().Programs(), ConfigVersion: member.ConfigVersion(),
	}
	for rank := range class.Ranks {
		message.Waiting += member.Load().Waiting(rank)
	}
	return message
}

// Status returns counts and latencies of the programs of each class in the window, and
// how many met the target time of the class.
func (o *OperatorService) Status(_ context.Context, req *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	if _, err := o.keyring.Identify(req.Header()); err != nil {
		return nil, connectError(err)
	}
	window := req.Msg.GetWindow().AsDuration()
	if window <= 0 {
		window = defaultWindow
	}
	response := &pb.StatusResponse{}
	for _, status := range o.entry.Status(window) {
		response.Classes = append(response.Classes, o.classStatusMessage(status))
	}
	return connect.NewResponse(response), nil
}

func (o *OperatorService) classStatusMessage(status entry.ClassStatus) *pb.ClassStatus {
	message := &pb.ClassStatus{
		Class: status.Class, Started: status.Started, Refused: status.Refused, Finished: status.Finished, Met: status.Met,
		Canceled: status.Canceled, P50: durationpb.New(status.P50), P95: durationpb.New(status.P95),
	}
	if programClass, ok := o.configurations.Current().Class(status.Class); ok {
		message.Rank = programClass.Rank().String()
		message.Target = durationpb.New(programClass.Target())
	}
	return message
}
