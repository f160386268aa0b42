package home

import (
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// speedWeight is the weight of a new observation in the moving average.
	speedWeight = 0.1
	// minSpeedTokens is the least work that a speed is learnt from.
	minSpeedTokens = 8
)

// prefill learns how fast the engine reads prompts.
type prefill struct {
	mu    sync.Mutex
	speed float64
}

// observe learns from an answered model call.
func (p *prefill) observe(a program.Answer) {
	tokens := a.Usage().PromptTokens() - a.Usage().CachedTokens()
	took := a.Timing().FirstToken - a.Timing().Queue
	if tokens < minSpeedTokens || took <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.speed = average(p.speed, tokens, took)
}

// rate returns the speed in tokens a second, 0 while unknown.
func (p *prefill) rate() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.speed
}

func average(old float64, tokens int64, took time.Duration) float64 {
	rate := float64(tokens) / took.Seconds()
	if old == 0 {
		return rate
	}
	return old + speedWeight*(rate-old)
}
