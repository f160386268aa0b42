package mesh

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

const (
	// maxGossipSpeeds bounds the speeds of endpoints in a datagram, each of which takes up to 36 bytes; if
	// there are more, each datagram with speeds has the next ones.
	maxGossipSpeeds = 60
	// speedsEvery is the number of datagrams of which one has speeds: they are means over seconds. One in
	// five doubled the bytes between failure domains on plm-subs-grown (0.10 and 0.21 GB on scale-1).
	speedsEvery = 20
)

// speedsToGossip returns the speeds for the n-th datagram that has some.
func speedsToGossip(reports []endpoint.SpeedReport, n uint64) []*meshpb.EndpointSpeed {
	slices.SortFunc(reports, func(a, b endpoint.SpeedReport) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var out []*meshpb.EndpointSpeed
	for _, r := range inTurn(reports, maxGossipSpeeds, n) {
		out = append(out, &meshpb.EndpointSpeed{
			Endpoint: r.Endpoint, StartedUnixMs: r.StartedUnixMS, Ratio: r.Ratio, Observations: uint32(min(math.MaxUint32, r.Observations)),
			AgeMs: uint32(min(math.MaxUint32, r.Age.Milliseconds())),
		})
	}
	return out
}

// applySpeeds passes the speeds that another front observed on to the directory. The ages in the state
// are those at heardAt, which is earlier than now if the state was relayed.
func (m *Mesh) applySpeeds(g *meshpb.Gossip, heardAt, now time.Time) {
	speeds := g.GetSpeeds()
	if len(speeds) > maxGossipSpeeds {
		m.config.Logger.Warn("speeds of endpoints ignored", zap.String("front", g.GetName()), zap.String("reason", "too many entries"), zap.Int("entries", len(speeds)))
		return
	}
	delay := max(0, now.Sub(heardAt))
	reports := make([]endpoint.SpeedReport, 0, len(speeds))
	for _, s := range speeds {
		reports = append(reports, endpoint.SpeedReport{
			Endpoint: s.GetEndpoint(), StartedUnixMS: s.GetStartedUnixMs(), Ratio: s.GetRatio(), Observations: int(s.GetObservations()),
			Age: time.Duration(s.GetAgeMs())*time.Millisecond + delay,
		})
	}
	if invalid := m.config.Directory.ApplySpeeds(g.GetName(), reports, now); invalid > 0 {
		m.config.Logger.Warn("speeds of endpoints ignored", zap.String("front", g.GetName()), zap.String("reason", "ratio, count or age out of range"), zap.Int("entries", invalid))
	}
}

// refreshSpeeds brings the speeds of endpoints up to date and logs considerable changes.
func (m *Mesh) refreshSpeeds(now time.Time) {
	for _, c := range m.config.Directory.RefreshSpeeds(now) {
		m.config.Logger.Info("endpoint speed learnt", zap.String("endpoint", c.ID), zap.Float64("ratio", c.Ratio), zap.Int("observations", c.Observations), zap.Duration("age", c.Age))
	}
}
