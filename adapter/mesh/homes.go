package mesh

import (
	"go.uber.org/zap"
)

// logHomeChanges logs the shards of which this front has become the home, or is no longer
// the home, since the last call. owned holds the shards of the last call and is updated.
func (m *Mesh) logHomeChanges(owned map[int]bool) {
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
	m.config.Logger.Info("homes of shards changed", zap.Ints("gained", gained), zap.Ints("lost", lost),
		zap.Int("fronts", m.AliveCount()), zap.Bool("starting", m.starting.Load()), zap.Duration("store_away", m.config.StoreUnreachableFor()))
}
