package mesh

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

// TestDeparturesTravelByGossip guards against fronts that use an endpoint which has told another
// front that it leaves.
func TestDeparturesTravelByGossip(t *testing.T) {
	started := time.Now().Add(-time.Minute).UnixMilli()
	tests := []struct {
		name string
		// registered is the start time of the incarnation that the receiver knows.
		sent, registered int64
		// late is set if the receiver reads the registration after the report.
		late   bool
		usable bool
	}{
		{name: "of this incarnation", sent: started, registered: started},
		{name: "of this incarnation, registered later", sent: started, registered: started, late: true},
		{name: "of an earlier incarnation", sent: started, registered: started + 1, usable: true},
		{name: "of an earlier incarnation, registered later", sent: started, registered: started + 1, late: true, usable: true},
		{name: "of a later incarnation", sent: started + 1, registered: started},
		{name: "of an unknown incarnation", registered: started},
		{name: "of a known one that is registered without its start", sent: started},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender, receiver := newTestMesh(t, "sender"), newTestMesh(t, "receiver")
			register := func(m *Mesh, startedUnixMS int64) {
				m.config.Directory.Put(endpoint.Registration{ID: "e", StartedUnixMS: startedUnixMS, Service: "s", Address: "127.0.0.1:1", Slots: 8}, time.Now())
			}
			register(sender, test.sent)
			target, _ := sender.config.Directory.Pick(endpoint.Query{Service: "s"}, time.Now())
			require.True(t, sender.config.Directory.RecordLeaving(target, time.Now()))
			if !test.late {
				register(receiver, test.registered)
			}
			g := sender.newGossip(time.Now())
			require.Len(t, g.GetDepartures(), 1)
			receiver.handleGossip(g, sender.Address(), time.Now(), time.Now())
			if test.late {
				register(receiver, test.registered)
			}
			_, result := receiver.config.Directory.Pick(endpoint.Query{Service: "s"}, time.Now())
			require.Equal(t, test.usable, result == endpoint.Picked)
			require.Empty(t, receiver.newGossip(time.Now()).GetDepartures(), "only the front that got the response reports it")
			require.Empty(t, sender.newGossip(time.Now().Add(time.Minute)).GetDepartures())
		})
	}
}

// TestAllDeparturesAreSentInTurn checks that more departures than fit into a datagram are all sent.
func TestAllDeparturesAreSentInTurn(t *testing.T) {
	var reports []endpoint.Departure
	for i := range 5 * maxGossipDepartures / 2 {
		reports = append(reports, endpoint.Departure{Endpoint: uint64(i)})
	}
	sent := map[uint64]bool{}
	for sequence := range uint64(3) {
		departures := departuresToGossip(reports, sequence)
		require.LessOrEqual(t, len(departures), maxGossipDepartures)
		for _, d := range departures {
			sent[d.GetEndpoint()] = true
		}
	}
	require.Len(t, sent, len(reports))
}

// TestDeparturesBeyondTheBoundAreIgnored guards against a datagram that fills the directory.
func TestDeparturesBeyondTheBoundAreIgnored(t *testing.T) {
	m := newTestMesh(t, "m")
	for id := range 2 * maxGossipDepartures {
		m.config.Directory.Put(endpoint.Registration{ID: string(rune('A' + id)), Service: "s", Address: "127.0.0.1:1", Slots: 1}, time.Now())
	}
	g := &meshpb.Gossip{Name: "other", Incarnation: 1, Sequence: 1, Weight: 1}
	for id := range 2 * maxGossipDepartures {
		g.Departures = append(g.Departures, &meshpb.EndpointDeparture{Endpoint: endpoint.Key(string(rune('A' + id)))})
	}
	m.handleGossip(g, "127.0.0.1:1", time.Now(), time.Now())
	free := m.config.Directory.Capacity("s", time.Now()).Free
	require.Equal(t, maxGossipDepartures, free)
}
