package convert

import (
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/program"
)

// Work is one of the three kinds of work a call can carry on the wire.
type Work interface {
	GetModel() *pb.ModelCall
	GetIdempotent() *pb.ServiceCall
	GetOrder() *pb.ServiceCall
	GetReceived() string
}

// Call returns the call that a request carries.
func Call(number uint32, w Work) (program.Call, error) {
	c := program.CallConfig{Number: number, ReceivedText: w.GetReceived()}
	switch {
	case w.GetModel() != nil:
		messages, err := Messages(w.GetModel().GetMessages())
		if err != nil {
			return program.Call{}, err
		}
		c.Type = program.ModelCall
		c.Messages = messages
		c.MaxTokens = w.GetModel().GetMaxTokens()
	case w.GetIdempotent() != nil:
		fillService(&c, program.IdempotentCall, w.GetIdempotent())
	case w.GetOrder() != nil:
		fillService(&c, program.OrderCall, w.GetOrder())
	default:
		return program.Call{}, program.Errorf("read call", program.KindInvalid, "call carries none of model, idempotent, order")
	}
	return program.NewCall(c)
}

func fillService(c *program.CallConfig, work program.CallType, s *pb.ServiceCall) {
	c.Type = work
	c.Service = s.GetService()
	c.Method = s.GetMethod()
	c.Payload = s.GetPayload()
}

// FromModel returns the wire form of a model call.
func FromModel(c program.Call) *pb.ModelCall {
	return &pb.ModelCall{Messages: FromMessages(c.Messages()), MaxTokens: c.MaxTokens()}
}

// FromService returns the wire form of a service call.
func FromService(c program.Call) *pb.ServiceCall {
	return &pb.ServiceCall{Service: c.Service(), Method: c.Method(), Payload: c.Payload()}
}
