package fleettest

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/fleet"
)

// Log is the port that TestLog checks.
type Log interface {
	// Append adds data to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries from an offset on.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.Page, error)
}

// Subject is a log under test with what only its stand-in can do.
type Subject struct {
	// Log is what is tested.
	Log Log
	// Expire drops the entries of a stream before an offset.
	Expire func(stream string, before int64)
	// SetDown makes the log refuse everything, or not.
	SetDown func(down bool)
	// SetLossy makes appends take effect without an answer, or not.
	SetLossy func(lossy bool)
}

// TestLog runs a log through the contract; fresh returns an empty one.
func TestLog(t *testing.T, fresh func(t *testing.T) Subject) {
	tests := []struct {
		name string
		run  func(t *testing.T, s Subject)
	}{
		{name: "append gives growing offsets", run: testOffsets},
		{name: "read returns what was appended", run: testRead},
		{name: "streams are apart", run: testStreams},
		{name: "concurrent appends get offsets of their own", run: testConcurrent},
		{name: "expired entries are named so", run: testExpired},
		{name: "an outage is known to have had no effect", run: testOutage},
		{name: "a lost answer leaves the outcome unknown", run: testLostAnswer},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, fresh(t)) })
	}
}

func appendAll(t *testing.T, l Log, stream string, n int) {
	t.Helper()
	for i := range n {
		offset, err := l.Append(context.Background(), stream, fmt.Appendf(nil, "%s-%d", stream, i))
		require.NoError(t, err)
		require.EqualValues(t, i, offset)
	}
}

func testOffsets(t *testing.T, s Subject) { appendAll(t, s.Log, "a", 5) }

func testRead(t *testing.T, s Subject) {
	appendAll(t, s.Log, "a", 5)
	page, err := s.Log.Read(context.Background(), "a", 1, 3)
	require.NoError(t, err)
	require.EqualValues(t, 0, page.First())
	require.EqualValues(t, 5, page.Next())
	require.Len(t, page.Entries(), 3)
	for i, e := range page.Entries() {
		require.EqualValues(t, i+1, e.Offset())
		require.Equal(t, fmt.Sprintf("a-%d", i+1), string(e.Data()))
		require.False(t, e.Time().IsZero())
	}
	page, err = s.Log.Read(context.Background(), "a", 5, 3)
	require.NoError(t, err)
	require.Empty(t, page.Entries())
}

func testStreams(t *testing.T, s Subject) {
	appendAll(t, s.Log, "a", 2)
	appendAll(t, s.Log, "b", 1)
	page, err := s.Log.Read(context.Background(), "b", 0, 10)
	require.NoError(t, err)
	require.Len(t, page.Entries(), 1)
}

func testConcurrent(t *testing.T, s Subject) {
	const n = 20
	offsets := make([]int64, n)
	var work sync.WaitGroup
	for i := range n {
		work.Go(func() {
			offset, err := s.Log.Append(context.Background(), "a", []byte{byte(i)})
			if err == nil {
				offsets[i] = offset + 1
			}
		})
	}
	work.Wait()
	seen := map[int64]bool{}
	for _, o := range offsets {
		require.NotZero(t, o)
		require.False(t, seen[o], "offset %d stands twice", o-1)
		seen[o] = true
	}
}

func testExpired(t *testing.T, s Subject) {
	appendAll(t, s.Log, "a", 5)
	s.Expire("a", 3)
	page, err := s.Log.Read(context.Background(), "a", 1, 10)
	require.Error(t, err)
	require.Equal(t, fleet.KindExpired, fleet.KindOf(err))
	require.EqualValues(t, 3, page.First())
	page, err = s.Log.Read(context.Background(), "a", 3, 10)
	require.NoError(t, err)
	require.Len(t, page.Entries(), 2)
}

func testOutage(t *testing.T, s Subject) {
	s.SetDown(true)
	_, err := s.Log.Append(context.Background(), "a", []byte("x"))
	require.Error(t, err)
	require.Equal(t, fleet.KindUnavailable, fleet.KindOf(err))
	s.SetDown(false)
	page, err := s.Log.Read(context.Background(), "a", 0, 10)
	require.NoError(t, err)
	require.Empty(t, page.Entries())
}

func testLostAnswer(t *testing.T, s Subject) {
	s.SetLossy(true)
	_, err := s.Log.Append(context.Background(), "a", []byte("x"))
	require.Error(t, err)
	require.Equal(t, fleet.KindUnknown, fleet.KindOf(err))
	s.SetLossy(false)
	page, err := s.Log.Read(context.Background(), "a", 0, 10)
	require.NoError(t, err)
	require.Len(t, page.Entries(), 1)
}
