package turn

import (
	"context"
	"time"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

// End settles an attempt: it releases the attempt's reserved tokens and counts the
// delivered ones as spent. If r.Completed is set, End returns when the turn is in the
// log; otherwise it returns at once, before the record is written. It returns an
// error of KindUnavailable when ctx ends first or a shard can't be read, and of
// KindNotFound when the turn continues one that no shard holds.
func (set *ShardSet) End(ctx context.Context, r EndRequest) error {
	s := set.shard(ShardOf(r.Program, set.config.ShardCount))
	end := &turnpb.End{Program: r.Program, Attempt: r.Attempt, Tokens: r.DeliveredTokens}
	if r.Completed != nil {
		if err := s.ensureLoaded(ctx, loadForEnd); err != nil {
			return err
		}
		t, err := s.turnRecord(ctx, r)
		if err != nil {
			return err
		}
		end.Turn = t
	}
	s.mu.Lock()
	delete(s.fetchedTextByAttempt, r.Attempt)
	if r.Endpoint != "" && r.Session != "" {
		s.endpointBySession[r.Session] = r.Endpoint
		if _, ok := s.firstSessionByProgram[r.Program]; !ok {
			s.firstSessionByProgram[r.Program] = r.Session
		}
	}
	end.Spent = s.spentTokensWithPending(r.Program)
	var op *writeOp
	for _, part := range splitTurn(end, set.config.MaxRecordBytes) {
		op = &writeOp{record: &turnpb.Record{Body: &turnpb.Record_End{End: part}}}
		s.submit(op)
	}
	s.mu.Unlock()
	if r.Completed == nil {
		return nil
	}
	return op.waitResolved(ctx)
}

// turnRecord returns the record of a completed turn. It holds only the text that the
// turn adds, or the whole conversation when the earlier turns are in another shard or
// so old that their records are trimmed soon.
func (s *shard) turnRecord(ctx context.Context, r EndRequest) (*turnpb.Turn, error) {
	t := &turnpb.Turn{Previous: r.Completed.Previous, Text: r.Completed.Text, RetentionMs: r.Completed.RetentionMS}
	if r.Completed.Previous == "" {
		return t, nil
	}
	s.mu.Lock()
	node, ok := s.state.turns[r.Completed.Previous]
	earlier, rewrite := s.fetchedTextByAttempt[r.Attempt]
	if ok && (time.Since(node.firstWrittenAt()) > rewriteAge || node.mayExpire(time.Now())) {
		earlier, rewrite = node.conversation(), true
	}
	s.state.hold(r.Completed.Previous, time.Now())
	s.mu.Unlock()
	if ok && !rewrite {
		return t, nil
	}
	if !rewrite {
		text, err := s.findConversation(ctx, BeginRequest{Attempt: r.Attempt, Previous: r.Completed.Previous})
		if err != nil {
			return nil, err
		}
		if _, ok := s.findInMemory(r.Completed.Previous); ok {
			return t, nil
		}
		earlier = text
	}
	t.Text = append(append(make([]byte, 0, len(earlier)+len(t.Text)), earlier...), t.Text...)
	t.Whole = true
	return t, nil
}

// AppendReplicas appends records of a shard that other processes held for a lost one,
// except those that the log already has. It returns when the log has them all, or an
// error of KindUnavailable when ctx ends first or the shard can't be read.
func (set *ShardSet) AppendReplicas(ctx context.Context, shard int, records [][]byte) error {
	return set.shard(shard).appendReplicas(ctx, records)
}
