package convert

import (
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// Messages returns the messages of a call.
func Messages(list []*pb.Message) ([]program.Message, error) {
	messages := make([]program.Message, 0, len(list))
	for _, m := range list {
		role, err := program.ParseRole(m.GetRole())
		if err != nil {
			return nil, err
		}
		messages = append(messages, program.NewMessage(role, m.GetContent()))
	}
	return messages, nil
}

// FromMessages returns the wire form of messages.
func FromMessages(messages []program.Message) []*pb.Message {
	list := make([]*pb.Message, 0, len(messages))
	for _, m := range messages {
		list = append(list, &pb.Message{Role: m.Role().String(), Content: m.Content()})
	}
	return list
}

// Usage returns the token counts of a call.
func Usage(u *pb.Usage) program.Usage {
	return program.NewUsage(program.UsageConfig{
		PromptTokens: u.GetPromptTokens(), CachedTokens: u.GetCachedTokens(), OutputTokens: u.GetOutputTokens(),
	})
}

// FromUsage returns the wire form of token counts.
func FromUsage(u program.Usage) *pb.Usage {
	return &pb.Usage{PromptTokens: u.PromptTokens(), CachedTokens: u.CachedTokens(), OutputTokens: u.OutputTokens()}
}

// FromStop returns the wire form of the reason an answer ended.
func FromStop(s program.FinishReason) pb.FinishReason {
	if s == program.FinishLength {
		return pb.FinishReason_FINISH_REASON_LENGTH
	}
	return pb.FinishReason_FINISH_REASON_STOP
}

// Stop returns the reason an answer ended.
func Stop(r pb.FinishReason) program.FinishReason {
	if r == pb.FinishReason_FINISH_REASON_LENGTH {
		return program.FinishLength
	}
	return program.FinishStop
}

// FromOutcome returns the wire form of an outcome.
func FromOutcome(o program.Outcome) pb.Outcome {
	switch o {
	case program.Ran:
		return pb.Outcome_OUTCOME_RAN
	case program.NotRun:
		return pb.Outcome_OUTCOME_NOT_RUN
	}
	return pb.Outcome_OUTCOME_IN_DOUBT
}

// Outcome returns the outcome a caller was told.
func Outcome(o pb.Outcome) program.Outcome {
	switch o {
	case pb.Outcome_OUTCOME_RAN:
		return program.Ran
	case pb.Outcome_OUTCOME_NOT_RUN:
		return program.NotRun
	}
	return program.InDoubt
}

// FromAnswer returns the wire form of an answer, without its handle.
func FromAnswer(a program.Answer) *pb.Result {
	return &pb.Result{
		Number: a.Number(), Usage: FromUsage(a.Usage()), Payload: a.Payload(), Endpoint: a.Endpoint(),
		QueueTime: durationpb.New(a.Timing().Queue), FirstTokenTime: durationpb.New(a.Timing().FirstToken),
		TotalTime: durationpb.New(a.Timing().Total), FinishReason: FromStop(a.FinishReason()),
	}
}

// FromView returns the wire form of a program's state.
func FromView(v home.View) *pb.Program {
	h := v.Handle()
	state := &pb.Program{
		Id: h.Program().String(), Class: h.Class(), State: v.State().String(), Endpoint: h.Home(),
		Epoch: h.Epoch(), NextNumber: v.Next(), BudgetTokens: v.Budget(), SpentTokens: v.Spent(),
		ReservedTokens: v.Reserved(), Age: durationpb.New(v.Age()),
	}
	if !h.Parent().IsZero() {
		state.Parent = h.Parent().String()
	}
	return state
}
