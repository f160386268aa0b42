package memory_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/memory"
)

// budgetStep is one call for a connection of a budget.
type budgetStep struct {
	connection int
	// call is "open", "grow", "begin", "wait", "shrink" or "close".
	call  string
	bytes int64
	kind  memory.Kind
	// refused is set if "open" finds no room.
	refused bool
	// evicted are the connections that the call closes, in order.
	evicted []int
}

// TestConnectionsThatWaitLongestAreClosed guards against a budget that is exceeded by connections and
// heads, that ends requests in progress, or that shuts out new callers for the sake of connections
// that send nothing. Its load is a crowd of connections with half heads or none.
func TestConnectionsThatWaitLongestAreClosed(t *testing.T) {
	tests := []struct {
		name  string
		steps []budgetStep
		used  int64
	}{
		{name: "new connections close old ones", used: 100, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 1, call: "open"}, {connection: 0, call: "grow", bytes: 80},
			{connection: 2, call: "open", evicted: []int{0}}, {connection: 1, call: "grow", bytes: 80}, {connection: 0, call: "grow", bytes: 1, kind: memory.KindEvicted},
		}},
		{name: "a request in progress is not closed", used: 100, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 0, call: "begin", bytes: 80}, {connection: 0, call: "grow", bytes: 5}, {connection: 1, call: "open", refused: true}, {connection: 0, call: "grow", bytes: 5},
		}},
		{name: "requests leave room for connections to be refused", used: 100, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 0, call: "begin", bytes: 80}, {connection: 1, call: "open"},
			{connection: 1, call: "begin", bytes: 1, kind: memory.KindExhausted}, {connection: 2, call: "open", evicted: []int{1}},
		}},
		{name: "connections between requests are closed", used: 100, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 0, call: "begin", bytes: 50}, {connection: 1, call: "open"}, {connection: 0, call: "wait"},
			{connection: 2, call: "open"}, {connection: 2, call: "begin", bytes: 80, evicted: []int{1, 0}},
			{connection: 3, call: "open"},
		}},
		{name: "the one that has waited longest does not grow", used: 100, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 1, call: "open"}, {connection: 1, call: "grow", bytes: 80},
			{connection: 0, call: "grow", bytes: 1, kind: memory.KindExhausted},
		}},
		{name: "a whole request goes before half ones", used: 11, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 1, call: "open"}, {connection: 1, call: "grow", bytes: 80},
			{connection: 0, call: "begin", bytes: 1, evicted: []int{1}},
		}},
		{name: "a head that begins waits anew", used: 100, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 1, call: "open"}, {connection: 0, call: "wait"}, {connection: 0, call: "grow", bytes: 90, evicted: []int{1}},
		}},
		{name: "what never fits closes nobody", used: 20, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 1, call: "open"}, {connection: 1, call: "begin", bytes: 91, kind: memory.KindExhausted},
		}},
		{name: "what is given back is free", used: 85, steps: []budgetStep{
			{connection: 0, call: "open"}, {connection: 0, call: "begin", bytes: 80}, {connection: 0, call: "shrink", bytes: 75}, {connection: 1, call: "open"}, {connection: 1, call: "begin", bytes: 65},
			{connection: 0, call: "close"}, {connection: 2, call: "open"},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := memory.NewBudget(memory.BudgetConfig{CapacityBytes: 100, ConnectionBytes: 10})
			shares := map[int]*memory.Share{}
			var evicted []int
			for n, step := range test.steps {
				evicted = nil
				var err error
				share := shares[step.connection]
				switch step.call {
				case "open":
					shares[step.connection] = budget.Open(func() { evicted = append(evicted, step.connection) })
					require.Equal(t, step.refused, shares[step.connection] == nil)
				case "grow":
					err = share.Grow(step.bytes)
				case "begin":
					err = share.Begin(step.bytes)
				case "wait":
					share.Wait()
				case "shrink":
					share.Shrink(step.bytes)
				case "close":
					share.Close()
				}
				require.Equal(t, step.kind, memory.KindOf(err), "step %d: %v", n, err)
				require.Equal(t, step.evicted, evicted, "step %d", n)
				require.LessOrEqual(t, budget.UsedBytes(), int64(100), "step %d", n)
			}
			require.Equal(t, test.used, budget.UsedBytes())
			for _, share := range shares {
				share.Close()
				share.Close()
			}
			require.Zero(t, budget.UsedBytes())
			require.Zero(t, budget.Connections())
		})
	}
}

// TestLargeRequestsLeaveRoomForOrdinaryOnes guards against a few requests with very many header lines,
// held by a slow endpoint, that use up the budget so that no ordinary request is served.
func TestLargeRequestsLeaveRoomForOrdinaryOnes(t *testing.T) {
	const capacity = 16 << 20
	budget := memory.NewBudget(memory.BudgetConfig{CapacityBytes: capacity, ConnectionBytes: 16 << 10})
	large := 0
	for range 100 {
		share := budget.Open(func() {})
		require.NotNil(t, share)
		if share.Begin(2<<20) == nil {
			large++
		}
	}
	require.Equal(t, 5, large)
	for range 60 {
		share := budget.Open(func() {})
		require.NotNil(t, share)
		require.NoError(t, share.Begin(16<<10))
	}
}

func TestNoBudgetHasNoLimit(t *testing.T) {
	var none *memory.Budget
	for _, share := range []*memory.Share{nil, none.Open(func() {}), memory.NewBudget(memory.BudgetConfig{}).Open(func() {})} {
		require.NoError(t, share.Grow(1<<40))
		require.NoError(t, share.Begin(1<<40))
		share.Wait()
		share.Shrink(1)
		share.Close()
	}
}

// TestOpenWaitsForEvictedConnections guards against a crowd whose evicted connections still hold memory,
// uncounted, while as many new ones are opened.
func TestOpenWaitsForEvictedConnections(t *testing.T) {
	budget := memory.NewBudget(memory.BudgetConfig{CapacityBytes: 10, ConnectionBytes: 10})
	evicted := make(chan *memory.Share, 1000)
	var wg sync.WaitGroup
	var shares []*memory.Share
	wg.Go(func() {
		for n := range 500 {
			shares = append(shares, budget.Open(func() { evicted <- shares[n] }))
		}
	})
	for range 499 {
		share := <-evicted
		require.Less(t, len(evicted), 70)
		share.Close()
	}
	wg.Wait()
	require.Equal(t, 1, budget.Connections())
	require.False(t, slices.Contains(shares, nil))
}

// TestConcurrentConnectionsStayWithinTheBudget plays connections that grow, serve, wait, are evicted
// and close at the same time.
func TestConcurrentConnectionsStayWithinTheBudget(t *testing.T) {
	const capacity = 1000
	budget := memory.NewBudget(memory.BudgetConfig{CapacityBytes: capacity, ConnectionBytes: 100})
	var wg sync.WaitGroup
	for n := range uint64(12) {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(2, n))
			for range 500 {
				share := budget.Open(func() {})
				for range random.IntN(20) {
					if share == nil || memory.KindOf(share.Grow(random.Int64N(50))) == memory.KindEvicted {
						break
					}
					if share.Begin(random.Int64N(200)) == nil {
						share.Shrink(random.Int64N(100))
						share.Wait()
					}
					if used := budget.UsedBytes(); used < 0 || used > capacity {
						t.Errorf("%d bytes of %d are used", used, capacity)
					}
				}
				share.Close()
			}
		})
	}
	wg.Wait()
	require.Zero(t, budget.UsedBytes())
	require.Zero(t, budget.Connections())
}
