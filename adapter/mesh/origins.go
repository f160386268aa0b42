package mesh

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
	"github.com/lavendervale/lavendervale/origin"
)

const (
	// originCopies is the number of fronts that remember the origin of a stream, in other
	// failure domains where possible, besides the one that serves the stream.
	originCopies = 3
	// minOriginCopies is the number of them that RecordOrigin waits for.
	minOriginCopies = 2
	// originSearch is the number of fronts that are asked for an origin. It is above
	// originCopies, as fronts may have been lost or added since.
	originSearch = 6
	// originTimeout bounds the wait for the reply of one of these fronts.
	originTimeout = 200 * time.Millisecond
)

// RecordOrigin remembers the origin of a stream. With copied set it returns once
// minOriginCopies other fronts remember it too, or all have answered or not answered in time;
// earlier origins of the service that were recorded without copies are copied as well.
func (m *Mesh) RecordOrigin(ctx context.Context, o origin.Origin, copied bool) {
	o.Served = true
	if !copied {
		m.origins.PutUncopied(o, time.Now())
		return
	}
	m.origins.Put(o, time.Now())
	for _, earlier := range m.origins.TakeUncopied(o.Service) {
		m.copyOrigin(earlier)
	}
	replies := m.copyOrigin(o)
	acknowledged := 0
	for range cap(replies) {
		select {
		case err := <-replies:
			if err == nil {
				acknowledged++
			}
		case <-ctx.Done():
			return
		}
		if acknowledged == minOriginCopies {
			return
		}
	}
}

// copyOrigin sends an origin to the fronts that remember it. The channel has room for their
// replies and receives one of each. The end of a request does not end this, as its caller may
// resume the stream then.
func (m *Mesh) copyOrigin(o origin.Origin) <-chan error {
	targets := m.originHolders(o.Attempt, originCopies)
	replies := make(chan error, len(targets))
	for _, t := range targets {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
			defer cancel()
			_, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_KeepOrigin{KeepOrigin: &meshpb.KeepOrigin{Origin: originToProto(o)}}}, originTimeout)
			replies <- err
		}()
	}
	return replies
}

// FindOrigin returns the origin of the stream that an attempt began, or false if neither this front
// nor those that remember it know one. Of several the latest holds: a front that was suspended may have
// missed it. The error is of a front that did not answer.
func (m *Mesh) FindOrigin(ctx context.Context, attempt string) (origin.Origin, bool, error) {
	best, ok := m.origins.Find(attempt)
	if best.Served && best.Version != "" {
		return best, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	type result struct {
		reply *meshpb.Reply
		err   error
	}
	targets := m.originHolders(attempt, originSearch)
	results := make(chan result, len(targets))
	for _, t := range targets {
		go func() {
			reply, err := m.roundTrip(ctx, t, &meshpb.Request{Body: &meshpb.Request_FindOrigin{FindOrigin: &meshpb.FindOrigin{Attempt: attempt}}}, originTimeout)
			results <- result{reply: reply, err: err}
		}()
	}
	if len(targets) == 0 && !ok {
		return origin.Origin{}, false, Errorf("find origin", KindUnreachable, "no other front is known")
	}
	var lastErr error
	for range targets {
		select {
		case r := <-results:
			if found := r.reply.GetOrigin(); found != nil && (!ok || found.GetSequence() > best.Sequence) {
				best, ok = originFromProto(found), true
			}
			lastErr = cmp.Or(r.err, lastErr)
		case <-ctx.Done():
			return best, ok, Errorf("find origin", KindUnreachable, "not all fronts answered: %w", ctx.Err())
		}
	}
	return best, ok, lastErr
}

// handleFindOrigin replies with an origin, or Done if this front does not know it.
func (h requestHandler) handleFindOrigin(r *meshpb.FindOrigin) error {
	o, ok := h.mesh.origins.Find(r.GetAttempt())
	if !ok {
		return h.replyDone(nil)
	}
	return h.out.Write(&meshpb.Reply{Body: &meshpb.Reply_Origin{Origin: originToProto(o)}})
}

// originHolders returns the first count fronts that remember the origin of an attempt, without
// this one.
func (m *Mesh) originHolders(attempt string, count int) []target {
	holders := m.peers.byRendezvous(xxhash.Sum64String(attempt), time.Now(), m.config.Domain)
	holders = holders[:min(count, len(holders))]
	return slices.DeleteFunc(holders, func(t target) bool { return t.name == m.config.Name })
}

// byRendezvous returns this front, which is in the given failure domain, and the fronts that are
// alive and not leaving, in the order of their rendezvous scores for a key. The first of each
// domain is before all others.
func (t *peerTable) byRendezvous(key uint64, now time.Time, domain string) []target {
	type candidate struct {
		target
		score float64
	}
	t.mu.Lock()
	candidates := []candidate{{target{name: t.self, domain: domain}, rendezvousScore(t.self, key, t.selfWeight)}}
	for _, p := range t.peers {
		if p.alive(now) && !p.leaving {
			candidates = append(candidates, candidate{p.target(), rendezvousScore(p.name, key, p.weight)})
		}
	}
	t.mu.Unlock()
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var first, rest []target
	seen := map[string]bool{}
	for _, c := range candidates {
		if seen[c.domain] {
			rest = append(rest, c.target)
			continue
		}
		seen[c.domain] = true
		first = append(first, c.target)
	}
	return append(first, rest...)
}

func originToProto(o origin.Origin) *meshpb.Origin {
	return &meshpb.Origin{Attempt: o.Attempt, Service: o.Service, Version: o.Version, Sequence: o.Sequence}
}

func originFromProto(o *meshpb.Origin) origin.Origin {
	return origin.Origin{Attempt: o.GetAttempt(), Service: o.GetService(), Version: o.GetVersion(), Sequence: o.GetSequence()}
}
