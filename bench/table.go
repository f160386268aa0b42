package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/lavendervale/lavendervale/class"
)

// writeTable writes results as an aligned text table.
func writeTable(w io.Writer, results []*result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKLOAD\tSCENARIO\tPOLICY\tSEED\tURGENT MET\tREFUSED\tP50\tP95\tFIRST TOKEN P95\tBETWEEN P95\tBACKGROUND MET\tFINISHED\tREFUSED\tP50\tP95\tSHARE\tMEAN ALL\tWASTE\tTOKENS/S\tGOODPUT\tMOVES\tPREEMPTED")
	for _, r := range results {
		urgent, background := &r.byRank[class.Urgent], &r.byRank[class.Background]
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%.1f%%\t%d\t%s\t%s\t%s\t%s\t%.1f%%\t%.1f%%\t%d\t%s\t%s\t%.1f%%\t%s\t%.2f\t%.0f\t%.2f\t%d\t%d\n",
			r.workload.name, r.scenario.name, r.policy.name, r.seed, 100*urgent.metFraction(), urgent.refused, formatSeconds(urgent.quantile(0.5)), formatSeconds(urgent.quantile(0.95)),
			formatMilliseconds(quantile(urgent.firstTokenTimes, 0.95)), formatMilliseconds(quantile(urgent.tokenIntervals, 0.95)),
			100*background.metFraction(), 100*background.finishedFraction(), background.refused, formatSeconds(background.quantile(0.5)), formatSeconds(background.quantile(0.95)), 100*r.workShare(class.Background),
			formatSeconds(r.allRanks().mean()), r.prefillRatio(), r.outputTokensPerSecond(), r.goodput(), r.moves, r.preemptions)
	}
	return t.Flush()
}

func formatSeconds(d time.Duration) string { return fmt.Sprintf("%.1fs", d.Seconds()) }

func formatMilliseconds(d time.Duration) string { return fmt.Sprintf("%.0fms", 1000*d.Seconds()) }
