package placement

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/lavendervale/lavendervale/class"
)

const (
	// maxCandidates is the number of endpoints compared for one choice.
	maxCandidates = 4
	// maxLoadAge is the age beyond which a reported load counts as stale.
	maxLoadAge = 3 * time.Second
	// defaultPrefillRate stands in for an unknown prefill rate, in tokens per second.
	defaultPrefillRate = 10_000
)

// Table holds the latest loads of endpoints and the work placed at them since. It is
// not safe for concurrent use; its owner serializes access.
type Table struct {
	// rows is keyed by the name of the endpoint.
	rows map[string]*row
}

// row is the state of one endpoint in a table.
type row struct {
	load       Load
	reportedAt time.Time
	// placedService is the expected service placed since the report, by rank.
	placedService [class.Ranks]time.Duration
	// placedCalls counts the placements since the report.
	placedCalls int
}

// Request describes a program or call to be placed.
type Request struct {
	// Rank is the rank of the program.
	Rank class.Rank
	// ExpectedService is the slot time that the program is expected to need.
	ExpectedService time.Duration
	// PromptTokens counts the tokens of the next prompt.
	PromptTokens int64
	// CachedTokens returns how many of the prompt tokens an endpoint's engine holds;
	// nil means none.
	CachedTokens func(endpoint string) int64
}

// NewTable returns a table without loads.
func NewTable() *Table { return &Table{rows: map[string]*row{}} }

// Update stores the load that an endpoint reported. The work placed before is assumed
// to be part of it.
func (t *Table) Update(endpoint string, load Load, now time.Time) {
	t.rows[endpoint] = &row{load: load, reportedAt: now}
}

// Remove forgets the load of an endpoint.
func (t *Table) Remove(endpoint string) { delete(t.rows, endpoint) }

// RecordPlacement adds work sent to an endpoint to its load until its next report.
func (t *Table) RecordPlacement(endpoint string, rank class.Rank, service time.Duration) {
	if r, ok := t.rows[endpoint]; ok {
		r.placedService[rank] += service
		r.placedCalls++
	}
}

// Choose returns the endpoint with the earliest predicted completion among a random
// sample (the power of d choices, after Mitzenmacher). Endpoints whose load is stale or
// unknown are considered only when there are no others. Choose returns false when
// endpoints is empty.
func (t *Table) Choose(endpoints []string, request Request, now time.Time, random *rand.Rand) (string, bool) {
	if len(endpoints) == 0 {
		return "", false
	}
	candidates := t.withFreshLoad(endpoints, now)
	if len(candidates) == 0 {
		candidates = endpoints
	}
	sample := sampleEndpoints(candidates, random)
	medianRate := t.medianDecodeRate(sample)
	best, bestSeconds := "", 0.0
	for _, endpoint := range sample {
		if seconds := t.predictSeconds(endpoint, request, medianRate); best == "" || seconds < bestSeconds {
			best, bestSeconds = endpoint, seconds
		}
	}
	return best, true
}

// withFreshLoad returns the endpoints whose load is at most maxLoadAge old.
func (t *Table) withFreshLoad(endpoints []string, now time.Time) []string {
	fresh := make([]string, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if r, ok := t.rows[endpoint]; ok && now.Sub(r.reportedAt) <= maxLoadAge {
			fresh = append(fresh, endpoint)
		}
	}
	return fresh
}

// sampleEndpoints returns up to maxCandidates different endpoints. The names must be
// distinct, or it would not return.
func sampleEndpoints(endpoints []string, random *rand.Rand) []string {
	if len(endpoints) <= maxCandidates {
		return endpoints
	}
	sample := make([]string, 0, maxCandidates)
	for len(sample) < maxCandidates {
		endpoint := endpoints[random.IntN(len(endpoints))]
		if !contains(sample, endpoint) {
			sample = append(sample, endpoint)
		}
	}
	return sample
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// medianDecodeRate returns the median of the known decode rates of endpoints, 0 when
// none is known.
func (t *Table) medianDecodeRate(endpoints []string) float64 {
	rates := make([]float64, 0, len(endpoints))
	for _, endpoint := range endpoints {
		if r, ok := t.rows[endpoint]; ok && r.load.DecodeRate() > 0 {
			rates = append(rates, r.load.DecodeRate())
		}
	}
	if len(rates) == 0 {
		return 0
	}
	sort.Float64s(rates)
	return rates[len(rates)/2]
}

// predictSeconds returns the time until the request is expected to be done: the
// remaining service of its rank and more urgent ones, the processing of prompt tokens
// that are not cached, and its own service, each at the speed of the endpoint's engine.
// An endpoint without a load counts as idle.
func (t *Table) predictSeconds(endpoint string, request Request, medianRate float64) float64 {
	r, ok := t.rows[endpoint]
	if !ok {
		return request.ExpectedService.Seconds()
	}
	slots := float64(max(1, r.load.Limit()))
	var serviceAhead time.Duration
	for rank := class.Rank(0); rank <= request.Rank; rank++ {
		serviceAhead += r.load.RemainingService(rank) + r.placedService[rank]
	}
	slowdown := 1.0
	if rate := r.load.DecodeRate(); rate > 0 && medianRate > 0 {
		slowdown = medianRate / rate
	}
	return serviceAhead.Seconds()/slots*slowdown + t.queueingCost(r, request) + t.prefillSeconds(r, endpoint, request) + request.ExpectedService.Seconds()*slowdown
}

// queueingCost returns a small cost in seconds for calls that run or wait now, which
// decides between endpoints with the same remaining service.
func (t *Table) queueingCost(r *row, request Request) float64 {
	slots := float64(max(1, r.load.Limit()))
	calls := float64(r.load.Running()) + float64(r.placedCalls)
	for rank := class.Rank(0); rank <= request.Rank; rank++ {
		calls += float64(r.load.Waiting(rank))
	}
	return calls / slots
}

// prefillSeconds returns how long the engine takes to process the prompt tokens that it
// has not cached.
func (t *Table) prefillSeconds(r *row, endpoint string, request Request) float64 {
	rate := r.load.PrefillRate()
	if rate <= 0 {
		rate = defaultPrefillRate
	}
	cached := int64(0)
	if request.CachedTokens != nil {
		cached = request.CachedTokens(endpoint)
	}
	return float64(max(0, request.PromptTokens-cached)) / rate
}
