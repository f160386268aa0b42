package bench

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkSubset compares placement on all of 60 endpoints with placement by
// entries that each know only a subset of 24, 12 or 6 endpoints.
func BenchmarkSubset(b *testing.B) {
	w := omuti()
	w.engines = 60
	policyList := []policy{currentPolicy()}
	for _, entryCount := range []int{5, 10, 20} {
		p := currentPolicy()
		p.entryCount = entryCount
		p.name = map[int]string{5: "subsets of 24", 10: "subsets of 12", 20: "subsets of 6"}[entryCount]
		policyList = append(policyList, p)
	}
	for _, scenarioName := range []string{"load-90", "slow"} {
		b.Run(scenarioName, func(b *testing.B) {
			var results []*result
			for b.Loop() {
				results = simulateParallel(len(policyList), func(i int) *result { return simulate(w, scenarioByName(scenarioName), policyList[i], *seedFlag) })
			}
			require.NoError(b, writeTable(os.Stdout, results))
		})
	}
}
