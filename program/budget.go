package program

// Budget limits the tokens that a program and its children may spend. All amounts are
// in tokens.
type Budget struct {
	limit    int64
	spent    int64
	reserved int64
}

// NewBudget returns an unused budget of limit tokens.
func NewBudget(limit int64) Budget { return Budget{limit: limit} }

// Limit returns the size of the whole budget.
func (b *Budget) Limit() int64 { return b.limit }

// Spent returns the tokens charged so far.
func (b *Budget) Spent() int64 { return b.spent }

// Reserved returns the tokens reserved for the running call and for active children.
func (b *Budget) Reserved() int64 { return b.reserved }

// Left returns the tokens that are neither spent nor reserved.
func (b *Budget) Left() int64 { return b.limit - b.spent - b.reserved }

// Reserve reserves tokens. It returns an error of KindOverBudget when fewer are left,
// and of KindInvalid when tokens is negative.
func (b *Budget) Reserve(tokens int64) error {
	const op = "reserve budget"
	if tokens < 0 {
		return Errorf(op, KindInvalid, "number of tokens is %d, must not be negative", tokens)
	}
	if tokens > b.Left() {
		return Errorf(op, KindOverBudget, "%d tokens needed, but %d of %d are left", tokens, b.Left(), b.limit)
	}
	b.reserved += tokens
	return nil
}

// Settle releases a reservation and charges the used tokens. An engine may report more
// than was reserved; the excess is charged up to the limit of the budget.
func (b *Budget) Settle(reserved, used int64) {
	b.reserved = max(0, b.reserved-reserved)
	b.spent = min(b.limit, b.spent+max(0, used))
}
