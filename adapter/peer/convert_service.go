package peer

import (
	"errors"
	"time"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

// serviceRequestToProto converts a request to run a call, or with query to look up the
// outcome of an order.
func serviceRequestToProto(r order.Request, query bool) *peerpb.Serve {
	return &peerpb.Serve{
		Program: r.Key().Program().Bytes(), Number: r.Key().Number(), Attempt: r.Key().Attempt(), Epoch: r.Epoch(),
		Incarnation: r.Incarnation(), Order: !r.Idempotent(), Query: query,
		Rank: uint32(r.Rank()), DeadlineUnixNano: r.Deadline().UnixNano(),
		Call: &pb.ServiceCall{Service: r.Service(), Method: r.Method(), Payload: r.Payload()},
	}
}

// serviceRequestFromProto fails with order.KindNotRun, as a request that can't be decoded
// is not executed.
func serviceRequestFromProto(m *peerpb.Serve) (order.Request, error) {
	id, err := program.IDFromBytes(m.GetProgram())
	if err != nil {
		return order.Request{}, order.Errorf("decode request", order.KindNotRun, "%w", err)
	}
	if m.GetRank() >= uint32(class.Ranks) {
		return order.Request{}, order.Errorf("decode request", order.KindNotRun, "unknown rank %d", m.GetRank())
	}
	call := m.GetCall()
	return order.NewRequest(order.RequestConfig{
		Key: order.NewKey(id, m.GetNumber(), m.GetAttempt()), Epoch: m.GetEpoch(), Incarnation: m.GetIncarnation(),
		Idempotent: !m.GetOrder(), Rank: class.Rank(m.GetRank()), Deadline: time.Unix(0, m.GetDeadlineUnixNano()), Service: call.GetService(), Method: call.GetMethod(), Payload: call.GetPayload(),
	}), nil
}

// faultFromServiceError converts an error to a Fault. An error of another type than
// *order.Error becomes one of order.KindInDoubt.
func faultFromServiceError(err error) *peerpb.Fault {
	var orderErr *order.Error
	if !errors.As(err, &orderErr) {
		orderErr = order.Errorf("handle service call", order.KindInDoubt, "%w", err)
	}
	return &peerpb.Fault{Kind: uint32(orderErr.Kind()), Operation: orderErr.Op(), Message: orderErr.Message(), Final: orderErr.Final()}
}

// serviceErrorFromFault returns the *order.Error that the process beside the service
// reported. A final fault becomes one whose Final method returns true.
func serviceErrorFromFault(fault *peerpb.Fault) error {
	if fault.GetFinal() {
		return order.FinalInDoubtf(fault.GetOperation(), "%s", fault.GetMessage())
	}
	return order.Errorf(fault.GetOperation(), order.Kind(fault.GetKind()), "%s", fault.GetMessage())
}
