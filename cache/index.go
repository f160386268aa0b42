package cache

import (
	"time"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// leaseDuration is how long the cache of a program without a running call is kept.
	leaseDuration = 10 * time.Minute
	// expiryCheckInterval is the least time between two searches for ended leases.
	expiryCheckInterval = 10 * time.Second
)

// Index tracks the tokens that an engine is expected to hold for each program. The
// engine's cache events come late and with gaps, so the index follows the calls and is
// corrected by what they report as cached. The engine itself decides what to evict
// when its memory is full. Index is not safe for concurrent use; its owner serializes
// access.
type Index struct {
	// totalTokens is the sum of the tokens of all entries.
	totalTokens       int64
	entries           map[program.ID]*entry
	lastExpiryCheckAt time.Time
}

// entry is what the engine is expected to hold for one program.
type entry struct {
	tokens int64
	// idleSince is when the last call ended.
	idleSince time.Time
	// running is set while a call of the program runs; its lease can't end then.
	running bool
}

// New returns an empty index.
func New() *Index { return &Index{entries: map[program.ID]*entry{}} }

// TotalTokens returns the tokens held for all programs.
func (x *Index) TotalTokens() int64 { return x.totalTokens }

// CachedTokens returns the tokens held for a program, 0 for an unknown one.
func (x *Index) CachedTokens(id program.ID) int64 {
	if e, ok := x.entries[id]; ok {
		return e.tokens
	}
	return 0
}

// StartCall records that a call of a program starts; tokens is what it holds at most.
// An entry that is larger already keeps its size.
func (x *Index) StartCall(id program.ID, tokens int64) {
	e, ok := x.entries[id]
	if !ok {
		e = &entry{}
		x.entries[id] = e
	}
	e.running = true
	x.setTokens(e, max(e.tokens, tokens))
}

// FinishCall records that a call has ended at now and what the engine holds for the
// program after it.
func (x *Index) FinishCall(id program.ID, tokens int64, now time.Time) {
	x.Remove(id)
	e := &entry{idleSince: now}
	x.entries[id] = e
	x.setTokens(e, tokens)
}

// MarkIdle records that a call has ended at now without a result. The tokens stay as
// they are, since what the engine holds of the call is not known.
func (x *Index) MarkIdle(id program.ID, now time.Time) {
	if e, ok := x.entries[id]; ok {
		e.running = false
		e.idleSince = now
	}
}

// LowerTo lowers the tokens held for a program to what a call found in the cache. A
// larger number changes nothing.
func (x *Index) LowerTo(id program.ID, cachedTokens int64) {
	if e, ok := x.entries[id]; ok && cachedTokens < e.tokens {
		x.setTokens(e, cachedTokens)
	}
}

// Remove forgets a program and reports whether it had an entry.
func (x *Index) Remove(id program.ID) bool {
	e, ok := x.entries[id]
	if !ok {
		return false
	}
	x.totalTokens -= e.tokens
	delete(x.entries, id)
	return true
}

// Expire forgets and returns the programs that have been idle for longer than their
// lease. Within expiryCheckInterval of the last search it returns nil.
func (x *Index) Expire(now time.Time) []program.ID {
	if now.Sub(x.lastExpiryCheckAt) < expiryCheckInterval {
		return nil
	}
	x.lastExpiryCheckAt = now
	var expired []program.ID
	for id, e := range x.entries {
		if !e.running && now.Sub(e.idleSince) > leaseDuration {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		x.Remove(id)
	}
	return expired
}

// setTokens sets the tokens of an entry and updates the total.
func (x *Index) setTokens(e *entry, tokens int64) {
	x.totalTokens += tokens - e.tokens
	e.tokens = tokens
}
