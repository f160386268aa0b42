package bench

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/lavendervale/lavendervale/class"
)

const (
	plotWidth      = 22 * vg.Centimeter
	plotHeight     = 12 * vg.Centimeter
	reportDirMode  = 0o755
	reportFileMode = 0o644
)

// resultRow is the JSON form of a result. Times are in seconds; shares and ratios
// are fractions, not percentages.
type resultRow struct {
	Workload           string  `json:"workload"`
	Scenario           string  `json:"scenario"`
	Policy             string  `json:"policy"`
	Seed               uint64  `json:"seed"`
	UrgentMet          float64 `json:"urgent_met"`
	UrgentP50          float64 `json:"urgent_p50_seconds"`
	UrgentP95          float64 `json:"urgent_p95_seconds"`
	Refused            int     `json:"refused"`
	BackgroundMet      float64 `json:"background_met"`
	BackgroundFinished float64 `json:"background_finished"`
	BackgroundP95      float64 `json:"background_p95_seconds"`
	BackgroundShare    float64 `json:"background_share"`
	MeanLatency        float64 `json:"mean_seconds"`
	P95Latency         float64 `json:"p95_seconds"`
	PrefillRatio       float64 `json:"recomputed_over_fresh"`
	Goodput            float64 `json:"goodput"`
}

func (r *result) resultRow() resultRow {
	urgent, background, total := &r.byRank[class.Urgent], &r.byRank[class.Background], r.allRanks()
	return resultRow{
		Workload: r.workload.name, Scenario: r.scenario.name, Policy: r.policy.name, Seed: r.seed,
		UrgentMet: urgent.metFraction(), UrgentP50: urgent.quantile(0.5).Seconds(), UrgentP95: urgent.quantile(0.95).Seconds(),
		Refused: total.refused, BackgroundMet: background.metFraction(), BackgroundFinished: background.finishedFraction(), BackgroundP95: background.quantile(0.95).Seconds(),
		BackgroundShare: r.workShare(class.Background), MeanLatency: total.mean().Seconds(), P95Latency: total.quantile(0.95).Seconds(),
		PrefillRatio: r.prefillRatio(), Goodput: r.goodput(),
	}
}

// writeReport writes results to name.json and a plot of urgent latencies to
// name.svg in dir, which it creates if needed.
func writeReport(dir, name string, results []*result) error {
	if err := os.MkdirAll(dir, reportDirMode); err != nil {
		return err
	}
	rows := make([]resultRow, 0, len(results))
	for _, r := range results {
		rows = append(rows, r.resultRow())
	}
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, name+".json"), data, reportFileMode); err != nil {
		return err
	}
	return plotLatencies(filepath.Join(dir, name+".svg"), name, results)
}

// plotLatencies plots the distribution of urgent program latencies, one line for
// each result.
func plotLatencies(path, title string, results []*result) error {
	p := plot.New()
	p.Title.Text = title + ": latency of urgent programs"
	p.X.Label.Text = "fraction of programs"
	p.Y.Label.Text = "seconds"
	var lines []any
	for _, r := range results {
		latencies := r.byRank[class.Urgent].latencies
		if len(latencies) == 0 {
			continue
		}
		points := make(plotter.XYs, len(latencies))
		for i, l := range latencies {
			points[i].X = float64(i+1) / float64(len(latencies))
			points[i].Y = l.Seconds()
		}
		lines = append(lines, fmt.Sprintf("%s (seed %d)", r.policy.name, r.seed), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
