package record

import (
	"time"

	"github.com/lavendervale/lavendervale/adapter/convert"
	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

func recordToProto(r history.Record) *recordpb.Record {
	m := &recordpb.Record{
		Id: r.ID().Bytes(), Program: r.Program().Bytes(), Epoch: r.Epoch(), Previous: r.Previous().Bytes(),
		PreviousPosition: int64(r.PreviousPosition()), Home: r.Home(), TimeUnixNano: toUnixNano(r.Time()),
	}
	setProtoBody(m, r.Body())
	return m
}

// setProtoBody sets the body of m, which stays empty for history.TypeUnknown.
func setProtoBody(m *recordpb.Record, b history.Body) {
	switch b.Type() {
	case history.TypeStarted:
		m.Body = &recordpb.Record_Started{Started: configToProto(b.Config())}
	case history.TypeTurn:
		m.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{
			Messages: convert.MessagesToProto(b.Messages()), Answer: answerToProto(b.Answer()),
		}}
	case history.TypeClaimed:
		m.Body = &recordpb.Record_Claimed{Claimed: claimToProto(b.Claim())}
	case history.TypeSettled:
		m.Body = &recordpb.Record_Settled{Settled: &recordpb.Settled{
			Number: b.Answer().Number(), Outcome: uint32(b.Outcome()), Answer: answerToProto(b.Answer()),
		}}
	case history.TypeAdopted:
		m.Body = &recordpb.Record_Adopted{Adopted: &recordpb.Adopted{}}
	case history.TypeSnapshot:
		m.Body = &recordpb.Record_Snapshot{Snapshot: SnapshotToProto(b.Snapshot())}
	case history.TypeFinished:
		m.Body = &recordpb.Record_Finished{Finished: &recordpb.Finished{Canceled: b.Canceled()}}
	case history.TypeVoid:
		m.Body = &recordpb.Record_Void{Void: &recordpb.Void{}}
	case history.TypeSplit:
		m.Body = &recordpb.Record_Split{Split: &recordpb.Split{Child: b.Child().Bytes(), Tokens: b.Tokens()}}
	case history.TypeUnsplit:
		m.Body = &recordpb.Record_Unsplit{Unsplit: &recordpb.Unsplit{Child: b.Child().Bytes(), UsedTokens: b.Tokens()}}
	}
}

func configToProto(c program.Config) *recordpb.Started {
	m := &recordpb.Started{
		Caller: c.Caller, Key: c.Key, Class: c.Class, BudgetTokens: c.BudgetTokens, ParentHome: c.ParentHome,
		TimeUnixNano: toUnixNano(c.StartedAt), MaxTurns: uint32(c.MaxTurns), MaxRepeats: uint32(c.MaxRepeats),
	}
	if !c.Parent.IsZero() {
		m.Parent = c.Parent.Bytes()
	}
	return m
}

func answerToProto(a program.Answer) *recordpb.Answer {
	t := a.Timing()
	return &recordpb.Answer{
		Number: a.Number(), Fingerprint: a.Fingerprint().Bytes(), Text: a.Text(), Payload: a.Payload(),
		Usage: convert.UsageToProto(a.Usage()), FinishReason: uint32(a.FinishReason()), QueueNs: int64(t.Queue),
		FirstTokenNs: int64(t.FirstToken), TotalNs: int64(t.Total), Endpoint: a.Endpoint(), InDoubt: a.InDoubt(),
	}
}

func claimToProto(c *program.Claim) *recordpb.Claimed {
	return &recordpb.Claimed{
		Number: c.Number(), ServiceInstance: c.Instance(), Incarnation: c.Incarnation(),
		Fingerprint: c.Fingerprint().Bytes(), Attempt: c.Attempt(),
	}
}

// SnapshotToProto returns the protobuf message for the whole state of a program, without
// its epoch, which the record or message around it carries.
func SnapshotToProto(s *program.Snapshot) *recordpb.Snapshot {
	c := s.Config()
	m := &recordpb.Snapshot{
		Started: configToProto(c.Config), Messages: convert.MessagesToProto(c.History), SpentTokens: c.SpentTokens,
		HistoryTokens: c.HistoryTokens, Repeats: uint32(c.Repeats), ServiceNs: int64(c.ServiceTime),
		State: uint32(c.State), Attempts: c.ClaimAttempts, EndedUnixNano: toUnixNano(c.EndedAt),
	}
	for _, d := range c.DigestByTurn {
		m.Digests = append(m.Digests, d.Bytes())
	}
	if c.LastAnswer != nil {
		m.Last = answerToProto(*c.LastAnswer)
	}
	if c.Claim != nil {
		m.Claimed = claimToProto(c.Claim)
	}
	for id, tokens := range c.ReservedByChild {
		m.Children = append(m.Children, &recordpb.Split{Child: id.Bytes(), Tokens: tokens})
	}
	return m
}

// toUnixNano returns a time in nanoseconds since 1970, 0 for the zero time.
func toUnixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
