package permit

import (
	"sync"
	"time"
)

const (
	// historyPart is the time that one part of a history spans.
	historyPart = 200 * time.Millisecond
	// maxHistoryParts bounds the parts kept for one customer.
	maxHistoryParts = 64
)

// Use is a number of requests that were counted about the same time.
type Use struct {
	// Age is how long ago they were counted.
	Age time.Duration
	// Count is their number.
	Count int
}

// History remembers the requests of customers that this front had counted, and by which keeper. When a
// customer gets another keeper, each front tells it what the last ones have counted, since the new
// keeper knows nothing of that. It is safe for concurrent use.
type History struct {
	mu         sync.Mutex
	byCustomer map[string][]usePart
}

// usePart is the requests that one keeper counted within historyPart; last is when the latest was.
type usePart struct {
	first, last time.Time
	keeper      string
	count       int
}

// NewHistory returns a history without a request.
func NewHistory() *History { return &History{byCustomer: map[string][]usePart{}} }

// Add notes that a keeper has counted a request; an empty keeper stands for this front alone.
func (h *History) Add(customer, keeper string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts := h.byCustomer[customer]
	if n := len(parts); n > 0 && parts[n-1].keeper == keeper && now.Sub(parts[n-1].first) < historyPart {
		parts[n-1].count, parts[n-1].last = parts[n-1].count+1, now
		return
	}
	parts = append(parts, usePart{first: now, last: now, keeper: keeper, count: 1})
	h.byCustomer[customer] = parts[max(0, len(parts)-maxHistoryParts):]
}

// Remove notes that a request which a keeper counted at a time has been given back.
func (h *History) Remove(customer, keeper string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts := h.byCustomer[customer]
	for i := len(parts) - 1; i >= 0; i-- {
		if parts[i].keeper == keeper && parts[i].count > 0 && !parts[i].first.After(at) {
			parts[i].count--
			return
		}
	}
}

// TakeUntold returns the requests within a span that other keepers have counted, and notes that this
// keeper counts them too. The result is empty for the keeper that counted all.
func (h *History) TakeUntold(customer, keeper string, span time.Duration, now time.Time) []Use {
	h.mu.Lock()
	defer h.mu.Unlock()
	parts := h.byCustomer[customer]
	var uses []Use
	for i, p := range parts {
		if p.keeper == keeper || p.count == 0 || now.Sub(p.last) > span {
			continue
		}
		parts[i].keeper = keeper
		uses = append(uses, Use{Age: now.Sub(p.last), Count: p.count})
	}
	return uses
}
