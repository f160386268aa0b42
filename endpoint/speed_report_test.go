package endpoint_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
)

// speedReport returns a report of an incarnation that started at 1.
func speedReport(i int, ratio float64, observations int, age time.Duration) endpoint.SpeedReport {
	return endpoint.SpeedReport{Endpoint: endpoint.Key(fmt.Sprint(i)), StartedUnixMS: 1, Ratio: ratio, Observations: observations, Age: age}
}

// hear applies the reports of some fronts every 500 ms for some time, those of front i being
// reports[i].
func (f *speedsFixture) hear(length time.Duration, reports ...[]endpoint.SpeedReport) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(500 * time.Millisecond) {
		for i, r := range reports {
			f.ApplySpeeds(fmt.Sprint("front-", i), r, f.now)
		}
		f.RefreshSpeeds(f.now)
	}
}

// TestFreshFrontLearnsFromReports guards against a front that sends to slow engines until it has met all
// of them itself, and against reports that count for good.
func TestFreshFrontLearnsFromReports(t *testing.T) {
	sender, receiver := newSpeedsFixture(6), newSpeedsFixture(6)
	sender.observe(t, 10*time.Second, mixedSpeeds)
	reports := sender.Speeds(sender.now)
	require.Len(t, reports, 6)
	receiver.hear(1500*time.Millisecond, reports)
	require.Equal(t, 1.0, receiver.SpeedSpread(), "reports of a moment do not count")
	receiver.hear(4*time.Second, reports)
	shares := receiver.shares(2000)
	require.Greater(t, shares[2]+shares[5], 0.98)
	require.Empty(t, receiver.Speeds(receiver.now), "a front reports only what it has observed itself")
	receiver.now = receiver.now.Add(31 * time.Second)
	receiver.RefreshSpeeds(receiver.now)
	require.Equal(t, 1.0, receiver.SpeedSpread())
	shares = receiver.shares(2000)
	require.Less(t, shares[2]+shares[5], 0.5)
}

// TestReportsAreMergedByCountAndAge guards against a report of few or old observations that outweighs
// others.
func TestReportsAreMergedByCountAndAge(t *testing.T) {
	with := func(ratio float64, observations int, age time.Duration) []endpoint.SpeedReport {
		return []endpoint.SpeedReport{speedReport(0, ratio, observations, age), speedReport(1, 1, 60, 0), speedReport(2, 1, 60, 0)}
	}
	tests := []struct {
		name    string
		reports [][]endpoint.SpeedReport
		// spread is the ratio of the slowest endpoint to the fastest.
		spread float64
	}{
		{"one", [][]endpoint.SpeedReport{with(0.4, 60, 0)}, 2.5},
		{"too few observations", [][]endpoint.SpeedReport{with(0.4, 4, 0), with(0.4, 3, 0)}, 1},
		{"enough together", [][]endpoint.SpeedReport{with(0.4, 4, 0), with(0.4, 4, 0)}, 2.5},
		{"most observations agree", [][]endpoint.SpeedReport{with(0.4, 60, 0), with(1, 8, 0)}, 2.5},
		{"observations disagree", [][]endpoint.SpeedReport{with(0.4, 60, 0), with(1, 60, 0)}, 1},
		{"old ones agree", [][]endpoint.SpeedReport{with(0.4, 60, 25*time.Second), with(1, 30, 0)}, 1},
		{"old ones disagree", [][]endpoint.SpeedReport{with(0.4, 30, 0), with(1, 60, 25*time.Second)}, 2.5},
		{"one front of many", [][]endpoint.SpeedReport{with(10, 4_000_000_000, 0), with(1, 60, 0), with(1, 60, 0), with(1, 60, 0)}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newSpeedsFixture(3)
			f.hear(6*time.Second, test.reports...)
			require.InDelta(t, test.spread, f.SpeedSpread(), 0.01)
		})
	}
}

// TestAbsurdReportsChangeNothing guards against reports that no front can have sent in good order.
func TestAbsurdReportsChangeNothing(t *testing.T) {
	tests := []struct {
		name   string
		report endpoint.SpeedReport
		// unknown is set for a report that is valid, but of no endpoint that is known.
		unknown bool
	}{
		{name: "not a number", report: speedReport(0, math.NaN(), 60, 0)},
		{name: "infinite", report: speedReport(0, math.Inf(1), 60, 0)},
		{name: "negative infinite", report: speedReport(0, math.Inf(-1), 60, 0)},
		{name: "negative", report: speedReport(0, -1, 60, 0)},
		{name: "zero", report: speedReport(0, 0, 60, 0)},
		{name: "far too slow", report: speedReport(0, 1e6, 60, 0)},
		{name: "far too fast", report: speedReport(0, 1e-6, 60, 0)},
		{name: "no observations", report: speedReport(0, 0.4, 0, 0)},
		{name: "negative observations", report: speedReport(0, 0.4, -60, 0)},
		{name: "years old", report: speedReport(0, 0.4, 60, 5*365*24*time.Hour)},
		{name: "from the future", report: speedReport(0, 0.4, 60, -time.Hour)},
		{name: "of no endpoint", report: speedReport(77, 0.4, 60, 0), unknown: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newSpeedsFixture(3)
			invalid := f.ApplySpeeds("front-2", []endpoint.SpeedReport{test.report}, f.now)
			require.Equal(t, !test.unknown, invalid == 1)
			f.hear(6*time.Second, []endpoint.SpeedReport{test.report, speedReport(1, 1, 60, 0), speedReport(2, 1, 60, 0)})
			require.Equal(t, 1.0, f.SpeedSpread())
		})
	}
}

// TestReportOfUnknownIncarnation guards against the speed of an earlier incarnation where the start time
// of endpoints is unknown.
func TestReportOfUnknownIncarnation(t *testing.T) {
	for _, test := range []struct {
		name   string
		age    time.Duration
		spread float64
	}{{"since its registration", time.Second, 2.5}, {"before its registration", 20 * time.Second, 1}} {
		t.Run(test.name, func(t *testing.T) {
			f := newSpeedsFixture(0)
			for i := range 3 {
				f.register(i, 0)
			}
			f.now = f.now.Add(2 * time.Second)
			var reports []endpoint.SpeedReport
			for i, ratio := range []float64{0.4, 1, 1} {
				r := speedReport(i, ratio, 60, test.age)
				r.StartedUnixMS = 0
				reports = append(reports, r)
			}
			f.hear(6*time.Second, reports)
			require.InDelta(t, test.spread, f.SpeedSpread(), 0.01)
		})
	}
}

// TestOwnReportsAreValid guards against a ratio at its bound that other fronts refuse because of rounding.
func TestOwnReportsAreValid(t *testing.T) {
	for _, ratio := range []float64{1e-3, 0.1, 1, 10, 1e3} {
		f := newSpeedsFixture(3)
		f.observe(t, 10*time.Second, func(i int) time.Duration {
			if i == 0 {
				return time.Duration(ratio * float64(2*time.Millisecond))
			}
			return 2 * time.Millisecond
		})
		reports := f.Speeds(f.now)
		require.Len(t, reports, 3)
		for _, r := range reports {
			require.True(t, r.Valid(), "%v", r)
		}
	}
}
