package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/origin"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// TestLatestOriginOfAnAttemptHolds checks origins that arrive out of order.
func TestLatestOriginOfAnAttemptHolds(t *testing.T) {
	for _, sequences := range [][]uint32{{1, 2}, {2, 1}} {
		s := origin.NewStore()
		for _, n := range sequences {
			s.Put(origin.Origin{Attempt: "a", Service: "s", Version: fmt.Sprint("v", n), Sequence: n}, noon)
		}
		found, ok := s.Find("a")
		require.True(t, ok)
		require.Equal(t, "v2", found.Version)
	}
}

// TestOriginsExpire checks that origins are kept for as long as a stream may last, and no longer.
func TestOriginsExpire(t *testing.T) {
	s := origin.NewStore()
	s.Put(origin.Origin{Attempt: "a"}, noon)
	s.Put(origin.Origin{Attempt: "b"}, noon.Add(59*time.Second))
	_, ok := s.Find("a")
	require.True(t, ok)
	s.Put(origin.Origin{Attempt: "c"}, noon.Add(61*time.Second))
	_, ok = s.Find("a")
	require.False(t, ok)
	_, ok = s.Find("b")
	require.True(t, ok)
	s.Put(origin.Origin{Attempt: "c", Sequence: 1}, noon.Add(10*time.Minute))
}

// TestUncopiedOriginsAreTakenOnce checks what has to be copied when a second version appears.
func TestUncopiedOriginsAreTakenOnce(t *testing.T) {
	s := origin.NewStore()
	s.PutUncopied(origin.Origin{Attempt: "a", Service: "s", Version: "v1"}, noon)
	s.PutUncopied(origin.Origin{Attempt: "b", Service: "other", Version: "v1"}, noon)
	s.Put(origin.Origin{Attempt: "c", Service: "s", Version: "v1"}, noon)
	require.Equal(t, []origin.Origin{{Attempt: "a", Service: "s", Version: "v1"}}, s.TakeUncopied("s"))
	require.Empty(t, s.TakeUncopied("s"))
}
