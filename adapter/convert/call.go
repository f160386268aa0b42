package convert

import (
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/program"
)

// CallMessage is a message that holds a call: a model call, an idempotent service call or
// an order. The protocol for callers and the one between processes each have one.
type CallMessage interface {
	GetModel() *pb.ModelCall
	GetIdempotent() *pb.ServiceCall
	GetOrder() *pb.ServiceCall
	GetReceived() string
}

// CallFromProto returns the call in a message. It fails with program.KindInvalid when the
// message holds no call.
func CallFromProto(number uint32, m CallMessage) (program.Call, error) {
	config := program.CallConfig{Number: number, ReceivedText: m.GetReceived()}
	switch {
	case m.GetModel() != nil:
		messages, err := MessagesFromProto(m.GetModel().GetMessages())
		if err != nil {
			return program.Call{}, err
		}
		config.Type = program.ModelCall
		config.Messages = messages
		config.MaxTokens = m.GetModel().GetMaxTokens()
	case m.GetIdempotent() != nil:
		setServiceCall(&config, program.IdempotentCall, m.GetIdempotent())
	case m.GetOrder() != nil:
		setServiceCall(&config, program.OrderCall, m.GetOrder())
	default:
		return program.Call{}, program.Errorf("read call", program.KindInvalid, "call has none of the fields model, idempotent and order")
	}
	return program.NewCall(config)
}

// setServiceCall sets the fields of a service call.
func setServiceCall(config *program.CallConfig, callType program.CallType, s *pb.ServiceCall) {
	config.Type = callType
	config.Service = s.GetService()
	config.Method = s.GetMethod()
	config.Payload = s.GetPayload()
}

// ModelCallToProto converts the model call in c.
func ModelCallToProto(c program.Call) *pb.ModelCall {
	return &pb.ModelCall{Messages: MessagesToProto(c.Messages()), MaxTokens: c.MaxTokens()}
}

// ServiceCallToProto converts the idempotent service call or the order in c.
func ServiceCallToProto(c program.Call) *pb.ServiceCall {
	return &pb.ServiceCall{Service: c.Service(), Method: c.Method(), Payload: c.Payload()}
}
