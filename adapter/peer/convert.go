package peer

import (
	"errors"
	"time"

	"github.com/lavendervale/lavendervale/adapter/convert"
	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/class"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
)

// faultFromError converts an error to a Fault. An error of another type than
// *program.Error becomes one of program.KindInternal and program.InDoubt.
func faultFromError(err error) *peerpb.Fault {
	programErr := program.AsError(err)
	return &peerpb.Fault{
		Outcome: uint32(programErr.Outcome()), Kind: uint32(programErr.Kind()), RetryAfterNs: int64(programErr.RetryAfter()),
		Operation: programErr.Op(), Message: programErr.Message(), Home: programErr.Home(),
	}
}

// errorFromFault returns the *program.Error that a Fault stands for.
func errorFromFault(m *peerpb.Fault) error {
	return program.NewError(program.ErrorConfig{
		Op: m.GetOperation(), Kind: program.Kind(m.GetKind()), Outcome: program.Outcome(m.GetOutcome()),
		RetryAfter: time.Duration(m.GetRetryAfterNs()), Home: m.GetHome(), Err: errors.New(m.GetMessage()),
	})
}

func loadToProto(load placement.Load) *peerpb.Load {
	m := &peerpb.Load{
		Incarnation: load.Incarnation(), Leaving: load.Leaving(), Programs: load.Programs(), Running: load.Running(),
		Limit: load.Limit(), PrefillTokensPerSecond: load.PrefillRate(), DecodeTokensPerSecond: load.DecodeRate(),
	}
	for r := range class.Ranks {
		m.Waiting = append(m.Waiting, load.Waiting(r))
		m.BacklogTokens = append(m.BacklogTokens, load.WaitingTokens(r))
		m.OwedNs = append(m.OwedNs, int64(load.RemainingService(r)))
	}
	return m
}

// loadFromProto sets ranks that the message lacks to zero and ignores unknown ones, as the
// sender may be of another version.
func loadFromProto(m *peerpb.Load) placement.Load {
	c := placement.LoadConfig{
		Incarnation: m.GetIncarnation(), Leaving: m.GetLeaving(), Programs: m.GetPrograms(), Running: m.GetRunning(),
		Limit: m.GetLimit(), PrefillRate: m.GetPrefillTokensPerSecond(), DecodeRate: m.GetDecodeTokensPerSecond(),
	}
	copy(c.Waiting[:], m.GetWaiting())
	copy(c.WaitingTokens[:], m.GetBacklogTokens())
	for r, owed := range m.GetOwedNs() {
		if r < len(c.RemainingService) {
			c.RemainingService[r] = time.Duration(owed)
		}
	}
	return placement.NewLoad(c)
}

func resultToProto(r home.CallResult) *peerpb.Result {
	result := convert.AnswerToProto(r.Answer())
	result.BudgetLeftTokens = r.BudgetLeft()
	result.Replayed = r.Replayed()
	return &peerpb.Result{Handle: convert.HandleToProto(r.Handle()), Result: result}
}

func resultFromProto(m *peerpb.Result) (home.CallResult, error) {
	handle, err := convert.HandleFromProto(m.GetHandle())
	if err != nil {
		return home.CallResult{}, err
	}
	r := m.GetResult()
	answer := program.RestoreAnswer(r.GetNumber(), program.Digest{}, program.AnswerConfig{
		Payload: r.GetPayload(), Usage: convert.UsageFromProto(r.GetUsage()), FinishReason: convert.FinishReasonFromProto(r.GetFinishReason()),
		Endpoint: r.GetEndpoint(), Timing: program.Timing{
			Queue: r.GetQueueTime().AsDuration(), FirstToken: r.GetFirstTokenTime().AsDuration(),
			Total: r.GetTotalTime().AsDuration(),
		},
	})
	return home.NewCallResult(handle, answer, r.GetBudgetLeftTokens(), r.GetReplayed()), nil
}

func viewToProto(v home.View) *peerpb.State {
	return &peerpb.State{Handle: convert.HandleToProto(v.Handle()), Program: convert.ViewToProto(v)}
}

func viewFromProto(m *peerpb.State) (home.View, error) {
	handle, err := convert.HandleFromProto(m.GetHandle())
	if err != nil {
		return home.View{}, err
	}
	state, err := program.ParseState(m.GetProgram().GetState())
	if err != nil {
		return home.View{}, err
	}
	p := m.GetProgram()
	return home.NewView(home.ViewConfig{
		Handle: handle, State: state, Next: p.GetNextNumber(), Budget: p.GetBudgetTokens(),
		Spent: p.GetSpentTokens(), Reserved: p.GetReservedTokens(), Age: p.GetAge().AsDuration(),
	}), nil
}

func endedToProto(e home.EndResult) *peerpb.State {
	return &peerpb.State{
		Handle: convert.HandleToProto(e.Handle()), TargetMet: e.TargetMet(), LatencyNs: int64(e.Latency()),
		Program: &pb.Program{State: e.State().String(), SpentTokens: e.Spent()},
	}
}

func endedFromProto(m *peerpb.State) (home.EndResult, error) {
	handle, err := convert.HandleFromProto(m.GetHandle())
	if err != nil {
		return home.EndResult{}, err
	}
	state, err := program.ParseState(m.GetProgram().GetState())
	if err != nil {
		return home.EndResult{}, err
	}
	return home.NewEndResult(home.EndResultConfig{
		Handle: handle, State: state, Spent: m.GetProgram().GetSpentTokens(),
		Latency: time.Duration(m.GetLatencyNs()), TargetMet: m.GetTargetMet(),
	}), nil
}

func startRequestFromProto(m *peerpb.Start) (home.StartRequest, error) {
	parent, err := convert.OptionalProgramID(m.GetParent())
	return home.StartRequest{
		Caller: m.GetCaller(), Key: m.GetKey(), Class: m.GetClass(), Budget: m.GetBudgetTokens(),
		Parent: parent, ParentHome: m.GetParentHome(),
	}, err
}

func startRequestToProto(r home.StartRequest) *peerpb.Start {
	m := &peerpb.Start{
		Caller: r.Caller, Key: r.Key, Class: r.Class, BudgetTokens: r.Budget, ParentHome: r.ParentHome,
	}
	if !r.Parent.IsZero() {
		m.Parent = r.Parent.Bytes()
	}
	return m
}
