package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/lavendervale/lavendervale/standin/web"
)

const (
	defaultPrefillTokensPerSecond = 20_000
	defaultTimePerToken           = 5 * time.Millisecond
	defaultCacheTokens            = 400_000
	defaultOutputTokens           = 48
	// slowdownPerStream is the fraction by which each concurrent stream beyond the first
	// increases the time per token of all streams.
	slowdownPerStream = 0.02
)

// Engine is a fake model engine. It is safe for concurrent use.
type Engine struct {
	config Config
	// mu guards the fields below.
	mu             sync.Mutex
	cache          *cache
	runningStreams int
	faults         Faults
	startedCount   int64
	crashCount     int64
}

// Config holds the settings of an Engine; zero fields select defaults.
type Config struct {
	// PrefillTokensPerSecond is the rate at which the uncached part of a prompt is
	// processed; the default is 20,000.
	PrefillTokensPerSecond float64
	// TimePerToken is the time between output tokens when no other stream runs; the
	// default is 5 ms, and a negative value means no delay.
	TimePerToken time.Duration
	// CacheTokens is the capacity of the prompt cache, in tokens; the default is
	// 400,000.
	CacheTokens int64
	// OutputTokens is the length of a complete response, in tokens, unless max_tokens of
	// the request is smaller; the default is 48.
	OutputTokens int64
}

// Faults are failures that the engine simulates; the zero value means none.
type Faults struct {
	// RefuseStatus is the HTTP status with which every completion request is refused; 0
	// for none.
	RefuseStatus int
	// CutAfterTokens is the number of tokens after which the connection of each stream is
	// closed; 0 for never.
	CutAfterTokens int64
	// HangAfterTokens is the number of tokens after which each stream stays open without
	// sending anything; 0 for never.
	HangAfterTokens int64
	// CrashOnText closes the connection of a request without a response if its prompt
	// contains this text, as if the request had crashed the engine; empty for never.
	CrashOnText string
	// SlowdownFactor multiplies the prefill time and the time per token; 0 or less means
	// 1.
	SlowdownFactor float64
}

// New returns an engine without faults and with an empty cache.
func New(c Config) *Engine {
	if c.PrefillTokensPerSecond == 0 {
		c.PrefillTokensPerSecond = defaultPrefillTokensPerSecond
	}
	if c.TimePerToken == 0 {
		c.TimePerToken = defaultTimePerToken
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = defaultCacheTokens
	}
	if c.OutputTokens == 0 {
		c.OutputTokens = defaultOutputTokens
	}
	return &Engine{config: c, cache: newCache(c.CacheTokens)}
}

// SetFaults replaces the failures that the engine simulates. Requests in progress keep
// the previous faults, except for SlowdownFactor, which takes effect at once.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// CompletionsStarted returns the number of completions started. Requests that were
// refused or crashed the engine are not included.
func (e *Engine) CompletionsStarted() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedCount
}

// CrashCount returns the number of requests that failed because of Faults.CrashOnText.
func (e *Engine) CrashCount() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashCount
}

func (e *Engine) countCrash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashCount++
}

// CachedTokens returns the number of tokens in the prompt cache for a program.
func (e *Engine) CachedTokens(program string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.tokensOf(program)
}

// Handler returns the handler of the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("DELETE /v1/cache/{program}", e.serveCacheRelease)
	return mux
}

// Serve serves requests on a listener until ctx ends, and then returns nil. It returns an
// error if the listener fails before that.
func (e *Engine) Serve(ctx context.Context, l net.Listener) error {
	return web.Serve(ctx, l, e.Handler())
}

func (e *Engine) serveCacheRelease(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.remove(r.PathValue("program"))
	w.WriteHeader(http.StatusNoContent)
}

// joinBatch adds a stream to the batch, which slows down the others.
func (e *Engine) joinBatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningStreams++
	e.startedCount++
}

func (e *Engine) leaveBatch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningStreams--
}

// timePerToken returns the time to the next token at the current batch size. The caller
// has joined the batch.
func (e *Engine) timePerToken() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	factor := (1 + slowdownPerStream*float64(e.runningStreams-1)) * e.slowdownFactorLocked()
	return time.Duration(float64(e.config.TimePerToken) * factor)
}

// prefillTime returns the time to process uncached prompt tokens.
func (e *Engine) prefillTime(tokens int64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	seconds := float64(tokens) / e.config.PrefillTokensPerSecond * e.slowdownFactorLocked()
	return time.Duration(seconds * float64(time.Second))
}

func (e *Engine) slowdownFactorLocked() float64 {
	if e.faults.SlowdownFactor > 0 {
		return e.faults.SlowdownFactor
	}
	return 1
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}
