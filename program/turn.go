package program

import "fmt"

// Decision tells how an arriving call is to be handled.
type Decision uint8

// Decisions on an arriving call.
const (
	// DecisionRun means that the call is to run now.
	DecisionRun Decision = iota
	// DecisionJoin means that the same call is running already; the caller gets its
	// result.
	DecisionJoin
	// DecisionReplay means that the call was answered; the caller gets the recorded answer.
	DecisionReplay
	// DecisionWait means that an earlier call has to end first.
	DecisionWait
	// DecisionRecover means that the call is a claimed order that may have run; its
	// result must be queried before it may run.
	DecisionRecover
)

const (
	// maxCallsAhead limits how far the number of a call may be ahead of the next one.
	maxCallsAhead = 4
)

// Reservation is a running call and the tokens that are reserved for it.
type Reservation struct {
	call Call
	// promptTokens and outputTokens are the reserved tokens, 0 for a service call.
	promptTokens int64
	outputTokens int64
	// previousDigest is the digest of the history before the call.
	previousDigest Digest
}

// Claim states that an order is about to be sent. It is recorded before the order is sent,
// so from then on the order may have run.
type Claim struct {
	number      uint32
	fingerprint Digest
	instance    string
	incarnation uint64
	attempt     uint32
}

// ClaimConfig holds the content of a Claim.
type ClaimConfig struct {
	// Number is the number of the call.
	Number uint32
	// Fingerprint is the fingerprint of the call.
	Fingerprint Digest
	// Instance is the name of the process beside the service that the order is sent to.
	Instance string
	// Incarnation identifies the run of that process. Its ledger rejects an order that
	// was claimed for another run.
	Incarnation uint64
	// Attempt is the number of this claim among those made for the call, starting at 1.
	Attempt uint32
}

// NewClaim returns a Claim with the given content.
func NewClaim(c ClaimConfig) *Claim {
	return &Claim{
		number: c.Number, fingerprint: c.Fingerprint, instance: c.Instance,
		incarnation: c.Incarnation, attempt: c.Attempt,
	}
}

// Number returns the number of the call.
func (c *Claim) Number() uint32 { return c.number }

// Fingerprint returns the fingerprint of the call.
func (c *Claim) Fingerprint() Digest { return c.fingerprint }

// Instance returns the name of the process beside the service that the order is sent to.
func (c *Claim) Instance() string { return c.instance }

// Incarnation identifies the run of that process.
func (c *Claim) Incarnation() uint64 { return c.incarnation }

// Attempt returns the number of this claim among those made for the call, starting at 1.
func (c *Claim) Attempt() uint32 { return c.attempt }

// Call returns the running call.
func (r *Reservation) Call() Call { return r.call }

// ReceivedTokens returns an estimate of the tokens of the text that the caller received
// in an earlier attempt at the call.
func (r *Reservation) ReceivedTokens() int64 { return r.call.estimateReceivedTokens() }

// PreviousDigest returns the digest of the history before the call.
func (r *Reservation) PreviousDigest() Digest { return r.previousDigest }

// PromptTokens returns an upper bound for the tokens of the prompt, 0 for a service call.
func (r *Reservation) PromptTokens() int64 { return r.promptTokens }

// OutputTokens returns the largest number of tokens that may be generated, 0 for a
// service call.
func (r *Reservation) OutputTokens() int64 { return r.outputTokens }

// Begin decides how to handle an arriving call. For DecisionRun it reserves the tokens of
// the call and returns the reservation; for DecisionRecover it returns a reservation
// without tokens. It returns an error of KindConflict when the number does not fit or was
// used with other content, KindStale when the answer is no longer stored, KindEnded when the
// program is not active, KindLooping at a limit of turns or equal calls, and
// KindOverBudget when too few tokens are left.
func (p *Program) Begin(call Call) (Decision, *Reservation, error) {
	const op = "begin call"
	if decision, err := p.decideByNumber(call); decision != DecisionRun || err != nil {
		return decision, nil, err
	}
	if p.state != Active {
		return DecisionRun, nil, Errorf(op, KindEnded, "program is %s", p.state)
	}
	if p.claim != nil {
		return p.beginRecovery(call)
	}
	if err := p.checkLoopLimits(call); err != nil {
		return DecisionRun, nil, err
	}
	r, err := p.reserve(call)
	if err != nil {
		return DecisionRun, nil, err
	}
	p.running = r
	return DecisionRun, r, nil
}

// DecideByNumber decides how to handle a call from its number and content alone. It
// reserves nothing and, unlike Begin, checks neither the program's state, claim and limits
// nor its budget; it never returns DecisionRecover.
func (p *Program) DecideByNumber(call Call) (Decision, error) { return p.decideByNumber(call) }

// decideByNumber compares the number and fingerprint of a call with those of the last
// answered and the running call.
func (p *Program) decideByNumber(call Call) (Decision, error) {
	const op = "check call number"
	n := call.number
	switch {
	case p.lastAnswer != nil && n == p.lastAnswer.number:
		if call.fingerprint != p.lastAnswer.fingerprint {
			return DecisionRun, Errorf(op, KindConflict, "call %d was answered with different content", n)
		}
		return DecisionReplay, nil
	case n < p.NextNumber():
		return DecisionRun, NewError(ErrorConfig{
			Op: op, Kind: KindStale, Outcome: InDoubt,
			Err: fmt.Errorf("answer to call %d is no longer kept, the next call is %d", n, p.NextNumber()),
		})
	case n > p.NextNumber()+maxCallsAhead:
		return DecisionRun, Errorf(op, KindConflict, "call %d is too far ahead, the next call is %d", n, p.NextNumber())
	case n > p.NextNumber():
		return DecisionWait, nil
	case p.running == nil:
		return DecisionRun, nil
	case p.running.call.fingerprint != call.fingerprint:
		return DecisionRun, Errorf(op, KindConflict, "call %d is running with different content", n)
	}
	return DecisionJoin, nil
}

// beginRecovery makes a claimed order the running call. An order needs no tokens.
func (p *Program) beginRecovery(call Call) (Decision, *Reservation, error) {
	if call.fingerprint != p.claim.fingerprint {
		return DecisionRun, nil, Errorf("begin call", KindConflict, "call %d was claimed with different content", call.number)
	}
	p.running = &Reservation{call: call, previousDigest: p.Digest()}
	return DecisionRecover, p.running, nil
}

// checkLoopLimits returns an error of KindLooping when the call would exceed the limit of
// turns or of equal calls in a row.
func (p *Program) checkLoopLimits(call Call) error {
	const op = "check loop limits"
	if p.config.MaxTurns > 0 && int(call.number) > p.config.MaxTurns {
		return Errorf(op, KindLooping, "program has reached the limit of %d turns of its class", p.config.MaxTurns)
	}
	repeated := p.lastAnswer != nil && p.lastAnswer.fingerprint == call.fingerprint
	if repeated && p.config.MaxRepeats > 0 && p.repeats+1 >= p.config.MaxRepeats {
		return Errorf(op, KindLooping, "same call was sent %d times in a row, more than its class allows", p.repeats+2)
	}
	return nil
}

// reserve reserves the largest number of tokens that the call can use. The output is cut to
// what the budget leaves after the prompt.
func (p *Program) reserve(call Call) (*Reservation, error) {
	r := &Reservation{call: call, previousDigest: p.Digest()}
	if call.callType != ModelCall {
		return r, nil
	}
	r.promptTokens = p.historyTokens + MaxPromptTokens(call.messages) + int64(len(call.receivedText))
	r.outputTokens = min(call.maxTokens, p.budget.Left()-r.promptTokens)
	if r.outputTokens < 1 {
		return nil, Errorf("reserve budget", KindOverBudget,
			"prompt needs up to %d tokens, but %d of %d are left", r.promptTokens, p.budget.Left(), p.budget.Limit())
	}
	return r, p.budget.Reserve(r.promptTokens + r.outputTokens)
}

// Reservation returns the reservation of the running call, or nil when none is running.
func (p *Program) Reservation() *Reservation { return p.running }

// SetClaim sets the claim of the order that is about to be sent. Until the order is
// answered or the claim is dropped, the order may have run.
func (p *Program) SetClaim(c *Claim) {
	p.claim = c
	p.claimAttempts = c.attempt
}

// ClaimAttempts returns how often the next call has been claimed.
func (p *Program) ClaimAttempts() uint32 { return p.claimAttempts }

// PendingClaim returns the claim of the order that may have run without a known result,
// or nil.
func (p *Program) PendingClaim() *Claim { return p.claim }

// Complete ends the running call with its answer, appends both to the history and charges
// the usage. It returns an error of KindConflict when another call or none is running.
func (p *Program) Complete(a Answer) error {
	const op = "complete call"
	r := p.running
	if r == nil || r.call.number != a.number || r.call.fingerprint != a.fingerprint {
		return Errorf(op, KindConflict, "call %d is not the running call", a.number)
	}
	p.appendTurn(r.call, a)
	p.budget.Settle(r.promptTokens+r.outputTokens, a.usage.TotalTokens())
	p.running = nil
	return nil
}

// appendTurn appends a call and its answer to the history as the next turn. It leaves the
// budget as it is.
func (p *Program) appendTurn(call Call, a Answer) {
	if p.lastAnswer != nil && p.lastAnswer.fingerprint == a.fingerprint {
		p.repeats++
	} else {
		p.repeats = 0
	}
	if call.callType == ModelCall {
		p.history = append(p.history, call.messages...)
		p.history = append(p.history, NewMessage(RoleAssistant, a.text))
		p.historyTokens = a.usage.TotalTokens() + messageOverheadTokens
	}
	p.digestByTurn = append(p.digestByTurn, p.Digest().chain(a.fingerprint.String(), a.text, string(a.payload)))
	p.lastAnswer = &a
	p.claim = nil
	p.claimAttempts = 0
	p.serviceTime += a.timing.Total - a.timing.Queue
}

// Abort ends the running call without an answer and charges the used tokens, at most those
// reserved. The call may run again under the same number. Abort does nothing when the call
// with that number is not running.
func (p *Program) Abort(number uint32, used int64) {
	r := p.running
	if r == nil || r.call.number != number {
		return
	}
	p.budget.Settle(r.promptTokens+r.outputTokens, min(used, r.promptTokens+r.outputTokens))
	p.running = nil
}

// DropClaim removes the claim of an order that provably did not run.
func (p *Program) DropClaim() { p.claim = nil }

// ReserveForChild reserves tokens of the budget for a child program. It does nothing when
// tokens were reserved for that child before. It returns an error of KindEnded when the
// program is not active, of KindInvalid when tokens is not positive, and of KindOverBudget
// when too few are left.
func (p *Program) ReserveForChild(child ID, tokens int64) error {
	const op = "reserve budget for child"
	if p.state != Active {
		return Errorf(op, KindEnded, "program is %s", p.state)
	}
	if _, ok := p.reservedByChild[child]; ok {
		return nil
	}
	if tokens <= 0 {
		return Errorf(op, KindInvalid, "budget of a child must be at least 1 token, is %d", tokens)
	}
	if err := p.budget.Reserve(tokens); err != nil {
		return err
	}
	p.reservedByChild[child] = tokens
	return nil
}

// HasChildReservation reports whether tokens are reserved for a child.
func (p *Program) HasChildReservation(child ID) bool { return p.reservedByChild[child] > 0 }

// SettleChild releases the reservation of a child, charges the used tokens, at most those
// reserved, and returns the number of the others. It returns 0 when the child has no
// reservation or was settled before.
func (p *Program) SettleChild(child ID, used int64) int64 {
	reserved := p.reservedByChild[child]
	if reserved == 0 {
		return 0
	}
	used = min(used, reserved)
	p.budget.Settle(reserved, used)
	p.reservedByChild[child] = 0
	return reserved - used
}
