package record

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/lavendervale/lavendervale/adapter/convert"
	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

func toRecord(m *recordpb.Record) (history.Record, error) {
	id, err := program.IDFromBytes(m.GetProgram())
	if err != nil {
		return history.Record{}, trace.Wrap(err)
	}
	body, err := toBody(m)
	if err != nil {
		return history.Record{}, trace.Wrap(err)
	}
	return history.NewRecord(history.RecordConfig{
		ID: history.RecordIDFromBytes(m.GetId()), Program: id, Epoch: m.GetEpoch(),
		Previous:         history.RecordIDFromBytes(m.GetPrevious()),
		PreviousPosition: history.Position(m.GetPreviousPosition()), Home: m.GetHome(),
		Time: fromUnixNano(m.GetTimeUnixNano()), Body: body,
	}), nil
}

func toBody(m *recordpb.Record) (history.Body, error) {
	switch b := m.GetBody().(type) {
	case *recordpb.Record_Started:
		c, err := toConfig(b.Started)
		return history.Started(c), err
	case *recordpb.Record_Turn:
		return toTurn(b.Turn)
	case *recordpb.Record_Claimed:
		c, err := toClaim(b.Claimed)
		return history.Claimed(c), err
	case *recordpb.Record_Settled:
		a, err := toAnswer(b.Settled.GetAnswer())
		return history.Settled(program.Outcome(b.Settled.GetOutcome()), a), err
	case *recordpb.Record_Adopted:
		return history.Adopted(), nil
	case *recordpb.Record_Snapshot:
		s, err := ToSnapshot(b.Snapshot, m.GetEpoch())
		return history.Snapshot(s), err
	case *recordpb.Record_Finished:
		return history.Finished(b.Finished.GetCanceled()), nil
	case *recordpb.Record_Void:
		return history.Void(), nil
	case *recordpb.Record_Split:
		child, err := program.IDFromBytes(b.Split.GetChild())
		return history.Split(child, b.Split.GetTokens()), err
	case *recordpb.Record_Unsplit:
		child, err := program.IDFromBytes(b.Unsplit.GetChild())
		return history.Unsplit(child, b.Unsplit.GetUsedTokens()), err
	}
	return history.Body{}, trace.BadParameter("record has a body this version does not know")
}

func toTurn(t *recordpb.Turn) (history.Body, error) {
	messages, err := convert.Messages(t.GetMessages())
	if err != nil {
		return history.Body{}, err
	}
	a, err := toAnswer(t.GetAnswer())
	return history.Turn(messages, a), err
}

func toConfig(m *recordpb.Started) (program.Config, error) {
	c := program.Config{
		Caller: m.GetCaller(), Key: m.GetKey(), Class: m.GetClass(), BudgetTokens: m.GetBudgetTokens(),
		ParentHome: m.GetParentHome(), StartedAt: fromUnixNano(m.GetTimeUnixNano()),
		MaxTurns: int(m.GetMaxTurns()), MaxRepeats: int(m.GetMaxRepeats()),
	}
	if len(m.GetParent()) == 0 {
		return c, nil
	}
	parent, err := program.IDFromBytes(m.GetParent())
	c.Parent = parent
	return c, err
}

func toAnswer(m *recordpb.Answer) (program.Answer, error) {
	fingerprint, err := program.DigestFromBytes(m.GetFingerprint())
	if err != nil {
		return program.Answer{}, err
	}
	return program.RestoreAnswer(m.GetNumber(), fingerprint, program.AnswerConfig{
		Text: m.GetText(), Payload: m.GetPayload(), Usage: convert.Usage(m.GetUsage()),
		FinishReason: program.FinishReason(m.GetFinishReason()), Endpoint: m.GetEndpoint(), InDoubt: m.GetInDoubt(),
		Timing: program.Timing{
			Queue: time.Duration(m.GetQueueNs()), FirstToken: time.Duration(m.GetFirstTokenNs()),
			Total: time.Duration(m.GetTotalNs()),
		},
	}), nil
}

func toClaim(m *recordpb.Claimed) (*program.Claim, error) {
	fingerprint, err := program.DigestFromBytes(m.GetFingerprint())
	if err != nil {
		return nil, err
	}
	return program.NewClaim(program.ClaimConfig{
		Number: m.GetNumber(), Fingerprint: fingerprint, Instance: m.GetServiceInstance(),
		Incarnation: m.GetIncarnation(), Attempt: m.GetAttempt(),
	}), nil
}

// ToSnapshot returns the state of a program, or an error when it is not whole.
func ToSnapshot(m *recordpb.Snapshot, epoch uint64) (*program.Snapshot, error) {
	c := program.SnapshotConfig{
		Epoch: epoch, State: program.State(m.GetState()), HistoryTokens: m.GetHistoryTokens(),
		SpentTokens: m.GetSpentTokens(), Repeats: int(m.GetRepeats()), ClaimAttempts: m.GetAttempts(), ServiceTime: time.Duration(m.GetServiceNs()),
		EndedAt: fromUnixNano(m.GetEndedUnixNano()), ReservedByChild: map[program.ID]int64{},
	}
	var err error
	if c.Config, err = toConfig(m.GetStarted()); err != nil {
		return nil, err
	}
	if c.History, err = convert.Messages(m.GetMessages()); err != nil {
		return nil, err
	}
	if err := readSnapshotLists(m, &c); err != nil {
		return nil, err
	}
	return program.NewSnapshot(c)
}

func readSnapshotLists(m *recordpb.Snapshot, c *program.SnapshotConfig) error {
	for _, b := range m.GetDigests() {
		d, err := program.DigestFromBytes(b)
		if err != nil {
			return err
		}
		c.DigestByTurn = append(c.DigestByTurn, d)
	}
	for _, s := range m.GetChildren() {
		child, err := program.IDFromBytes(s.GetChild())
		if err != nil {
			return err
		}
		c.ReservedByChild[child] = s.GetTokens()
	}
	if m.GetLast() != nil {
		a, err := toAnswer(m.GetLast())
		if err != nil {
			return err
		}
		c.LastAnswer = &a
	}
	if m.GetClaimed() == nil {
		return nil
	}
	claim, err := toClaim(m.GetClaimed())
	c.Claim = claim
	return err
}

func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
