package bench

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/class"
)

var (
	seedFlag   = flag.Uint64("seed", 1, "first seed")
	seedsFlag  = flag.Int("seeds", 2, "number of seeds")
	policyFlag = flag.String("policy", "current", "policies to compare: all, parts, or a comma-separated list of names")
	reportFlag = flag.String("report", "", "directory to write JSON results, tables and plots to")
)

func workloads() []*workload { return []*workload{omuti(), cernavoda()} }

// simulateParallel runs n simulations, up to eight at a time, and returns their
// results in the order of their indices.
func simulateParallel(n int, simulateOne func(i int) *result) []*result {
	results := make([]*result, n)
	slots := make(chan struct{}, 8)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			results[i] = simulateOne(i)
			<-slots
		})
	}
	wg.Wait()
	return results
}

// BenchmarkOmuti runs the omuti workload in every scenario.
func BenchmarkOmuti(b *testing.B) { benchmarkWorkload(b, omuti()) }

// BenchmarkCernavoda runs the cernavoda workload in every scenario.
func BenchmarkCernavoda(b *testing.B) { benchmarkWorkload(b, cernavoda()) }

func benchmarkWorkload(b *testing.B, w *workload) {
	selected, err := policiesByName(*policyFlag)
	require.NoError(b, err)
	for _, s := range scenarios() {
		b.Run(s.name, func(b *testing.B) {
			var results []*result
			for b.Loop() {
				results = results[:0]
				for _, p := range selected {
					results = append(results, simulate(w, s, p, *seedFlag))
				}
			}
			reportResults(b, w.name+"-"+s.name, results)
		})
	}
}

// reportResults reports the main metrics of results, prints them as a table and
// writes them to the directory of -report.
func reportResults(b *testing.B, name string, results []*result) {
	for _, r := range results {
		urgent := &r.byRank[class.Urgent]
		policyName := strings.ReplaceAll(r.policy.name, " ", "-")
		b.ReportMetric(100*urgent.metFraction(), policyName+"-urgent-met-%")
		b.ReportMetric(urgent.quantile(0.95).Seconds(), policyName+"-urgent-p95-s")
		b.ReportMetric(r.goodput(), policyName+"-goodput")
	}
	require.NoError(b, writeTable(os.Stdout, results))
	if *reportFlag != "" {
		require.NoError(b, writeReport(*reportFlag, name, results))
	}
}

// requirement is a condition that the current policy must meet in a scenario.
type requirement struct {
	scenario string
	name     string
	check    func(t *testing.T, r *comparison)
}

// comparison holds the results for one workload and seed that requirements
// compare.
type comparison struct {
	// current is the result of the current policy in the scenario under test, and
	// calm its result in the scenario of that name.
	current *result
	calm    *result
	// baseline, leastLoaded and previous are the results of the other policies in
	// the scenario load-90; baseline is that of fifoPolicy.
	baseline    *result
	leastLoaded *result
	previous    *result
}

// requirements returns the requirements that TestRequirements checks.
func requirements() []requirement {
	metAtLeast := func(minFraction float64) func(t *testing.T, r *comparison) {
		return func(t *testing.T, r *comparison) {
			require.GreaterOrEqual(t, r.current.byRank[class.Urgent].metFraction(), minFraction)
		}
	}
	return []requirement{
		{scenario: "calm", name: "urgent programs meet their target", check: metAtLeast(0.99)},
		{scenario: "load-90", name: "urgent programs meet their target", check: metAtLeast(0.99)},
		{scenario: "flood-low", name: "urgent programs meet their target", check: metAtLeast(0.99)},
		{scenario: "drain", name: "urgent programs meet their target", check: metAtLeast(0.99)},
		{scenario: "slow", name: "urgent programs meet their target", check: metAtLeast(0.95)},
		{scenario: "flood-low", name: "urgent p95 stays within 1.2 of calm", check: func(t *testing.T, r *comparison) {
			calm := r.calm.byRank[class.Urgent].quantile(0.95)
			require.LessOrEqual(t, r.current.byRank[class.Urgent].quantile(0.95).Seconds(), 1.2*calm.Seconds())
		}},
		{scenario: "flood-low", name: "admitted background programs finish", check: func(t *testing.T, r *comparison) {
			require.GreaterOrEqual(t, r.current.byRank[class.Background].finishedFraction(), 0.95)
		}},
		{scenario: "flood-low", name: "goodput is at least 0.9 of capacity", check: func(t *testing.T, r *comparison) {
			require.GreaterOrEqual(t, r.current.goodput(), 0.9)
		}},
		{scenario: "flood-high", name: "background work keeps its floor", check: func(t *testing.T, r *comparison) {
			wantedGoodput := min(r.current.backgroundFloor, r.calm.rankGoodput(class.Background))
			require.GreaterOrEqual(t, r.current.rankGoodput(class.Background), 0.95*wantedGoodput)
		}},
		{scenario: "calm", name: "prefilled tokens stay within 1.1 of fresh ones", check: func(t *testing.T, r *comparison) {
			require.LessOrEqual(t, r.current.prefillRatio(), 1.1)
		}},
		{scenario: "load-90", name: "prefill ratio is half of the least-loaded policy's", check: func(t *testing.T, r *comparison) {
			require.LessOrEqual(t, r.current.prefillRatio(), r.leastLoaded.prefillRatio()/2)
		}},
		{scenario: "load-90", name: "latency is half of the baseline's", check: func(t *testing.T, r *comparison) {
			require.LessOrEqual(t, 2*r.current.allRanks().mean().Seconds(), r.baseline.allRanks().mean().Seconds())
			require.LessOrEqual(t, 2*r.current.allRanks().quantile(0.95).Seconds(), r.baseline.allRanks().quantile(0.95).Seconds())
		}},
		{scenario: "load-90", name: "latency is not worse than the previous version's", check: func(t *testing.T, r *comparison) {
			require.LessOrEqual(t, r.current.allRanks().mean().Seconds(), 1.05*r.previous.allRanks().mean().Seconds())
			require.LessOrEqual(t, r.current.allRanks().quantile(0.95).Seconds(), 1.05*r.previous.allRanks().quantile(0.95).Seconds())
		}},
	}
}

// TestRequirements checks all requirements with both workloads. -seeds sets the
// number of seeds; 20 is the full check.
func TestRequirements(t *testing.T) {
	require.Positive(t, *seedsFlag, "no seed, nothing to check")
	for _, w := range workloads() {
		for i := range *seedsFlag {
			seed := *seedFlag + uint64(i)
			t.Run(fmt.Sprintf("%s/seed-%d", w.name, seed), func(t *testing.T) { checkRequirements(t, w, seed) })
		}
	}
}

// checkRequirements runs all scenarios with one workload and seed and checks the
// requirements.
func checkRequirements(t *testing.T, w *workload, seed uint64) {
	scenarioList := scenarios()
	load90 := scenarioByName("load-90")
	baselines := []policy{fifoPolicy(), leastLoadedPolicy(), previousPolicy()}
	results := simulateParallel(len(scenarioList)+len(baselines), func(i int) *result {
		if i < len(scenarioList) {
			return simulate(w, scenarioList[i], currentPolicy(), seed)
		}
		return simulate(w, load90, baselines[i-len(scenarioList)], seed)
	})
	compared := &comparison{calm: results[0], baseline: results[len(scenarioList)], leastLoaded: results[len(scenarioList)+1], previous: results[len(scenarioList)+2]}
	for _, req := range requirements() {
		t.Run(req.scenario+"/"+req.name, func(t *testing.T) {
			for i, s := range scenarioList {
				if s.name == req.scenario {
					compared.current = results[i]
				}
			}
			req.check(t, compared)
		})
	}
}

// TestRefusalAsksFewEndpoints checks that placement asks a bounded number of
// endpoints for each program in a flood, and does not try the whole fleet before
// it refuses one.
func TestRefusalAsksFewEndpoints(t *testing.T) {
	r := simulate(omuti(), scenarioByName("flood-low"), currentPolicy(), 1)
	refused := r.allRanks().refused
	require.Positive(t, refused)
	require.LessOrEqual(t, r.admissionRequests, int64(maxStartAttempts*(refused+r.totalAdmitted)), "placement asked more endpoints than maxStartAttempts allows")
}
