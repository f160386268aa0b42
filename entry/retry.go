package entry

import "sync"

const (
	// retryRatio is the number of retries that each request adds to the budget of its class.
	retryRatio = 0.2
	// maxSavedRetries bounds the saved retries of a class, which starts with as many.
	maxSavedRetries = 50
)

// retryBudget limits the retries of each class to a fraction of its requests, so that
// retries can't multiply the load on the endpoints that still answer.
type retryBudget struct {
	mu sync.Mutex
	// retriesByClass holds the retries that a class may still use; a class without an
	// entry has maxSavedRetries.
	retriesByClass map[string]float64
}

func newRetryBudget() *retryBudget { return &retryBudget{retriesByClass: map[string]float64{}} }

// recordRequest adds the share of one request to the budget of a class.
func (b *retryBudget) recordRequest(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retriesByClass[class] = min(maxSavedRetries, b.available(class)+retryRatio)
}

// take uses one retry of the budget of a class, or returns false when none is left.
func (b *retryBudget) take(class string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.available(class)
	if left < 1 {
		return false
	}
	b.retriesByClass[class] = left - 1
	return true
}

// giveBack returns a retry that was taken and not made.
func (b *retryBudget) giveBack(class string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retriesByClass[class] = min(maxSavedRetries, b.available(class)+1)
}

// available returns the retries left for a class. b.mu must be held.
func (b *retryBudget) available(class string) float64 {
	if n, ok := b.retriesByClass[class]; ok {
		return n
	}
	return maxSavedRetries
}
