package trail_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/trail"
)

const front1Log = `12.1 front-1 {"level":"info","ts":"2026-05-20T14:20:15.083Z","msg":"request","instance":"front-1","request":"a","program":"p","outcome":"refused","status":404}
{"level":"warn","ts":"2026-05-20T14:20:14.000Z","msg":"store lost","instance":"front-1","call":"log-read"}
{"level":"warn","ts":"2026-05-20T14:20:14.000Z","msg":"endpoint changed","instance":"front-1","endpoint":"e-9"}
{"level":"info","ts":"2026-05-20T14:20:15.083Z","msg":"request","instance":"front-1","request":"z","program":"q","outcome":"refused"}
not a JSON line
`

const front2Log = `{"level":"info","ts":"2026-05-20T14:20:13.083Z","msg":"request","instance":"front-2","request":"b","program":"p","outcome":"answered","endpoint":"e-1"}
{"level":"warn","ts":"2026-05-20T14:20:13.000Z","msg":"endpoint failed","instance":"front-2","endpoint":"e-1","request":"b"}
{"level":"warn","ts":"2026-05-20T14:00:13.000Z","msg":"store lost","instance":"front-2"}
`

// The lines of the whole program are found in all logs, together with the state changes
// around them; changes at other endpoints and at other times are left out.
func TestTrailContainsProgramLinesOfAllLogs(t *testing.T) {
	found, err := trail.Read("a", strings.NewReader(front1Log), strings.NewReader(front2Log))
	require.NoError(t, err)
	require.Equal(t, 1, found.Unparsed())
	var out bytes.Buffer
	require.NoError(t, found.Print(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 4, out.String())
	for i, want := range []string{"endpoint failed", "request=b", "store lost", "request=a"} {
		require.Contains(t, lines[i], want)
	}
}

// An identifier that no line mentions selects nothing, not even state changes.
func TestTrailOfAnUnknownIdentifierIsEmpty(t *testing.T) {
	found, err := trail.Read("none", strings.NewReader(front1Log))
	require.NoError(t, err)
	require.Zero(t, found.Len())
}
