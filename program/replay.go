package program

import "time"

// ApplyTurn applies an answered call that was read from a record, and charges its usage to
// the budget. messages holds the new messages of a model call and is empty for a service
// call. It returns an error of KindConflict when the call is not the next one.
func (p *Program) ApplyTurn(messages []Message, a Answer) error {
	const op = "apply turn"
	if a.number != p.NextNumber() {
		return Errorf(op, KindConflict, "call %d does not follow turn %d", a.number, p.Turn())
	}
	call := Call{number: a.number, callType: OrderCall, messages: messages, fingerprint: a.fingerprint}
	if len(messages) > 0 {
		call.callType = ModelCall
	}
	p.appendTurn(call, a)
	p.budget.Settle(0, a.usage.TotalTokens())
	return nil
}

// TakeOver sets the epoch of the home that takes the program over. A call that was running
// is aborted and charged its whole reservation.
func (p *Program) TakeOver(epoch uint64) {
	if p.running != nil {
		p.Abort(p.running.call.number, p.running.promptTokens+p.running.outputTokens)
	}
	p.epoch = epoch
}

// ApplyEnd ends the program with the state and the time that were read from a record.
func (p *Program) ApplyEnd(state State, endedAt time.Time) {
	p.state = state
	p.endedAt = endedAt
}
