package turn

import (
	"context"
	"errors"
	"time"

	turnpb "github.com/lavendervale/lavendervale/api/turn/v1"
)

// localAdmission is an attempt admitted against the state of a shard held by this
// process.
type localAdmission struct {
	conversation []byte
	endpoint     string
	begun        bool
	waited       time.Duration
	// op writes the begin record, nil when the program has no budget.
	op *writeOp
}

// Text returns the conversation that the turn continues, nil for a new one.
func (a *localAdmission) Text() []byte { return a.conversation }

// Endpoint returns the endpoint likely to have the conversation in its prompt
// cache, empty when none is known.
func (a *localAdmission) Endpoint() string { return a.endpoint }

// Begun reports whether an attempt of the program has delivered tokens or been completed, or the turn
// continues another one.
func (a *localAdmission) Begun() bool { return a.begun }

// Waited returns the time since this process was first asked to begin the program, 0 if it has begun.
func (a *localAdmission) Waited() time.Duration { return a.waited }

// Wait blocks until the begin record is in the log, replicated or covered by a lease. It returns an
// error of KindBudget when the attempt no longer fits the budget, and of
// KindUnavailable when ctx ends first.
func (a *localAdmission) Wait(ctx context.Context) error {
	if a.op == nil {
		return nil
	}
	return a.op.waitResolved(ctx)
}

// Begin admits an attempt of a turn against the budget of its program and finds
// the conversation that it continues. The attempt must not deliver output before
// the Wait method of the admission has returned nil. Begin returns an error of
// KindBudget when the budget has too few tokens left, of KindNotFound when no
// shard holds the previous turn, and of KindUnavailable when a shard can't be read.
func (set *ShardSet) Begin(ctx context.Context, r BeginRequest) (Admission, error) {
	s := set.shard(ShardOf(r.Program, set.config.ShardCount))
	if err := s.ensureLoaded(ctx, loadForBegin); err != nil {
		return nil, err
	}
	admitted := &localAdmission{}
	if r.Previous != "" {
		text, err := s.findConversation(ctx, r)
		if err != nil {
			return nil, err
		}
		admitted.conversation = text
		s.mu.Lock()
		s.state.hold(r.Previous, time.Now())
		s.mu.Unlock()
	}
	err := s.admit(r, admitted)
	if errors.Is(err, errLeased) && s.readToEnd(ctx) == nil {
		// The holder of the lease may have released it.
		err = s.admit(r, admitted)
	}
	if err != nil {
		return nil, err
	}
	return admitted, nil
}

// admit checks an attempt against the budget of its program and queues its begin record.
func (s *shard) admit(r BeginRequest, admitted *localAdmission) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	admitted.endpoint = s.sessionEndpoint(r)
	admitted.begun = r.Previous != "" || s.hasBegun(r.Program)
	admitted.waited = s.waitedToBegin(r.Program, admitted.begun, time.Now())
	if r.BudgetTokens <= 0 {
		return nil
	}
	if admitted.op = s.pendingBegin(r.Attempt); admitted.op != nil {
		return nil
	}
	used := s.usedTokensWithPending(r.Program, r.Attempt)
	if err := s.checkBudget(r, used); err != nil {
		delete(s.fetchedTextByAttempt, r.Attempt)
		return err
	}
	begin := &turnpb.Begin{Program: r.Program, Attempt: r.Attempt, Tokens: r.MaxTokens, Spent: s.spentTokensWithPending(r.Program)}
	if r.Lease && s.set.config.IsHome(s.number) {
		begin.Budget = r.BudgetTokens
	}
	admitted.op = &writeOp{
		program: r.Program, reservedTokens: r.MaxTokens, budgetTokens: r.BudgetTokens, leased: s.coveredByLease(r.Program, used, r.MaxTokens),
		record: &turnpb.Record{Body: &turnpb.Record_Begin{Begin: begin}},
	}
	s.submit(admitted.op)
	if admitted.op.leased {
		admitted.op.resolve(nil)
	}
	return nil
}

// waitedToBegin returns the time since an attempt of a program first asked to begin it, and remembers
// the first one. s.mu must be held.
func (s *shard) waitedToBegin(program string, begun bool, now time.Time) time.Duration {
	askedAt, ok := s.firstAskedAt[program]
	switch {
	case begun:
		delete(s.firstAskedAt, program)
		return 0
	case ok:
		return now.Sub(askedAt)
	}
	s.firstAskedAt[program] = now
	return 0
}

// hasBegun reports whether an attempt of a program has delivered tokens or been completed, according to
// the records so far, pending ones included. s.mu must be held.
func (s *shard) hasBegun(program string) bool {
	if p, ok := s.state.programs[program]; ok && p.begun() {
		return true
	}
	for _, op := range s.pending {
		if e := op.record.GetEnd(); e.GetProgram() == program && (e.GetTokens() > 0 || e.GetTurn() != nil) {
			return true
		}
	}
	return false
}

// checkBudget returns an error of KindBudget if a program that has used so many tokens, with those
// of pending records, has too few left for an attempt, or one of checkLeases. s.mu must be held.
func (s *shard) checkBudget(r BeginRequest, used int64) error {
	if used+r.MaxTokens > r.BudgetTokens {
		return Errorf("begin turn", KindBudget, "budget of %d tokens can't admit %d more: %d are spent or reserved", r.BudgetTokens, r.MaxTokens, used)
	}
	return s.checkLeases(r, used)
}

// sessionEndpoint returns the endpoint that last served the session. For the first
// turn of a sub-agent it returns the endpoint of the program's first session, because
// the sub-agent's prompt starts with the prompt of that session. s.mu must be held.
func (s *shard) sessionEndpoint(r BeginRequest) string {
	if e, ok := s.endpointBySession[r.Session]; ok {
		return e
	}
	return s.endpointBySession[s.firstSessionByProgram[r.Program]]
}

// pendingBegin returns the pending write of an attempt's begin record, nil for none.
// A front that got no answer may send the same attempt again, and its tokens must be
// reserved only once. s.mu must be held.
func (s *shard) pendingBegin(attempt string) *writeOp {
	for _, op := range s.pending {
		if op.record.GetBegin().GetAttempt() == attempt {
			return op
		}
	}
	return nil
}
