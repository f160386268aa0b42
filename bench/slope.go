package bench

import (
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// costSeries holds the measured cost of something for several sizes of one
// variable.
type costSeries struct {
	name     string
	variable string
	// unit is the unit of the costs.
	unit  string
	sizes []float64
	// costs holds the cost at each of the sizes.
	costs []float64
}

// fit returns the slope and intercept of the least-squares line through the
// series, and its coefficient of determination.
func (s *costSeries) fit() (slope, intercept, r2 float64) {
	n := float64(len(s.sizes))
	var sumX, sumY, sumXX, sumXY float64
	for i := range s.sizes {
		sumX += s.sizes[i]
		sumY += s.costs[i]
		sumXX += s.sizes[i] * s.sizes[i]
		sumXY += s.sizes[i] * s.costs[i]
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	intercept = (sumY - slope*sumX) / n
	var residual, total float64
	for i := range s.sizes {
		residual += math.Pow(s.costs[i]-slope*s.sizes[i]-intercept, 2)
		total += math.Pow(s.costs[i]-sumY/n, 2)
	}
	if total == 0 {
		return slope, intercept, 1
	}
	return slope, intercept, 1 - residual/total
}

// writeSlopes writes the fitted line of each series as a Markdown table.
func writeSlopes(w io.Writer, series []*costSeries) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| what\t| per\t| slope\t| intercept\t| fit R²\t| sizes\t|")
	fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, s := range series {
		slope, intercept, r2 := s.fit()
		fmt.Fprintf(t, "| %s\t| %s\t| %s %s\t| %s %s\t| %.4f\t| %v\t|\n", s.name, s.variable, formatNumber(slope), s.unit, formatNumber(intercept), s.unit, r2, s.sizes)
	}
	return t.Flush()
}

// formatNumber formats large numbers as integers and others with three
// significant digits.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// writeSlopeReport writes slopes.md with the table and a plot of each series to
// dir, which it creates if needed.
func writeSlopeReport(dir string, series []*costSeries) error {
	if err := os.MkdirAll(dir, reportDirMode); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "slopes.md"))
	if err != nil {
		return err
	}
	defer f.Close()
	if err := writeSlopes(f, series); err != nil {
		return err
	}
	for i, s := range series {
		if err := s.plot(filepath.Join(dir, fmt.Sprintf("slope-%d.svg", i+1))); err != nil {
			return err
		}
	}
	return nil
}

// plot writes a plot of the series to path.
func (s *costSeries) plot(path string) error {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = s.variable
	p.Y.Label.Text = s.unit
	points := make(plotter.XYs, len(s.sizes))
	for i := range s.sizes {
		points[i].X = s.sizes[i]
		points[i].Y = s.costs[i]
	}
	if err := plotutil.AddLinePoints(p, points); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
