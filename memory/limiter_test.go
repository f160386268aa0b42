package memory_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/memory"
)

func TestLargestReservationIsEvicted(t *testing.T) {
	tests := []struct {
		name string
		// held are the sizes of the reservations before the last one asks.
		held []int64
		// fixed are those of them that can't be evicted.
		fixed map[int]bool
		asked int64
		kind  memory.Kind
		// evicted is the one that is evicted, or -1.
		evicted int
		used    int64
	}{
		{name: "fits", held: []int64{40, 50, 0}, asked: 10, evicted: -1, used: 100},
		{name: "another holds most", held: []int64{60, 40, 0}, asked: 10, evicted: 0, used: 50},
		{name: "the asking one holds most", held: []int64{20, 30, 50}, asked: 10, kind: memory.KindExhausted, evicted: -1, used: 100},
		{name: "the asking one would hold most", held: []int64{50, 0, 45}, asked: 10, kind: memory.KindExhausted, evicted: -1, used: 95},
		{name: "that holds most can't be evicted", held: []int64{60, 40, 0}, fixed: map[int]bool{0: true}, asked: 10, evicted: 1, used: 70},
		{name: "more than the capacity", held: []int64{0, 0, 0}, asked: 101, kind: memory.KindExhausted, evicted: -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			limiter := memory.New(memory.Config{CapacityBytes: 100})
			var reservations []*memory.Reservation
			evicted := make(chan int, len(test.held))
			for i, bytes := range test.held {
				r := limiter.Open()
				if !test.fixed[i] {
					r.OnEvict(func() { evicted <- i })
				}
				require.NoError(t, r.Grow(bytes))
				reservations = append(reservations, r)
			}
			last := reservations[len(reservations)-1]
			err := last.Grow(test.asked)
			require.Equal(t, test.kind, memory.KindOf(err), "%v", err)
			require.Equal(t, test.used, limiter.UsedBytes())
			if test.evicted >= 0 {
				require.Equal(t, test.evicted, <-evicted)
				require.Equal(t, memory.KindEvicted, memory.KindOf(reservations[test.evicted].Grow(1)))
				require.False(t, reservations[test.evicted].TryGrow(1))
			}
			for _, r := range reservations {
				r.Close()
				r.Close()
				require.NoError(t, closedError(r.Grow(1)))
			}
			require.Zero(t, limiter.UsedBytes())
			require.Empty(t, evicted)
		})
	}
}

// closedError leaves out the error of a reservation that was evicted before it was closed.
func closedError(err error) error {
	if memory.KindOf(err) == memory.KindEvicted {
		return nil
	}
	return err
}

func TestTryGrowEvictsNothing(t *testing.T) {
	limiter := memory.New(memory.Config{CapacityBytes: 100})
	large, small := limiter.Open(), limiter.Open()
	large.OnEvict(func() { t.Error("evicted") })
	require.True(t, large.TryGrow(95))
	require.False(t, small.TryGrow(10))
	require.True(t, small.TryGrow(5))
	large.Shrink(45)
	require.True(t, small.TryGrow(45))
	require.Equal(t, int64(100), limiter.UsedBytes())
}

func TestNoReservationHasNoLimit(t *testing.T) {
	var none *memory.Reservation
	none.OnEvict(func() {})
	require.NoError(t, none.Grow(1<<40))
	require.True(t, none.TryGrow(1<<40))
	none.Shrink(1)
	none.Close()
	require.NoError(t, memory.New(memory.Config{}).Open().Grow(1<<40))
}

// TestConcurrentReservationsStayWithinTheCapacity plays requests that grow, shrink, are evicted and
// end at the same time.
func TestConcurrentReservationsStayWithinTheCapacity(t *testing.T) {
	const capacity = 1000
	limiter := memory.New(memory.Config{CapacityBytes: capacity})
	var wg sync.WaitGroup
	for n := range uint64(8) {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, n))
			for range 500 {
				r := limiter.Open()
				evicted := make(chan struct{})
				r.OnEvict(func() { close(evicted) })
				for range random.IntN(20) {
					if err := r.Grow(random.Int64N(200)); memory.KindOf(err) == memory.KindEvicted {
						<-evicted
						break
					}
					if random.IntN(3) == 0 {
						r.Shrink(random.Int64N(100))
					}
					if used := limiter.UsedBytes(); used < 0 || used > capacity {
						t.Errorf("%d bytes of %d are used", used, capacity)
					}
				}
				r.Close()
			}
		})
	}
	wg.Wait()
	require.Zero(t, limiter.UsedBytes())
}
