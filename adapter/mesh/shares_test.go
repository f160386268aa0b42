package mesh

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/share"
)

// newShareMesh returns a mesh with a ledger.
func newShareMesh(t *testing.T, name string) (*Mesh, *share.Ledger) {
	m, ledger := newTestMesh(t, name), share.New(share.Config{Self: name})
	m.config.Shares = ledger
	return m, ledger
}

// TestUseOfCustomersTravelsByGossip guards against fronts that judge customers by their own part of
// the load only.
func TestUseOfCustomersTravelsByGossip(t *testing.T) {
	sender, sent := newShareMesh(t, "sender")
	receiver, received := newShareMesh(t, "receiver")
	now := time.Now()
	for i := range 40 {
		sent.Ask(fmt.Sprint("c-", i), time.Duration(i+2)*time.Second, now)
		sent.Run(fmt.Sprint("c-", i), time.Duration(i+1)*time.Second, now)
	}
	withShares := 0
	for range 10 {
		g := sender.newGossip(now)
		if len(g.GetShares()) > 0 {
			withShares++
			require.Len(t, g.GetShares(), maxShares)
		}
		receiver.handleGossip(g, sender.Address(), now, now)
	}
	require.Equal(t, 2, withShares, "one datagram of five")
	want, _ := sent.Level("c-39", 1000, now)
	got, _ := received.Level("c-39", 1000, now)
	require.Positive(t, got)
	require.InDelta(t, want, got, 1e-3)
	unreported, _ := received.Level("c-7", 1000, now)
	require.Zero(t, unreported, "only the greatest are sent")
}

// TestMeshWithoutALedgerSharesNothing checks that a front without a ledger sends and reads as before.
func TestMeshWithoutALedgerSharesNothing(t *testing.T) {
	m := newTestMesh(t, "m")
	for range 10 {
		require.Empty(t, m.newGossip(time.Now()).GetShares())
	}
	m.handleGossip(&meshpb.Gossip{Name: "f", Incarnation: 1, Sequence: 1, Weight: 1, Shares: []*meshpb.CustomerUse{{Customer: 1, UseMs: 1}}}, "127.0.0.1:1", time.Now(), time.Now())
}

// TestUseThatCannotBeTrueIsIgnored guards against a front that makes others refuse a customer by a
// report that can't be true.
func TestUseThatCannotBeTrueIsIgnored(t *testing.T) {
	many := func(n int) (entries []*meshpb.CustomerUse) {
		for i := range n {
			entries = append(entries, &meshpb.CustomerUse{Customer: uint64(i), UseMs: 1})
		}
		return entries
	}
	tests := []struct {
		name    string
		entries []*meshpb.CustomerUse
		reason  string
	}{
		{name: "as many as allowed", entries: many(maxShares)},
		{name: "one more", entries: many(maxShares + 1), reason: "too many entries"},
		{name: "thousands", entries: many(5000), reason: "too many entries"},
		{name: "the greatest use", entries: []*meshpb.CustomerUse{{Customer: 1, UseMs: maxReportedMS, DemandMs: maxReportedMS}}},
		{name: "a use beyond all engines", entries: []*meshpb.CustomerUse{{Customer: 2, UseMs: 1}, {Customer: 1, UseMs: maxReportedMS + 1}}, reason: "use or demand out of range"},
		{name: "a demand beyond all engines", entries: []*meshpb.CustomerUse{{Customer: 1, DemandMs: math.MaxUint32}}, reason: "use or demand out of range"},
		{name: "a customer twice", entries: []*meshpb.CustomerUse{{Customer: 1, UseMs: 1}, {Customer: 1, UseMs: 2}}, reason: "customer listed twice"},
		{name: "nothing", entries: []*meshpb.CustomerUse{{}}},
		{name: "a torn entry", entries: []*meshpb.CustomerUse{nil}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m, ledger := newShareMesh(t, "m")
			core, logs := observer.New(zap.WarnLevel)
			m.config.Logger = zap.New(core)
			now := time.Now()
			ledger.Run("c", time.Second, now)
			before, _ := ledger.Level("c", 0.1, now)
			m.handleGossip(&meshpb.Gossip{Name: "f", Incarnation: 1, Sequence: 1, Weight: 1, Shares: test.entries}, "127.0.0.1:1", now, now)
			if test.reason == "" {
				require.Zero(t, logs.Len())
				return
			}
			require.Equal(t, 1, logs.Len())
			require.Equal(t, test.reason, logs.All()[0].ContextMap()["reason"])
			after, fairShare := ledger.Level("c", 0.1, now.Add(time.Second/2))
			require.InDelta(t, before, after, 0.1)
			require.True(t, math.IsInf(fairShare, 1), "no other customer is known")
		})
	}
}
