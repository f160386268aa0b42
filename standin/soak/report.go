package soak

import (
	"fmt"
	"strings"
)

// Report returns a table of runs in Markdown.
func Report(results []Result) string {
	var out strings.Builder
	out.WriteString("| seed | faults | answers | served | broken |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range results {
		all, served := 0, 0
		for name, count := range r.counts {
			all += count
			if strings.HasSuffix(name, " 200") {
				served += count
			}
		}
		rules := map[string]int{}
		for _, v := range r.violations {
			rules[v.rule]++
		}
		fmt.Fprintf(&out, "| %d | %d | %d | %d | %s |\n", r.seed, r.faults, all, served, summary(rules))
	}
	return out.String()
}
