package mesh

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/permit"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// maxQuotaSpan and maxQuota bound the quotas that other fronts may ask for.
	maxQuotaSpan = time.Hour
	maxQuota     = 1e12
	// maxReportedUse bounds the requests that another front may report at once.
	maxReportedUse = 1 << 20
)

// TakeQuota counts one request of a customer at the front that keeps its quota, and returns a wait
// of 0, or how long until the quota is not used up. If that front does not answer, this one admits
// its own part of the quota.
func (m *Mesh) TakeQuota(ctx context.Context, customer string, q permit.Quota) (permit.Grant, time.Duration) {
	keeper, share := m.quotaIssuer(customer)
	grant := permit.Grant{Keeper: keeper.name, At: time.Now()}
	uses := m.quotaHistory.TakeUntold(customer, keeper.name, q.Span, grant.At)
	wait, err := m.takeQuotaAt(ctx, keeper, share, customer, q, uses)
	if err != nil {
		m.config.Logger.Warn("quota is divided, its issuer does not answer", zap.String("customer", customer), zap.String("front", keeper.name), zap.Error(err))
		q.Most /= float64(1 + m.AliveCount())
		grant.Keeper, wait = "", m.ownQuotas.Take(customer, q, time.Now())
	}
	if wait == 0 {
		m.quotaHistory.Add(customer, grant.Keeper, grant.At)
	}
	return grant, wait
}

// takeQuotaAt counts a request at the front that keeps the customer's quota, which may be this one, and
// tells it the requests that other fronts have counted.
func (m *Mesh) takeQuotaAt(ctx context.Context, keeper target, share float64, customer string, q permit.Quota, uses []permit.Use) (time.Duration, error) {
	if keeper.name == m.config.Name {
		q.Most *= share
		m.quotas.Report(customer, q, uses, time.Now())
		return m.quotas.Take(customer, q, time.Now()), nil
	}
	request := &meshpb.TakeQuota{Customer: customer, Most: q.Most, SpanUs: q.Span.Microseconds()}
	for _, use := range uses {
		request.Uses = append(request.Uses, &meshpb.QuotaUse{AgeMs: uint32(use.Age.Milliseconds()), Count: uint32(use.Count)})
	}
	reply, err := m.callIssuer(ctx, keeper, &meshpb.Request{Body: &meshpb.Request_TakeQuota{TakeQuota: request}})
	if err != nil {
		return 0, err
	}
	return max(0, time.Duration(reply.GetPermit().GetWaitUs())*time.Microsecond), nil
}

// GiveBackQuota takes back a request that TakeQuota counted and that no endpoint has run. Only the
// front that counted it is told, while it keeps the customer's quota.
func (m *Mesh) GiveBackQuota(ctx context.Context, customer string, q permit.Quota, g permit.Grant) {
	m.quotaHistory.Remove(customer, g.Keeper, g.At)
	keeper, _ := m.quotaIssuer(customer)
	if keeper.name != g.Keeper {
		return
	}
	now := time.Now()
	if keeper.name == m.config.Name {
		m.quotas.GiveBack(customer, q, g.At, now)
		return
	}
	_, err := m.callIssuer(ctx, keeper, &meshpb.Request{Body: &meshpb.Request_TakeQuota{TakeQuota: &meshpb.TakeQuota{
		Customer: customer, Most: q.Most, SpanUs: q.Span.Microseconds(), GiveBack: true, AgeUs: now.Sub(g.At).Microseconds(),
	}}})
	if err != nil {
		m.config.Logger.Debug("giving back quota failed", zap.String("customer", customer), zap.Error(err))
	}
}

// quotaIssuer returns the front that keeps the quota of a customer, and the part of the quota that
// it may admit.
func (m *Mesh) quotaIssuer(customer string) (target, float64) {
	return m.peers.issuer(xxhash.Sum64String("customer/"+customer), time.Now(), !m.handsOver())
}

// handleTakeQuota replies with a permit, or a Fault when this front does not keep the quota.
func (h requestHandler) handleTakeQuota(r *meshpb.TakeQuota) error {
	issuer, share := h.mesh.quotaIssuer(r.GetCustomer())
	if issuer.name != h.mesh.config.Name {
		return h.replyFault(turn.Errorf("take quota", turn.KindUnavailable, "front %s keeps the quota of the customer", issuer.name))
	}
	q := permit.Quota{Most: share * r.GetMost(), Span: time.Duration(r.GetSpanUs()) * time.Microsecond}
	if !(r.GetMost() >= 0 && r.GetMost() <= maxQuota) || r.GetSpanUs() <= 0 || r.GetSpanUs() > maxQuotaSpan.Microseconds() {
		return h.replyFault(turn.Errorf("take quota", turn.KindUnavailable, "a quota of %v requests in %d µs is out of range", r.GetMost(), r.GetSpanUs()))
	}
	now := time.Now()
	if r.GetGiveBack() {
		if age := r.GetAgeUs(); age >= 0 && age <= maxQuotaSpan.Microseconds() {
			h.mesh.quotas.GiveBack(r.GetCustomer(), q, now.Add(-time.Duration(age)*time.Microsecond), now)
		}
		return h.replyDone(nil)
	}
	if uses := usesFromProto(r.GetUses(), q.Span); len(uses) > 0 {
		h.mesh.quotas.Report(r.GetCustomer(), q, uses, now)
	}
	return h.replyPermit(h.mesh.quotas.Take(r.GetCustomer(), q, now))
}

// usesFromProto returns the requests within a span that another front reports, without those that
// can't be.
func usesFromProto(reported []*meshpb.QuotaUse, span time.Duration) []permit.Use {
	var uses []permit.Use
	for _, use := range reported {
		age := time.Duration(use.GetAgeMs()) * time.Millisecond
		if age <= span && use.GetCount() <= maxReportedUse {
			uses = append(uses, permit.Use{Age: age, Count: int(use.GetCount())})
		}
	}
	return uses
}
