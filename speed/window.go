package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// IntervalLength is the length of the intervals in which observations are averaged. It is about the
	// length of a moment of slowness (0.6 s), so that such a moment is one or two values of a window however
	// many requests it meets.
	IntervalLength = 500 * time.Millisecond
	// windowIntervals is the number of intervals that a window keeps: 12 s of an endpoint in steady use,
	// which is 20 moments.
	windowIntervals = 24
	// MaxAge is how long observations count.
	MaxAge = 30 * time.Second
	// maxIntervalWeight bounds the weight of an interval with many observations.
	maxIntervalWeight = 4
	// lowQuantile and highQuantile bound an estimate. An endpoint counts as slower than another time only
	// if 70% of the intervals are, and as faster likewise: moments of slowness fill 15% of the time.
	lowQuantile, highQuantile = 0.3, 0.7
)

// Window holds the observations of one endpoint as the geometric means of short intervals. Its zero
// value has none.
type Window struct {
	intervals [windowIntervals]interval
	// next is the index of the interval that is replaced next.
	next int
}

// interval sums up the observations of IntervalLength.
type interval struct {
	// number counts intervals since the Unix epoch; 0 is an interval without observations.
	number int64
	logSum float64
	count  uint32
}

// Estimate sums up a window. The times are logarithms.
type Estimate struct {
	// Low, Mid and High are quantiles of the intervals' means.
	Low, Mid, High float64
	// Observations is the number of observations, 0 if there are none.
	Observations int
	// Age is the time since the latest interval with an observation.
	Age time.Duration
}

// Observe adds an observation; values that are not positive and finite are ignored.
func (w *Window) Observe(value float64, now time.Time) {
	if !(value > 0) || math.IsInf(value, 1) {
		return
	}
	number := now.UnixNano() / int64(IntervalLength)
	latest := &w.intervals[(w.next+windowIntervals-1)%windowIntervals]
	if latest.number != number {
		latest = &w.intervals[w.next]
		*latest = interval{number: number}
		w.next = (w.next + 1) % windowIntervals
	}
	latest.logSum += math.Log(value)
	latest.count++
}

// Estimate returns the estimate from the observations of the last MaxAge.
func (w *Window) Estimate(now time.Time) Estimate {
	var buffer [windowIntervals]Weighted
	values := buffer[:0]
	var e Estimate
	current := now.UnixNano() / int64(IntervalLength)
	latest := int64(0)
	for _, i := range w.intervals {
		if i.count == 0 || current-i.number > int64(MaxAge/IntervalLength) {
			continue
		}
		values = append(values, Weighted{Value: i.logSum / float64(i.count), Weight: float64(min(i.count, maxIntervalWeight))})
		e.Observations += int(i.count)
		latest = max(latest, i.number)
	}
	if e.Observations == 0 {
		return e
	}
	e.Age = max(0, time.Duration(now.UnixNano()-latest*int64(IntervalLength))-IntervalLength)
	sortWeighted(values)
	e.Low, e.Mid, e.High = quantile(values, lowQuantile), quantile(values, 0.5), quantile(values, highQuantile)
	return e
}

// Deviation returns how far the estimate is from a base, both logarithms: 0 if the base is within the
// bounds of the estimate.
func (e Estimate) Deviation(base float64) float64 { return outside(e.Low-base, e.High-base) }

// Agreed returns the deviation by which at least 70% of values, by their weights, differ from 0 in the
// same direction, or 0 if there is none. It sorts the values.
func Agreed(values []Weighted) float64 {
	sortWeighted(values)
	return outside(quantile(values, lowQuantile), quantile(values, highQuantile))
}

// outside returns the bound of an interval that is nearer to 0, or 0 if that is within it.
func outside(low, high float64) float64 {
	switch {
	case low > 0:
		return low
	case high < 0:
		return high
	default:
		return 0
	}
}

// Weighted is a value with a weight.
type Weighted struct{ Value, Weight float64 }

// Median returns the weighted median of values, which it sorts, or 0 if there are none.
func Median(values []Weighted) float64 {
	sortWeighted(values)
	return quantile(values, 0.5)
}

func sortWeighted(values []Weighted) {
	slices.SortFunc(values, func(a, b Weighted) int { return cmp.Compare(a.Value, b.Value) })
}

// quantile returns the quantile of sorted values, or 0 if there are none.
func quantile(values []Weighted, q float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v.Weight
	}
	rest := q * sum
	for _, v := range values {
		if rest -= v.Weight; rest <= 0 {
			return v.Value
		}
	}
	if len(values) == 0 {
		return 0
	}
	return values[len(values)-1].Value
}
