package convert

import (
	"google.golang.org/protobuf/types/known/durationpb"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// MessagesFromProto converts the messages of a conversation. It fails when a role is
// unknown.
func MessagesFromProto(messages []*pb.Message) ([]program.Message, error) {
	converted := make([]program.Message, 0, len(messages))
	for _, m := range messages {
		role, err := program.ParseRole(m.GetRole())
		if err != nil {
			return nil, err
		}
		converted = append(converted, program.NewMessage(role, m.GetContent()))
	}
	return converted, nil
}

// MessagesToProto converts the messages of a conversation.
func MessagesToProto(messages []program.Message) []*pb.Message {
	converted := make([]*pb.Message, 0, len(messages))
	for _, m := range messages {
		converted = append(converted, &pb.Message{Role: m.Role().String(), Content: m.Content()})
	}
	return converted
}

// UsageFromProto converts the token counts of a call.
func UsageFromProto(u *pb.Usage) program.Usage {
	return program.NewUsage(program.UsageConfig{
		PromptTokens: u.GetPromptTokens(), CachedTokens: u.GetCachedTokens(), OutputTokens: u.GetOutputTokens(),
	})
}

// UsageToProto converts the token counts of a call.
func UsageToProto(u program.Usage) *pb.Usage {
	return &pb.Usage{PromptTokens: u.PromptTokens(), CachedTokens: u.CachedTokens(), OutputTokens: u.OutputTokens()}
}

// FinishReasonToProto converts the reason why an answer ended.
func FinishReasonToProto(r program.FinishReason) pb.FinishReason {
	if r == program.FinishLength {
		return pb.FinishReason_FINISH_REASON_LENGTH
	}
	return pb.FinishReason_FINISH_REASON_STOP
}

// FinishReasonFromProto converts the reason why an answer ended. Every reason but the
// length limit is program.FinishStop.
func FinishReasonFromProto(r pb.FinishReason) program.FinishReason {
	if r == pb.FinishReason_FINISH_REASON_LENGTH {
		return program.FinishLength
	}
	return program.FinishStop
}

// OutcomeToProto converts the outcome of a call.
func OutcomeToProto(o program.Outcome) pb.Outcome {
	switch o {
	case program.Ran:
		return pb.Outcome_OUTCOME_RAN
	case program.NotRun:
		return pb.Outcome_OUTCOME_NOT_RUN
	}
	return pb.Outcome_OUTCOME_IN_DOUBT
}

// OutcomeFromProto converts the outcome of a call. An unspecified or unknown one is
// program.InDoubt.
func OutcomeFromProto(o pb.Outcome) program.Outcome {
	switch o {
	case pb.Outcome_OUTCOME_RAN:
		return program.Ran
	case pb.Outcome_OUTCOME_NOT_RUN:
		return program.NotRun
	}
	return program.InDoubt
}

// AnswerToProto converts an answer to a Result without handle, remaining budget and
// replayed flag, which are not part of an answer.
func AnswerToProto(a program.Answer) *pb.Result {
	return &pb.Result{
		Number: a.Number(), Usage: UsageToProto(a.Usage()), Payload: a.Payload(), Endpoint: a.Endpoint(),
		QueueTime: durationpb.New(a.Timing().Queue), FirstTokenTime: durationpb.New(a.Timing().FirstToken),
		TotalTime: durationpb.New(a.Timing().Total), FinishReason: FinishReasonToProto(a.FinishReason()),
	}
}

// ViewToProto converts the state of a program.
func ViewToProto(v home.View) *pb.Program {
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
