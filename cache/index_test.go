package cache_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/cache"
	"github.com/lavendervale/lavendervale/program"
)

var (
	start      = time.Unix(1000, 0)
	programOne = program.NewID("c", "one")
	programTwo = program.NewID("c", "two")
)

// TestExpectedCachedTokens checks the tokens that the index expects to be cached after calls.
func TestExpectedCachedTokens(t *testing.T) {
	tests := []struct {
		name       string
		apply      func(index *cache.Index)
		wantCached int64
		wantTotal  int64
	}{
		{name: "no calls", apply: func(*cache.Index) {}},
		{name: "a running call", apply: func(index *cache.Index) { index.StartCall(programOne, 100) }, wantCached: 100, wantTotal: 100},
		{name: "a finished call", apply: func(index *cache.Index) { index.StartCall(programOne, 100); index.FinishCall(programOne, 90, start) }, wantCached: 90, wantTotal: 90},
		{name: "fewer cached than expected", apply: func(index *cache.Index) { index.FinishCall(programOne, 90, start); index.LowerTo(programOne, 20) }, wantCached: 20, wantTotal: 20},
		{name: "more cached than expected", apply: func(index *cache.Index) { index.FinishCall(programOne, 90, start); index.LowerTo(programOne, 200) }, wantCached: 90, wantTotal: 90},
		{name: "a removed program", apply: func(index *cache.Index) {
			index.FinishCall(programOne, 90, start)
			index.FinishCall(programTwo, 5, start)
			index.Remove(programOne)
			index.Remove(programOne)
		}, wantTotal: 5},
		{name: "a longer running call", apply: func(index *cache.Index) { index.FinishCall(programOne, 90, start); index.StartCall(programOne, 120) }, wantCached: 120, wantTotal: 120},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			index := cache.New()
			test.apply(index)
			require.Equal(t, test.wantCached, index.CachedTokens(programOne))
			require.Equal(t, test.wantTotal, index.TotalTokens())
		})
	}
}

func TestIdleCachesExpire(t *testing.T) {
	index := cache.New()
	index.FinishCall(programOne, 90, start)
	index.StartCall(programTwo, 10)
	require.Empty(t, index.Expire(start.Add(9*time.Minute)))
	require.Empty(t, index.Expire(start.Add(9*time.Minute+time.Second)), "searches at most once an interval")
	require.Equal(t, []program.ID{programOne}, index.Expire(start.Add(11*time.Minute)), "a running call keeps its cache")
	index.MarkIdle(programTwo, start.Add(11*time.Minute))
	require.Equal(t, []program.ID{programTwo}, index.Expire(start.Add(22*time.Minute)))
	require.Zero(t, index.TotalTokens())
}
