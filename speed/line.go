package speed

import (
	"math"
	"time"
)

const (
	// lineHalfLife is the half-life of an observation of a line.
	lineHalfLife = 30 * time.Second
	// clipAfter is the number of observations after which a further one is clipped, and clipDeviations the
	// distance from the line, in standard deviations of the others, beyond which it is.
	clipAfter, clipDeviations = 20, 3
)

// Line is a straight line fitted by least squares to observations that fade with time. Its zero value
// has none.
type Line struct {
	weight, x, y, xx, xy, yy float64
	observations             int
	updatedAt                time.Time
}

// Fit is the line fitted to the observations so far.
type Fit struct {
	Slope, Intercept float64
	// SlopeError is the standard error of Slope.
	SlopeError float64
	// deviation is the standard deviation of the observations from the line.
	deviation float64
}

// Observe adds an observation y at x; those that are not finite are ignored. One far from the line is
// moved towards it, so that a request that was held up for another reason does not turn the line.
func (l *Line) Observe(x, y float64, now time.Time) {
	if math.IsNaN(x) || math.IsInf(x, 0) || math.IsNaN(y) || math.IsInf(y, 0) {
		return
	}
	if fit, ok := l.Fit(); ok && l.observations >= clipAfter && fit.deviation > 0 {
		expected := fit.Intercept + fit.Slope*x
		y = min(max(y, expected-clipDeviations*fit.deviation), expected+clipDeviations*fit.deviation)
	}
	if age := now.Sub(l.updatedAt); !l.updatedAt.IsZero() && age > 0 {
		f := math.Exp2(-age.Seconds() / lineHalfLife.Seconds())
		l.weight, l.x, l.y, l.xx, l.xy, l.yy = f*l.weight, f*l.x, f*l.y, f*l.xx, f*l.xy, f*l.yy
	}
	l.weight, l.x, l.y = l.weight+1, l.x+x, l.y+y
	l.xx, l.xy, l.yy = l.xx+x*x, l.xy+x*y, l.yy+y*y
	l.observations++
	l.updatedAt = now
}

// Observations returns the number of observations since the start.
func (l *Line) Observations() int { return l.observations }

// Fit returns the line, or false as long as the observations determine none.
func (l *Line) Fit() (Fit, bool) {
	if l.weight < 3 {
		return Fit{}, false
	}
	meanX, meanY := l.x/l.weight, l.y/l.weight
	varX, varY, cov := l.xx/l.weight-meanX*meanX, l.yy/l.weight-meanY*meanY, l.xy/l.weight-meanX*meanY
	if varX <= 1e-9*(1+meanX*meanX) {
		return Fit{}, false
	}
	slope := cov / varX
	residual := max(0, varY-slope*cov)
	return Fit{
		Slope: slope, Intercept: meanY - slope*meanX,
		SlopeError: math.Sqrt(residual / (varX * (l.weight - 2))), deviation: math.Sqrt(residual),
	}, true
}
