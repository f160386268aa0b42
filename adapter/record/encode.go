package record

import (
	"time"

	"github.com/lavendervale/lavendervale/adapter/convert"
	recordpb "github.com/lavendervale/lavendervale/api/record/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/program"
)

func fromRecord(r history.Record) *recordpb.Record {
	m := &recordpb.Record{
		Id: r.ID().Bytes(), Program: r.Program().Bytes(), Epoch: r.Epoch(), Previous: r.Previous().Bytes(),
		PreviousPosition: int64(r.PreviousPosition()), Home: r.Home(), TimeUnixNano: unixNano(r.Time()),
	}
	setBody(m, r.Body())
	return m
}

func setBody(m *recordpb.Record, b history.Body) {
	switch b.Step() {
	case history.StepStarted:
		m.Body = &recordpb.Record_Started{Started: fromConfig(b.Started())}
	case history.StepTurn:
		m.Body = &recordpb.Record_Turn{Turn: &recordpb.Turn{
			Messages: convert.FromMessages(b.Messages()), Answer: fromAnswer(b.Answer()),
		}}
	case history.StepClaimed:
		m.Body = &recordpb.Record_Claimed{Claimed: fromClaim(b.Claim())}
	case history.StepSettled:
		m.Body = &recordpb.Record_Settled{Settled: &recordpb.Settled{
			Number: b.Answer().Number(), Outcome: uint32(b.Outcome()), Answer: fromAnswer(b.Answer()),
		}}
	case history.StepAdopted:
		m.Body = &recordpb.Record_Adopted{Adopted: &recordpb.Adopted{}}
	case history.StepSnapshot:
		m.Body = &recordpb.Record_Snapshot{Snapshot: FromSnapshot(b.Snapshot())}
	case history.StepFinished:
		m.Body = &recordpb.Record_Finished{Finished: &recordpb.Finished{Canceled: b.Canceled()}}
	case history.StepVoid:
		m.Body = &recordpb.Record_Void{Void: &recordpb.Void{}}
	case history.StepSplit:
		m.Body = &recordpb.Record_Split{Split: &recordpb.Split{Child: b.Child().Bytes(), Tokens: b.Tokens()}}
	case history.StepUnsplit:
		m.Body = &recordpb.Record_Unsplit{Unsplit: &recordpb.Unsplit{Child: b.Child().Bytes(), UsedTokens: b.Tokens()}}
	}
}

func fromConfig(c program.Config) *recordpb.Started {
	m := &recordpb.Started{
		Caller: c.Caller, Key: c.Key, Class: c.Class, BudgetTokens: c.BudgetTokens, ParentHome: c.ParentHome,
		TimeUnixNano: unixNano(c.StartedAt), MaxTurns: uint32(c.MaxTurns), MaxRepeats: uint32(c.MaxRepeats),
	}
	if !c.Parent.IsZero() {
		m.Parent = c.Parent.Bytes()
	}
	return m
}

func fromAnswer(a program.Answer) *recordpb.Answer {
	t := a.Timing()
	return &recordpb.Answer{
		Number: a.Number(), Fingerprint: a.Fingerprint().Bytes(), Text: a.Text(), Payload: a.Payload(),
		Usage: convert.FromUsage(a.Usage()), FinishReason: uint32(a.FinishReason()), QueueNs: int64(t.Queue),
		FirstTokenNs: int64(t.FirstToken), TotalNs: int64(t.Total), Endpoint: a.Endpoint(), InDoubt: a.InDoubt(),
	}
}

func fromClaim(c *program.Claim) *recordpb.Claimed {
	return &recordpb.Claimed{
		Number: c.Number(), ServiceInstance: c.Instance(), Incarnation: c.Incarnation(),
		Fingerprint: c.Fingerprint().Bytes(), Attempt: c.Attempt(),
	}
}

// FromSnapshot returns the wire form of a program's whole state.
func FromSnapshot(s *program.Snapshot) *recordpb.Snapshot {
	c := s.Config()
	m := &recordpb.Snapshot{
		Started: fromConfig(c.Config), Messages: convert.FromMessages(c.History), SpentTokens: c.SpentTokens,
		HistoryTokens: c.HistoryTokens, Repeats: uint32(c.Repeats), ServiceNs: int64(c.ServiceTime),
		State: uint32(c.State), Attempts: c.ClaimAttempts, EndedUnixNano: unixNano(c.EndedAt),
	}
	for _, d := range c.DigestByTurn {
		m.Digests = append(m.Digests, d.Bytes())
	}
	if c.LastAnswer != nil {
		m.Last = fromAnswer(*c.LastAnswer)
	}
	if c.Claim != nil {
		m.Claimed = fromClaim(c.Claim)
	}
	for id, tokens := range c.ReservedByChild {
		m.Children = append(m.Children, &recordpb.Split{Child: id.Bytes(), Tokens: tokens})
	}
	return m
}

func unixNano(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}
