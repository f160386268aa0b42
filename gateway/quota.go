package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lavendervale/lavendervale/permit"
)

// QuotaTracker keeps the requests of each customer within its quota over all instances.
type QuotaTracker interface {
	// TakeQuota counts one request of a customer and returns a wait of 0. If the quota is used
	// up, it returns how long until it is not.
	TakeQuota(ctx context.Context, customer string, q permit.Quota) (permit.Grant, time.Duration)
	// GiveBackQuota takes back a request that was counted and that no endpoint has run.
	GiveBackQuota(ctx context.Context, customer string, q permit.Quota, g permit.Grant)
}

// refuseOverQuota refuses a request that is beyond its customer's quota, and reports whether it
// did.
func (c *call) refuseOverQuota(ctx context.Context, w Responder) bool {
	if c.customer.RatePerSecond <= 0 {
		return false
	}
	grant, wait := c.Quotas.TakeQuota(ctx, c.customer.Name, c.quota())
	if wait == 0 {
		c.quotaGrant = &grant
		return false
	}
	c.refuse(c, w, Refusal{Status: http.StatusTooManyRequests, RetryAfter: max(0, min(wait, time.Until(c.deadline)/4)), Reason: "the customer's quota is used up"})
	return true
}

// quota returns the quota of the request's customer.
func (c *call) quota() permit.Quota {
	return permit.Quota{Most: c.customer.RatePerSecond*c.QuotaSpan.Seconds() + c.customer.Burst, Span: c.QuotaSpan}
}

// giveBackQuota takes a refused request that has not run out of its customer's quota.
func (c *call) giveBackQuota() {
	if c.quotaGrant == nil || c.possiblyRan {
		return
	}
	grant := *c.quotaGrant
	c.quotaGrant = nil
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), giveBackTimeout)
		defer cancel()
		c.Quotas.GiveBackQuota(ctx, c.customer.Name, c.quota(), grant)
	}()
}

// repeatWithinQuota counts a request that an endpoint may have run already and that is about to be
// sent to another one. It returns false if that is beyond the customer's quota.
func (c *call) repeatWithinQuota(ctx context.Context) bool {
	if c.customer.RatePerSecond <= 0 {
		return true
	}
	_, wait := c.Quotas.TakeQuota(ctx, c.customer.Name, c.quota())
	return wait == 0
}

// giveBackTimeout bounds the call of giveBackQuota.
const giveBackTimeout = time.Second
