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

// TakeQuota counts one request of a customer at the front that keeps its quota, and returns 0, or
// how long until the quota is not used up. If that front does not answer, this one admits its
// own part of the quota.
func (m *Mesh) TakeQuota(ctx context.Context, customer string, q permit.Quota) time.Duration {
	issuer, share := m.quotaIssuer(customer)
	if issuer.name == m.config.Name {
		q.Most *= share
		return m.quotas.Take(customer, q, time.Now())
	}
	reply, err := m.callIssuer(ctx, issuer, &meshpb.Request{Body: &meshpb.Request_TakeQuota{TakeQuota: &meshpb.TakeQuota{
		Customer: customer, Most: q.Most, SpanUs: q.Span.Microseconds(),
	}}})
	if err == nil {
		return max(0, time.Duration(reply.GetPermit().GetWaitUs())*time.Microsecond)
	}
	m.config.Logger.Warn("quota is divided, its issuer does not answer", zap.String("customer", customer), zap.String("front", issuer.name), zap.Error(err))
	q.Most /= float64(1 + m.AliveCount())
	return m.ownQuotas.Take(customer, q, time.Now())
}

// GiveBackQuota takes back a request that TakeQuota counted and that no endpoint has run.
func (m *Mesh) GiveBackQuota(ctx context.Context, customer string, q permit.Quota) {
	issuer, _ := m.quotaIssuer(customer)
	if issuer.name == m.config.Name {
		m.quotas.GiveBack(customer, q, time.Now())
		return
	}
	_, err := m.callIssuer(ctx, issuer, &meshpb.Request{Body: &meshpb.Request_TakeQuota{TakeQuota: &meshpb.TakeQuota{
		Customer: customer, Most: q.Most, SpanUs: q.Span.Microseconds(), GiveBack: true,
	}}})
	if err != nil {
		m.config.Logger.Debug("giving back quota failed", zap.String("customer", customer), zap.Error(err))
	}
}

// quotaIssuer returns the front that keeps the quota of a customer, and the part of the quota that
// it may admit.
func (m *Mesh) quotaIssuer(customer string) (target, float64) {
	return m.peers.issuer(xxhash.Sum64String("customer/"+customer), time.Now(), !m.leaving.Load())
}

// handleTakeQuota replies with a permit, or a Fault when this front does not keep the quota.
func (h requestHandler) handleTakeQuota(r *meshpb.TakeQuota) error {
	issuer, share := h.mesh.quotaIssuer(r.GetCustomer())
	if issuer.name != h.mesh.config.Name {
		return h.replyFault(turn.Errorf("take quota", turn.KindUnavailable, "front %s keeps the quota of the customer", issuer.name))
	}
	q := permit.Quota{Most: share * r.GetMost(), Span: time.Duration(r.GetSpanUs()) * time.Microsecond}
	if r.GetGiveBack() {
		h.mesh.quotas.GiveBack(r.GetCustomer(), q, time.Now())
		return h.replyDone(nil)
	}
	return h.replyPermit(h.mesh.quotas.Take(r.GetCustomer(), q, time.Now()))
}
