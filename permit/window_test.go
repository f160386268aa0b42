package permit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/permit"
)

var quota = permit.Quota{Most: 100, Span: 5 * time.Second}

// admitted sends requests at random times, so many a second on average, and returns when they
// were admitted.
func admitted(w *permit.Windows, perSecond float64, from time.Time, length time.Duration) []time.Time {
	rng := rand.New(rand.NewPCG(3, 4))
	var out []time.Time
	for at := from; at.Before(from.Add(length)); at = at.Add(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))) {
		if w.Take("c", quota, at) == 0 {
			out = append(out, at)
		}
	}
	return out
}

// TestQuotaHoldsInEverySpan checks that no span of the quota's length has more requests, and that
// a customer who asks for too much gets nearly all of it.
func TestQuotaHoldsInEverySpan(t *testing.T) {
	times := admitted(permit.NewWindows(noon), 100, noon, time.Minute)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > quota.Span {
			first++
		}
		require.LessOrEqual(t, i-first+1, 100)
	}
	require.GreaterOrEqual(t, len(times), int(0.95*12*quota.Most))
}

// TestRequestsWithinTheQuotaAreAdmitted checks a customer who sends four fifths of its quota,
// from the first request on.
func TestRequestsWithinTheQuotaAreAdmitted(t *testing.T) {
	w := permit.NewWindows(noon)
	for i := range 16 * 30 {
		require.Zero(t, w.Take("c", quota, noon.Add(time.Duration(i)*time.Second/16)), i)
	}
}

// TestNewIssuerAdmitsLittleMore guards against a customer who gets its whole quota once more from
// the next issuer when one is lost.
func TestNewIssuerAdmitsLittleMore(t *testing.T) {
	before := admitted(permit.NewWindows(noon), 100, noon, 20*time.Second)
	after := admitted(permit.NewWindows(noon), 100, noon.Add(20*time.Second), 20*time.Second)
	times := append(before, after...)
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > quota.Span {
			first++
		}
		require.LessOrEqual(t, i-first+1, int(1.1*quota.Most)+20)
	}
}

// TestRefusedRequestMayComeAfterTheWait checks the wait that comes with a refusal.
func TestRefusedRequestMayComeAfterTheWait(t *testing.T) {
	w := permit.NewWindows(noon)
	at := noon
	for w.Take("c", quota, at) == 0 {
		at = at.Add(time.Millisecond)
	}
	wait := w.Take("c", quota, at)
	require.LessOrEqual(t, wait, quota.Span)
	require.Zero(t, w.Take("c", quota, at.Add(wait)))
}
