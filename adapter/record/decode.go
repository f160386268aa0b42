package record

import (
	"time"

	"github.com/gravitational/trace"

	"github.com/lavendervale/lavendervale/adapter/convert"
	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

func recordFromProto(m *recordpb.Record) (history.Record, error) {
	id, err := program.IDFromBytes(m.GetProgram())
	if err != nil {
		return history.Record{}, trace.Wrap(err)
	}
	body, err := bodyFromProto(m)
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

func bodyFromProto(m *recordpb.Record) (history.Body, error) {
	switch b := m.GetBody().(type) {
	case *recordpb.Record_Started:
		c, err := configFromProto(b.Started)
		return history.Started(c), err
	case *recordpb.Record_Turn:
		return turnFromProto(b.Turn)
	case *recordpb.Record_Claimed:
		c, err := claimFromProto(b.Claimed)
		return history.Claimed(c), err
	case *recordpb.Record_Settled:
		a, err := answerFromProto(b.Settled.GetAnswer())
		return history.Settled(program.Outcome(b.Settled.GetOutcome()), a), err
	case *recordpb.Record_Adopted:
		return history.Adopted(), nil
	case *recordpb.Record_Snapshot:
		s, err := SnapshotFromProto(b.Snapshot, m.GetEpoch())
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
	return history.Body{}, trace.BadParameter("record body has no type that this version knows")
}

func turnFromProto(t *recordpb.Turn) (history.Body, error) {
	messages, err := convert.MessagesFromProto(t.GetMessages())
	if err != nil {
		return history.Body{}, err
	}
	a, err := answerFromProto(t.GetAnswer())
	return history.Turn(messages, a), err
}

func configFromProto(m *recordpb.Started) (program.Config, error) {
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

func answerFromProto(m *recordpb.Answer) (program.Answer, error) {
	fingerprint, err := program.DigestFromBytes(m.GetFingerprint())
	if err != nil {
		return program.Answer{}, err
	}
	return program.RestoreAnswer(m.GetNumber(), fingerprint, program.AnswerConfig{
		Text: m.GetText(), Payload: m.GetPayload(), Usage: convert.UsageFromProto(m.GetUsage()),
		FinishReason: program.FinishReason(m.GetFinishReason()), Endpoint: m.GetEndpoint(), InDoubt: m.GetInDoubt(),
		Timing: program.Timing{
			Queue: time.Duration(m.GetQueueNs()), FirstToken: time.Duration(m.GetFirstTokenNs()),
			Total: time.Duration(m.GetTotalNs()),
		},
	}), nil
}

func claimFromProto(m *recordpb.Claimed) (*program.Claim, error) {
	fingerprint, err := program.DigestFromBytes(m.GetFingerprint())
	if err != nil {
		return nil, err
	}
	return program.NewClaim(program.ClaimConfig{
		Number: m.GetNumber(), Fingerprint: fingerprint, Instance: m.GetServiceInstance(),
		Incarnation: m.GetIncarnation(), Attempt: m.GetAttempt(),
	}), nil
}

// SnapshotFromProto returns the state of a program encoded by SnapshotToProto, with an
// epoch that is not part of m. The error is set when an id or a digest in m is invalid, or
// when m holds no digest.
func SnapshotFromProto(m *recordpb.Snapshot, epoch uint64) (*program.Snapshot, error) {
	c := program.SnapshotConfig{
		Epoch: epoch, State: program.State(m.GetState()), HistoryTokens: m.GetHistoryTokens(),
		SpentTokens: m.GetSpentTokens(), Repeats: int(m.GetRepeats()), ClaimAttempts: m.GetAttempts(), ServiceTime: time.Duration(m.GetServiceNs()),
		EndedAt: fromUnixNano(m.GetEndedUnixNano()), ReservedByChild: map[program.ID]int64{},
	}
	var err error
	if c.Config, err = configFromProto(m.GetStarted()); err != nil {
		return nil, err
	}
	if c.History, err = convert.MessagesFromProto(m.GetMessages()); err != nil {
		return nil, err
	}
	if err := snapshotPartsFromProto(m, &c); err != nil {
		return nil, err
	}
	return program.NewSnapshot(c)
}

// snapshotPartsFromProto decodes the digests, the children, the last answer and the open
// claim of a snapshot into c.
func snapshotPartsFromProto(m *recordpb.Snapshot, c *program.SnapshotConfig) error {
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
		a, err := answerFromProto(m.GetLast())
		if err != nil {
			return err
		}
		c.LastAnswer = &a
	}
	if m.GetClaimed() == nil {
		return nil
	}
	claim, err := claimFromProto(m.GetClaimed())
	c.Claim = claim
	return err
}

// fromUnixNano returns the time that is n nanoseconds since 1970, the zero time for 0.
func fromUnixNano(n int64) time.Time {
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}
