package peer

import (
	"time"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

func fromServe(r order.Request, query bool) *peerpb.Serve {
	return &peerpb.Serve{
		Program: r.Key().Program().Bytes(), Number: r.Key().Number(), Attempt: r.Key().Attempt(), Epoch: r.Epoch(),
		Incarnation: r.Incarnation(), Order: !r.Idempotent(), Query: query,
		Rank: uint32(r.Rank()), DeadlineUnixNano: r.Deadline().UnixNano(),
		Call: &pb.ServiceCall{Service: r.Service(), Method: r.Method(), Payload: r.Payload()},
	}
}

func toServe(m *peerpb.Serve) (order.Request, error) {
	id, err := program.IDFromBytes(m.GetProgram())
	if err != nil {
		return order.Request{}, order.Errorf("read request", order.KindNotRun, "%w", err)
	}
	if m.GetRank() >= uint32(class.Ranks) {
		return order.Request{}, order.Errorf("read request", order.KindNotRun, "rank %d is not known", m.GetRank())
	}
	call := m.GetCall()
	return order.NewRequest(order.RequestConfig{
		Key: order.NewKey(id, m.GetNumber(), m.GetAttempt()), Epoch: m.GetEpoch(), Incarnation: m.GetIncarnation(),
		Idempotent: !m.GetOrder(), Rank: class.Rank(m.GetRank()), Deadline: time.Unix(0, m.GetDeadlineUnixNano()), Service: call.GetService(), Method: call.GetMethod(), Payload: call.GetPayload(),
	}), nil
}

// serveFault turns the fault of a service call into the error of the ledger.
func serveFault(f *peerpb.Fault) error {
	if f.GetFinal() {
		return order.FinalInDoubtf(f.GetOperation(), "%s", f.GetMessage())
	}
	return order.Errorf(f.GetOperation(), order.Kind(f.GetKind()), "%s", f.GetMessage())
}
