package mesh

import (
	"context"
	"math"
	"time"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/permit"
	"github.com/lavendervale/lavendervale/turn"
)

const (
	// permitTimeout bounds the wait for the reply of an issuer.
	permitTimeout = 120 * time.Millisecond
	// permitMemory is how long a front that has gone silent may still issue permits, as far
	// as the others know. Meanwhile its successors issue a part of the rate only.
	permitMemory = 10 * time.Second
)

// TakePermit takes a permit for one request to an endpoint that names a rate limit, from the
// front that issues its permits, and returns 0. If none is free, it returns how long until the
// next one is. Errors are of KindUnreachable, or of turn.KindUnavailable when the other front
// is not the issuer.
func (m *Mesh) TakePermit(ctx context.Context, t endpoint.Target) (time.Duration, error) {
	e := permit.Endpoint{Key: endpoint.Key(t.ID()), StartedUnixMS: t.Registration().StartedUnixMS}
	issuer, share := m.peers.issuer(e.Key, time.Now(), !m.handsOver())
	if issuer.name == m.config.Name {
		return m.permits.Take(e, share*t.Limit().PerSecond, time.Now()), nil
	}
	reply, err := m.callIssuer(ctx, issuer, &meshpb.Request{Body: &meshpb.Request_TakePermit{TakePermit: &meshpb.TakePermit{
		Endpoint: e.Key, StartedUnixMs: e.StartedUnixMS, PerSecond: t.Limit().PerSecond,
	}}})
	if err != nil {
		return 0, err
	}
	return max(0, time.Duration(reply.GetPermit().GetWaitUs())*time.Microsecond), nil
}

// callIssuer asks another front for a permit. It probes a front that does not reply within
// permitTimeout, without the request waiting for that.
func (m *Mesh) callIssuer(ctx context.Context, issuer target, r *meshpb.Request) (*meshpb.Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := m.roundTrip(callCtx, issuer, r, handleTimeout)
	if err != nil && ctx.Err() == nil && callCtx.Err() != nil {
		go m.probe(issuer)
	}
	return reply, err
}

// handleTakePermit replies with a permit, or a Fault when this front is not the issuer.
func (h requestHandler) handleTakePermit(r *meshpb.TakePermit) error {
	m, now := h.mesh, time.Now()
	issuer, share := m.peers.issuer(r.GetEndpoint(), now, !m.handsOver())
	if issuer.name != m.config.Name {
		return h.replyFault(turn.Errorf("issue permit", turn.KindUnavailable, "front %s issues the permits of the endpoint", issuer.name))
	}
	if rate := r.GetPerSecond(); math.IsNaN(rate) || rate < 0 {
		return h.replyFault(turn.Errorf("issue permit", turn.KindUnavailable, "a limit of %v requests per second is out of range", rate))
	}
	wait := m.permits.Take(permit.Endpoint{Key: r.GetEndpoint(), StartedUnixMS: r.GetStartedUnixMs()}, share*r.GetPerSecond(), now)
	return h.replyPermit(wait)
}

// replyPermit replies a permit, which is granted if wait is 0.
func (h requestHandler) replyPermit(wait time.Duration) error {
	return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Permit{Permit: &meshpb.Permit{WaitUs: int64((wait + time.Microsecond - 1) / time.Microsecond)}}})
}

// IsRecorder reports whether this front, of all that are alive, should record what has a key in the
// store. Fronts may disagree while their views of the others differ.
func (m *Mesh) IsRecorder(key uint64) bool {
	front, _ := m.peers.issuer(key, time.Now(), !m.handsOver())
	return front.name == m.config.Name
}

// issuer returns the front that issues the permits of an endpoint or a customer, by rendezvous hashing over
// the fronts alive, and the part of the rate that it may issue. That is the part of the fronts
// seen within permitMemory that are alive: the others may be cut off, with an issuer of their
// own.
func (t *peerTable) issuer(key uint64, now time.Time, includeSelf bool) (target, float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, bestScore := target{name: t.self}, 0.0
	if includeSelf {
		bestScore = rendezvousScore(t.self, key, t.selfWeight)
	}
	alive, seen := 1, 1
	for _, p := range t.peers {
		if p.leaving || p.lastGossipAt.IsZero() || now.Sub(p.lastGossipAt) > permitMemory {
			continue
		}
		seen++
		if !p.alive(now) {
			continue
		}
		alive++
		if score := rendezvousScore(p.name, key, p.weight); score > bestScore {
			best, bestScore = p.target(), score
		}
	}
	return best, float64(alive) / float64(seen)
}
