package fleettest

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/fleet"
)

// Log is the interface that TestLog checks.
type Log interface {
	// Append adds an entry to a stream and returns its offset.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to limit entries, starting with offset from.
	Read(ctx context.Context, stream string, from int64, limit int) (fleet.LogPage, error)
}

// LogSubject is a log under test with functions that control the fake behind it.
type LogSubject struct {
	// Log is the implementation under test.
	Log Log
	// Expire removes the entries of a stream before an offset.
	Expire func(stream string, before int64)
	// SetDown sets whether the log refuses all requests.
	SetDown func(down bool)
	// SetLoseReplies sets whether appends take effect but their replies are lost.
	SetLoseReplies func(lossy bool)
}

// TestLog runs the contract tests of a log. newSubject returns an empty one.
func TestLog(t *testing.T, newSubject func(t *testing.T) LogSubject) {
	tests := []struct {
		name string
		run  func(t *testing.T, s LogSubject)
	}{
		{name: "appends return consecutive offsets", run: testOffsetsGrow},
		{name: "read returns what was appended", run: testReadReturnsAppended},
		{name: "streams are separate", run: testStreamsSeparate},
		{name: "concurrent appends return distinct offsets", run: testConcurrentAppends},
		{name: "a read of expired entries returns KindExpired", run: testExpired},
		{name: "an append during an outage has no effect", run: testOutage},
		{name: "a lost reply leaves the outcome unknown", run: testLostReply},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, newSubject(t)) })
	}
}

func appendEntries(t *testing.T, l Log, stream string, n int) {
	t.Helper()
	for i := range n {
		offset, err := l.Append(context.Background(), stream, fmt.Appendf(nil, "%s-%d", stream, i))
		require.NoError(t, err)
		require.EqualValues(t, i, offset)
	}
}

func testOffsetsGrow(t *testing.T, s LogSubject) { appendEntries(t, s.Log, "a", 5) }

func testReadReturnsAppended(t *testing.T, s LogSubject) {
	appendEntries(t, s.Log, "a", 5)
	page, err := s.Log.Read(context.Background(), "a", 1, 3)
	require.NoError(t, err)
	require.EqualValues(t, 0, page.FirstOffset())
	require.EqualValues(t, 5, page.NextOffset())
	require.Len(t, page.Entries(), 3)
	for i, e := range page.Entries() {
		require.EqualValues(t, i+1, e.Offset())
		require.Equal(t, fmt.Sprintf("a-%d", i+1), string(e.Data()))
		require.False(t, e.AppendedAt().IsZero())
	}
	page, err = s.Log.Read(context.Background(), "a", 5, 3)
	require.NoError(t, err)
	require.Empty(t, page.Entries())
}

func testStreamsSeparate(t *testing.T, s LogSubject) {
	appendEntries(t, s.Log, "a", 2)
	appendEntries(t, s.Log, "b", 1)
	page, err := s.Log.Read(context.Background(), "b", 0, 10)
	require.NoError(t, err)
	require.Len(t, page.Entries(), 1)
}

func testConcurrentAppends(t *testing.T, s LogSubject) {
	const n = 20
	offsets := make([]int64, n)
	var appends sync.WaitGroup
	for i := range n {
		appends.Go(func() {
			offset, err := s.Log.Append(context.Background(), "a", []byte{byte(i)})
			if err == nil {
				offsets[i] = offset + 1
			}
		})
	}
	appends.Wait()
	seen := map[int64]bool{}
	for _, o := range offsets {
		require.NotZero(t, o)
		require.False(t, seen[o], "offset %d was returned twice", o-1)
		seen[o] = true
	}
}

func testExpired(t *testing.T, s LogSubject) {
	appendEntries(t, s.Log, "a", 5)
	s.Expire("a", 3)
	page, err := s.Log.Read(context.Background(), "a", 1, 10)
	require.Error(t, err)
	require.Equal(t, fleet.KindExpired, fleet.KindOf(err))
	require.EqualValues(t, 3, page.FirstOffset())
	page, err = s.Log.Read(context.Background(), "a", 3, 10)
	require.NoError(t, err)
	require.Len(t, page.Entries(), 2)
}

func testOutage(t *testing.T, s LogSubject) {
	s.SetDown(true)
	_, err := s.Log.Append(context.Background(), "a", []byte("x"))
	require.Error(t, err)
	require.Equal(t, fleet.KindUnavailable, fleet.KindOf(err))
	s.SetDown(false)
	page, err := s.Log.Read(context.Background(), "a", 0, 10)
	require.NoError(t, err)
	require.Empty(t, page.Entries())
}

func testLostReply(t *testing.T, s LogSubject) {
	s.SetLoseReplies(true)
	_, err := s.Log.Append(context.Background(), "a", []byte("x"))
	require.Error(t, err)
	require.Equal(t, fleet.KindUnknown, fleet.KindOf(err))
	s.SetLoseReplies(false)
	page, err := s.Log.Read(context.Background(), "a", 0, 10)
	require.NoError(t, err)
	require.Len(t, page.Entries(), 1)
}
