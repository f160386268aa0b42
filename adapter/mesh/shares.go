package mesh

import (
	"time"

	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/share"
)

const (
	// sharesEvery is the interval, in datagrams, at which they carry the use of customers: the sums
	// decay over seconds, so that twice a second is often enough.
	sharesEvery = 5
	// maxShares bounds the entries in a datagram, each of which takes up to 22 bytes.
	maxShares = share.MaxReported + 1
	// maxReportedMS bounds the sums that another front may report for a customer: a steady use of
	// 12,000 slots, those of 1,000 endpoints with the requests that wait inside, adds up to 35,000 s.
	maxReportedMS = 40_000_000
)

// ShareLedger records the use of customers by the reports of all fronts.
type ShareLedger interface {
	// Report returns the customers for which this front has lately used most.
	Report(now time.Time) []share.Use
	// Apply replaces the last report of another front, which it sent at a time.
	Apply(front string, uses []share.Use, at time.Time)
}

// sharesToGossip returns the use of customers for the datagram of a sequence number.
func (m *Mesh) sharesToGossip(sequence uint64, now time.Time) []*meshpb.CustomerUse {
	if m.config.Shares == nil || sequence%sharesEvery != 0 {
		return nil
	}
	var out []*meshpb.CustomerUse
	for _, u := range m.config.Shares.Report(now) {
		out = append(out, &meshpb.CustomerUse{Customer: u.Customer, UseMs: min(u.UsedMS, maxReportedMS), DemandMs: min(u.AskedMS, maxReportedMS)})
	}
	return out
}

// applyShares passes the use of customers that another front reported at heardAt on to the ledger. A
// report that can't be true changes nothing.
func (m *Mesh) applyShares(g *meshpb.Gossip, heardAt time.Time) {
	if m.config.Shares == nil || len(g.GetShares()) == 0 {
		return
	}
	uses, reason := usesOfCustomers(g.GetShares())
	if reason != "" {
		m.config.Logger.Warn("use of customers ignored", zap.String("front", g.GetName()), zap.String("reason", reason), zap.Int("entries", len(g.GetShares())))
		return
	}
	m.config.Shares.Apply(g.GetName(), uses, heardAt)
}

// usesOfCustomers returns the entries of a report, or the reason why it can't be true.
func usesOfCustomers(entries []*meshpb.CustomerUse) ([]share.Use, string) {
	if len(entries) > maxShares {
		return nil, "too many entries"
	}
	uses, seen := make([]share.Use, 0, len(entries)), make(map[uint64]bool, len(entries))
	for _, e := range entries {
		if e.GetUseMs() > maxReportedMS || e.GetDemandMs() > maxReportedMS {
			return nil, "use or demand out of range"
		}
		if seen[e.GetCustomer()] {
			return nil, "customer listed twice"
		}
		seen[e.GetCustomer()] = true
		uses = append(uses, share.Use{Customer: e.GetCustomer(), AskedMS: e.GetDemandMs(), UsedMS: e.GetUseMs()})
	}
	return uses, ""
}
