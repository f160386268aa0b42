package bench

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkParts compares the current policy with variants that each have one part
// disabled (an ablation study). docs/DECISIONS.md contains its table.
func BenchmarkParts(b *testing.B) {
	policyList := append([]policy{currentPolicy()}, ablations()...)
	for _, w := range workloads() {
		for _, scenarioName := range []string{"load-90", "flood-low", "flood-high", "slow"} {
			b.Run(w.name+"/"+scenarioName, func(b *testing.B) {
				var results []*result
				for b.Loop() {
					results = simulateParallel(len(policyList), func(i int) *result { return simulate(w, scenarioByName(scenarioName), policyList[i], *seedFlag) })
				}
				require.NoError(b, writeTable(os.Stdout, results))
			})
		}
	}
}
