package mesh

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
)

// fleetTable returns the table of one of count fronts, which has heard the given ones at noon
// and the others silentFor earlier.
func fleetTable(self, count int, hears func(front int) bool, silentFor time.Duration) *peerTable {
	table := newPeerTable(fmt.Sprint("front-", self), 1)
	for i := range count {
		if i == self {
			continue
		}
		at := noon
		if !hears(i) {
			at = noon.Add(-silentFor)
		}
		name := fmt.Sprint("front-", i)
		table.applyGossip(&meshpb.Gossip{Name: name, Incarnation: 1, Sequence: 1, Weight: 1}, name+":1", at, at)
	}
	return table
}

// TestIssuersOfAPartitionShareTheRate guards against an endpoint that gets its limit once from
// each side of a partition.
func TestIssuersOfAPartitionShareTheRate(t *testing.T) {
	const count = 8
	for key := range uint64(50) {
		shareByIssuer := map[string]float64{}
		for self := range count {
			table := fleetTable(self, count, func(front int) bool { return front%2 == self%2 }, 2*time.Second)
			issuer, share := table.issuer(key, noon, true)
			shareByIssuer[issuer.name] = share
		}
		sum := 0.0
		for _, share := range shareByIssuer {
			sum += share
		}
		require.Len(t, shareByIssuer, 2)
		require.InDelta(t, 1, sum, 1e-9)
	}
}

// TestSurvivorsIssueTheWholeRate checks that the part of fronts that stay away is not lost.
func TestSurvivorsIssueTheWholeRate(t *testing.T) {
	issuer, share := fleetTable(0, 8, func(front int) bool { return front < 4 }, 2*permitMemory).issuer(1, noon, true)
	require.NotEmpty(t, issuer.name)
	require.Equal(t, 1.0, share)
}

// TestFrontThatLeavesIssuesNoPermits checks who issues permits while a front stops.
func TestFrontThatLeavesIssuesNoPermits(t *testing.T) {
	for key := range uint64(50) {
		table := fleetTable(0, 3, func(int) bool { return true }, 0)
		issuer, _ := table.issuer(key, noon, false)
		require.NotEqual(t, "front-0", issuer.name)
		table.applyGossip(&meshpb.Gossip{Name: "front-1", Incarnation: 1, Sequence: 2, Weight: 1, Leaving: true}, "front-1:1", noon, noon)
		issuer, share := table.issuer(key, noon, true)
		require.NotEqual(t, "front-1", issuer.name)
		require.Equal(t, 1.0, share)
	}
}

// limitedTarget returns a picked endpoint that names a limit and whose permits the given mesh
// issues in the view of m, or m itself if issuer is nil.
func limitedTarget(t *testing.T, m, issuer *Mesh) endpoint.Target {
	t.Helper()
	for i := range 200 {
		id := fmt.Sprint("engine-", i)
		name := m.config.Name
		if issuer != nil {
			name = issuer.config.Name
		}
		if front, _ := m.peers.issuer(endpoint.Key(id), time.Now(), true); front.name != name {
			continue
		}
		d := endpoint.NewDirectory()
		d.Put(endpoint.Registration{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 8}, time.Now())
		first, _ := d.Pick(endpoint.Query{Service: "s"}, time.Now())
		d.RecordLimit(first, endpoint.Limit{Named: true, PerSecond: 2}, time.Now())
		target, result := d.Pick(endpoint.Query{Service: "s"}, time.Now())
		require.Equal(t, endpoint.Picked, result)
		return target
	}
	t.Fatal("no endpoint with that issuer")
	return endpoint.Target{}
}

// TestPermitsComeFromOneFront checks that two fronts share the permits of an endpoint.
func TestPermitsComeFromOneFront(t *testing.T) {
	m, issuer := newTestMesh(t, "m"), newTestMesh(t, "issuer")
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go issuer.serve(ctx)
	connectTo(m, issuer)
	connectTo(issuer, m)
	target := limitedTarget(t, m, issuer)
	wait, err := m.TakePermit(ctx, target)
	require.NoError(t, err)
	require.Zero(t, wait)
	for _, front := range []*Mesh{issuer, m} {
		wait, err = front.TakePermit(ctx, target)
		require.NoError(t, err)
		require.Greater(t, wait, time.Duration(0))
		require.LessOrEqual(t, wait, 500*time.Millisecond)
	}
}

// TestFrontThatIsNotTheIssuerRefusesPermits guards against two fronts that issue the permits of
// one endpoint while their views differ.
func TestFrontThatIsNotTheIssuerRefusesPermits(t *testing.T) {
	m, other := newTestMesh(t, "m"), newTestMesh(t, "other")
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go other.serve(ctx)
	connectTo(m, other)
	other.Leave()
	connectTo(other, newTestMesh(t, "third"))
	_, err := m.TakePermit(ctx, limitedTarget(t, m, other))
	require.ErrorContains(t, err, "issues the permits")
}

// TestLimitsTravelByGossip checks which of the limits that another front reports are taken over.
func TestLimitsTravelByGossip(t *testing.T) {
	tests := []struct {
		name    string
		started int64
		modify  func(l *meshpb.EndpointLimit)
		isTaken bool
	}{
		{name: "of this incarnation", started: 5, isTaken: true},
		{name: "of another incarnation", started: 5, modify: func(l *meshpb.EndpointLimit) { l.StartedUnixMs = 6 }},
		{name: "of this incarnation, before this front has started", started: 5, modify: func(l *meshpb.EndpointLimit) { l.AgeMs = 60_000 }, isTaken: true},
		{name: "of an unknown incarnation", isTaken: true},
		{name: "of an unknown incarnation, older than the registration", modify: func(l *meshpb.EndpointLimit) { l.AgeMs = 60_000 }},
		{name: "negative", started: 5, modify: func(l *meshpb.EndpointLimit) { l.PerSecond = -1 }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender, receiver := newTestMesh(t, "sender"), newTestMesh(t, "receiver")
			for _, m := range []*Mesh{sender, receiver} {
				m.config.Directory.Put(endpoint.Registration{ID: "e", StartedUnixMS: test.started, Service: "s", Address: "127.0.0.1:1", Slots: 8}, time.Now().Add(-time.Second))
			}
			target, _ := sender.config.Directory.Pick(endpoint.Query{Service: "s"}, time.Now())
			require.True(t, sender.config.Directory.RecordLimit(target, endpoint.Limit{Named: true, PerSecond: 3}, time.Now()))
			g := sender.newGossip(time.Now())
			require.Len(t, g.GetLimits(), 1)
			if test.modify != nil {
				test.modify(g.GetLimits()[0])
			}
			receiver.handleGossip(g, sender.Address(), time.Now(), time.Now())
			picked, _ := receiver.config.Directory.Pick(endpoint.Query{Service: "s"}, time.Now())
			require.Equal(t, test.isTaken, picked.Limit().Named)
			require.Empty(t, receiver.newGossip(time.Now()).GetLimits(), "only the front that got the response reports it")
		})
	}
}

// TestAllLimitsAreSentInTurn checks that more limits than fit into a datagram are all sent.
func TestAllLimitsAreSentInTurn(t *testing.T) {
	var reports []endpoint.LimitReport
	for i := range 5 * maxGossipLimits / 2 {
		reports = append(reports, endpoint.LimitReport{Endpoint: uint64(i)})
	}
	sent := map[uint64]bool{}
	for sequence := range uint64(3) {
		limits := limitsToGossip(reports, sequence)
		require.LessOrEqual(t, len(limits), maxGossipLimits)
		for _, l := range limits {
			sent[l.GetEndpoint()] = true
		}
	}
	require.Len(t, sent, len(reports))
}
