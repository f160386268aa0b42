package home

import (
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// rateWeight is the weight of a new observation in the moving average.
	rateWeight = 0.1
	// minRateTokens is the least number of prompt tokens outside the cache that
	// an observation needs.
	minRateTokens = 8
)

// prefillEstimator estimates how fast the engine processes the tokens of
// prompts.
type prefillEstimator struct {
	mu sync.Mutex
	// tokensPerSecond is the moving average, 0 before the first observation.
	tokensPerSecond float64
}

// observe updates the estimate from the answer to a model call.
func (p *prefillEstimator) observe(a program.Answer) {
	tokens := a.Usage().PromptTokens() - a.Usage().CachedTokens()
	elapsed := a.Timing().FirstToken - a.Timing().Queue
	if tokens < minRateTokens || elapsed <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokensPerSecond = movingAverage(p.tokensPerSecond, tokens, elapsed)
}

// rate returns the estimate in tokens per second, 0 before the first
// observation.
func (p *prefillEstimator) rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tokensPerSecond
}

// movingAverage returns the new mean after an observation; a mean of 0 means
// that there was none before.
func movingAverage(mean float64, tokens int64, elapsed time.Duration) float64 {
	rate := float64(tokens) / elapsed.Seconds()
	if mean == 0 {
		return rate
	}
	return mean + rateWeight*(rate-mean)
}
