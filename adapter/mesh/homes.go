package mesh

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/timer"
)

// homeCheckInterval is the time between two checks of the shards that this front is the home of.
const homeCheckInterval = 200 * time.Millisecond

// watchHomes applies changes of the homes of shards until ctx ends.
func (m *Mesh) watchHomes(ctx context.Context) {
	owned := map[int]bool{}
	for timer.Sleep(ctx, homeCheckInterval) == nil {
		m.applyHomeChanges(owned)
	}
}

// applyHomeChanges releases the leases on budgets in shards that have another home, and logs the shards of which this front has become the home, or is no longer
// the home, since the last call. owned holds the shards of the last call and is updated.
func (m *Mesh) applyHomeChanges(owned map[int]bool) {
	var gained, lost []int
	for shard := range m.config.Shards {
		home := m.IsHome(shard)
		if home == owned[shard] {
			continue
		}
		owned[shard] = home
		if home {
			gained = append(gained, shard)
		} else {
			lost = append(lost, shard)
		}
	}
	if len(gained)+len(lost) == 0 {
		return
	}
	m.shardSet.ReleaseLeases(lost)
	m.config.Logger.Info("homes of shards changed", zap.Ints("gained", gained), zap.Ints("lost", lost),
		zap.Int("fronts", m.AliveCount()), zap.Bool("starting", m.starting.Load()), zap.Duration("store_away", m.config.StoreUnreachableFor()))
}
