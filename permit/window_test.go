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

// TestRequestsGivenBackLaterDoNotCountTwice checks that no span has more requests than the quota when
// many are given back long after they were counted, like those refused after a wait in the queue of a
// burst (amhfu-grown scale-1, seed 939339635066: 3,949 requests in 5 s, 3,894 allowed).
func TestRequestsGivenBackLaterDoNotCountTwice(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
	}{
		{"at once", time.Millisecond}, {"after half a second", 500 * time.Millisecond},
		{"after most of the span", 4500 * time.Millisecond}, {"after more than the span", 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := permit.NewWindows(noon)
			require.Zero(t, w.Take("c", quota, noon))
			start := noon.Add(20 * time.Second)
			counted := 0
			for w.Take("c", quota, start) == 0 {
				counted++
			}
			var ran []time.Time
			for at := start; at.Before(start.Add(15 * time.Second)); at = at.Add(time.Millisecond) {
				if at.Equal(start.Add(test.after)) {
					for range counted {
						w.GiveBack("c", quota, start, at)
					}
				}
				if w.Take("c", quota, at) == 0 {
					ran = append(ran, at)
				}
			}
			require.GreaterOrEqual(t, len(ran), int(1.9*quota.Most))
			first := 0
			for i, at := range ran {
				for at.Sub(ran[first]) > quota.Span {
					first++
				}
				require.LessOrEqual(t, i-first+1, int(quota.Most))
			}
		})
	}
}

// TestGivingBackWhatWasNotCountedChangesNothing checks grants of another keeper, of a time before this
// one and of the future.
func TestGivingBackWhatWasNotCountedChangesNothing(t *testing.T) {
	w := permit.NewWindows(noon)
	at := noon.Add(20 * time.Second)
	require.Zero(t, w.Take("c", quota, at.Add(-6*time.Second)))
	for w.Take("c", quota, at) == 0 {
		continue
	}
	for _, takenAt := range []time.Time{noon.Add(-time.Second), at.Add(-10 * time.Second), at.Add(-time.Second), at.Add(time.Hour)} {
		w.GiveBack("c", quota, takenAt, at)
	}
	w.GiveBack("other", quota, at, at)
	require.NotZero(t, w.Take("c", quota, at))
}
