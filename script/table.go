package script

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// RankFunc returns the name of the rank of a class.
type RankFunc func(class string) string

// Print writes the report to w as a table with one line per step, followed by a summary.
func (r *Report) Print(w io.Writer, rank RankFunc) error {
	fmt.Fprintf(w, "program %s\n\n", r.ProgramID)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "STEP\tACTION\tCLASS\tRANK\tENDPOINT\tQUEUE\tFIRST TOKEN\tTOTAL\tCACHED\tRECOMPUTED\tBUDGET LEFT\tOUTCOME")
	for _, result := range r.Results {
		fmt.Fprintf(t, "%s%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			strings.Repeat("  ", result.Depth), result.StepName, result.Action, result.Class, rank(result.Class), dashIfEmpty(result.Endpoint),
			formatMillis(result.Timing.Queue), formatMillis(result.Timing.FirstToken), formatMillis(result.Timing.Total),
			result.tokens(result.Usage.CachedTokens()), result.tokens(result.Usage.PromptTokens()-result.Usage.CachedTokens()), result.BudgetLeft, result.outcome())
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return r.printSummary(w)
}

// printSummary writes the error or the totals of the script.
func (r *Report) printSummary(w io.Writer) error {
	if r.Err != nil {
		_, err := fmt.Fprintf(w, "\nfailed: %v\n", r.Err)
		return err
	}
	target := "target met"
	if !r.Summary.TargetMet {
		target = "target missed"
	}
	_, err := fmt.Fprintf(w, "\nfinished in %s, %d tokens spent, %s\n", r.Summary.Latency.Round(time.Millisecond), r.Summary.SpentTokens, target)
	return err
}

// Passed reports whether the script succeeded within the target of its class.
func (r *Report) Passed() bool { return r.Err == nil && r.Summary.TargetMet }

// outcome returns the text of the OUTCOME column.
func (r StepResult) outcome() string {
	if r.Err != nil {
		return r.Err.Error()
	}
	if r.Action == Pause {
		return "waited"
	}
	return "ran"
}

// tokens formats a token count, which only a model call has.
func (r StepResult) tokens(n int64) string {
	if r.Action != Ask {
		return "-"
	}
	return fmt.Sprint(n)
}

// formatMillis formats a duration in milliseconds, and 0 as "-".
func formatMillis(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fms", float64(d.Microseconds())/1000)
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
