package speed_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/speed"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// TestWindowIsRobust guards against estimates that follow moments, single requests or invalid times.
func TestWindowIsRobust(t *testing.T) {
	tests := []struct {
		name string
		// value returns the n-th of 100 observations, one every 100 ms.
		value func(n int) float64
		// deviation is the ratio to a base of 2.
		deviation float64
	}{
		{"as the base", func(int) float64 { return 2 }, 1},
		{"around the base", func(n int) float64 { return 2 * math.Exp(0.3*math.Sin(float64(n))) }, 1},
		{"twice", func(int) float64 { return 4 }, 2},
		{"half", func(int) float64 { return 1 }, 0.5},
		{"slow for a quarter of the time", func(n int) float64 {
			if n%40 < 10 {
				return 5
			}
			return 2
		}, 1},
		{"many requests in a slow moment", func(n int) float64 {
			if n >= 95 {
				return 50
			}
			return 2
		}, 1},
		{"not a number", func(n int) float64 {
			if n%3 == 0 {
				return math.NaN()
			}
			return 2
		}, 1},
		{"infinite, zero and negative", func(n int) float64 { return []float64{2, math.Inf(1), 0, -1}[n%4] }, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var w speed.Window
			now := noon
			for n := range 100 {
				w.Observe(test.value(n), now)
				now = now.Add(100 * time.Millisecond)
			}
			e := w.Estimate(now)
			require.InDelta(t, test.deviation, math.Exp(e.Deviation(math.Log(2))), 0.01)
			require.LessOrEqual(t, e.Age, 100*time.Millisecond)
			require.Positive(t, w.Estimate(now.Add(speed.MaxAge/2)).Observations)
			require.Zero(t, w.Estimate(now.Add(speed.MaxAge+2*speed.IntervalLength)).Observations, "observations expire")
		})
	}
}

// TestLine guards against a slope that a few outliers turn, or that is known from equal inputs.
func TestLine(t *testing.T) {
	tests := []struct {
		name  string
		y     func(n int) (x, y float64)
		known bool
		slope float64
	}{
		{"none", func(int) (float64, float64) { return math.NaN(), 1 }, false, 0},
		{"equal inputs", func(n int) (float64, float64) { return 1000, float64(n) }, false, 0},
		{"exact", func(n int) (float64, float64) { return float64(n % 17), 3 + 0.5*float64(n%17) }, true, 0.5},
		{"outliers", func(n int) (float64, float64) {
			x := float64(n % 17)
			y := 3 + 0.5*x + 0.1*math.Sin(float64(n*n))
			if n > 30 && n%16 == 0 {
				y += 1000
			}
			return x, y
		}, true, 0.5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var l speed.Line
			for n := range 300 {
				x, y := test.y(n)
				l.Observe(x, y, noon.Add(time.Duration(n)*10*time.Millisecond))
			}
			fit, ok := l.Fit()
			require.Equal(t, test.known, ok)
			require.InDelta(t, test.slope, fit.Slope, 0.05)
		})
	}
}
