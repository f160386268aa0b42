package mesh

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

// maxGossipDepartures bounds the departures of endpoints in a datagram, each of which takes up to 20
// bytes; if there are more, each datagram has the next ones.
const maxGossipDepartures = 60

// departuresToGossip returns the departures for the datagram of a sequence number.
func departuresToGossip(reports []endpoint.Departure, sequence uint64) []*meshpb.EndpointDeparture {
	slices.SortFunc(reports, func(a, b endpoint.Departure) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	var out []*meshpb.EndpointDeparture
	for _, r := range inTurn(reports, maxGossipDepartures, sequence) {
		out = append(out, &meshpb.EndpointDeparture{Endpoint: r.Endpoint, StartedUnixMs: r.StartedUnixMS})
	}
	return out
}

// applyDepartures passes the departures that another front has been told on to the directory.
func (m *Mesh) applyDepartures(g *meshpb.Gossip, now time.Time) {
	departures := g.GetDepartures()
	departures = departures[:min(len(departures), maxGossipDepartures)]
	reports := make([]endpoint.Departure, 0, len(departures))
	for _, d := range departures {
		reports = append(reports, endpoint.Departure{Endpoint: d.GetEndpoint(), StartedUnixMS: d.GetStartedUnixMs()})
	}
	for _, id := range m.config.Directory.ApplyDepartures(reports, now) {
		m.config.Logger.Info("endpoint departure learnt", zap.String("endpoint", id), zap.String("front", g.GetName()))
	}
}
