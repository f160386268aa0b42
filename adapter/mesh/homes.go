package mesh

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/timer"
)

const (
	// homeCheckInterval is the time between two checks of the shards that this front is the home of.
	homeCheckInterval = 200 * time.Millisecond
	// suspendedAfter is the time without a check from which this front takes itself for suspended.
	// Others may have taken it for lost: they count aliveTimeout from a datagram that it sent up to
	// gossipInterval before it stopped, and that relays passed on.
	suspendedAfter = aliveTimeout - gossipInterval - homeCheckInterval
)

// homeWatch holds the shards that this front was the home of at the last check.
type homeWatch struct {
	mu        sync.Mutex
	owned     map[int]bool
	checkedAt time.Time
}

// owns reports whether this front was the home of a shard at the last check, and has not been
// suspended since.
func (w *homeWatch) owns(shard int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.owned[shard] && now.Sub(w.checkedAt) < suspendedAfter
}

// suspendedFor returns the time since the last check if this front has been suspended, else 0.
func (w *homeWatch) suspendedFor(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if gap := now.Sub(w.checkedAt); !w.checkedAt.IsZero() && gap >= suspendedAfter {
		return gap
	}
	return 0
}

// changes returns the shards whose home this front has become, or has ceased to be, since the last check.
func (w *homeWatch) changes(shards int, isHome func(shard int) bool) (gained, lost []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for shard := range shards {
		switch home := isHome(shard); {
		case home && !w.owned[shard]:
			gained = append(gained, shard)
		case !home && w.owned[shard]:
			lost = append(lost, shard)
		}
	}
	return gained, lost
}

// update records the outcome of a check.
func (w *homeWatch) update(gained, lost []int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.owned == nil {
		w.owned = map[int]bool{}
	}
	for _, shard := range gained {
		w.owned[shard] = true
	}
	for _, shard := range lost {
		delete(w.owned, shard)
	}
	w.checkedAt = now
}

// IsSteadyHome reports whether this front is the home of a shard, and the shard set knows since when:
// not before the check after a change, nor after a suspension in which others may have been the home.
func (m *Mesh) IsSteadyHome(shard int) bool {
	return m.homes.owns(shard, time.Now()) && m.IsHome(shard)
}

// watchHomes applies changes of the homes of shards until ctx ends.
func (m *Mesh) watchHomes(ctx context.Context) {
	for timer.Sleep(ctx, homeCheckInterval) == nil {
		m.checkHomes(time.Now())
	}
}

// checkHomes tells the shard set of the shards that may have had another home since the last check. It
// releases the leases in those that have one now, and logs the changes.
func (m *Mesh) checkHomes(now time.Time) {
	suspended := m.homes.suspendedFor(now)
	if suspended > 0 {
		all := make([]int, m.config.Shards)
		for shard := range all {
			all[shard] = shard
		}
		m.shardSet.MarkForeign(all)
		m.config.Logger.Warn("front was suspended", zap.Duration("for", suspended))
	}
	gained, lost := m.homes.changes(m.config.Shards, m.IsHome)
	m.shardSet.MarkForeign(gained)
	m.shardSet.ReleaseLeases(lost)
	m.homes.update(gained, lost, now)
	if len(gained)+len(lost) == 0 {
		return
	}
	m.config.Logger.Info("homes of shards changed", zap.Ints("gained", gained), zap.Ints("lost", lost),
		zap.Int("fronts", m.AliveCount()), zap.Bool("starting", m.starting.Load()), zap.Duration("store_away", m.config.StoreUnreachableFor()))
}
