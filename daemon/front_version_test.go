package daemon_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/standin/worker"
)

// versionOfEvent finds the software version that an engine wrote into the data of an event.
var versionOfEvent = regexp.MustCompile(`data: word\d+ (v\S+)`)

// versionsIn returns the versions that the events of a stream name.
func versionsIn(body string) map[string]bool {
	versions := map[string]bool{}
	for _, match := range versionOfEvent.FindAllStringSubmatch(body, -1) {
		versions[match[1]] = true
	}
	return versions
}

// startVersions replaces the engines by two of each of two software versions, all of which
// break streams off after the first event.
func (s *platformSite) startVersions() {
	s.store.Put("keyed.servers", "engine-1", nil)
	s.store.Put("keyed.servers", "engine-2", nil)
	s.engines = nil
	for i, version := range []string{"v1", "v1.1", "v1", "v1.1"} {
		engine := s.startEngine(fmt.Sprint("versioned-", i), version)
		engine.SetBehavior(worker.TruncatedResponse)
		s.engines = append(s.engines, engine)
	}
}

// TestStreamOfOneResponseStaysAtItsVersion guards against a front that resumes a broken stream
// at another software version within one response.
func TestStreamOfOneResponseStaysAtItsVersion(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	s.startVersions()
	f := s.startFront()
	complete := 0
	for i := range 40 {
		status, _, body, err := f.send(t, http.MethodPost, "/survey/1", fmt.Sprint("id-", i), "x")
		require.Equal(t, http.StatusOK, status)
		require.LessOrEqual(t, len(versionsIn(body)), 1, body)
		if err == nil {
			complete++
		}
	}
	require.GreaterOrEqual(t, complete, 20, "streams go on at the version that began them")
}

// TestResumedStreamStaysAtItsVersion guards against callers that resume a stream through another
// front and get events of another software version.
func TestResumedStreamStaysAtItsVersion(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	s.maxAttempts = 1
	s.configure()
	s.startVersions()
	fronts := []*testFront{s.startFront(), s.startFront(), s.startFront()}
	broken, resumed := 0, 0
	for i := range 60 {
		first := fmt.Sprint("id-", i)
		status, _, begin, err := fronts[i%3].send(t, http.MethodPost, "/survey/1", first, "x")
		if status != http.StatusOK || err == nil {
			continue
		}
		broken++
		begin = begin[:strings.LastIndex(begin, "\n\n")+2]
		status, _, rest, err := fronts[(i+1)%3].send(t, http.MethodPost, "/survey/1", first+"-again", "x", "Last-Event-Id", "1", "Resumes", first)
		if status != http.StatusOK {
			require.Equal(t, http.StatusServiceUnavailable, status, "a stream that can't be resumed has not run")
			continue
		}
		require.NoError(t, err)
		resumed++
		require.Len(t, versionsIn(begin+rest), 1, begin+rest)
	}
	require.GreaterOrEqual(t, broken, 12)
	require.GreaterOrEqual(t, 2*resumed, broken, "half of the streams go on")
}

// TestStreamOfUnknownVersionIsNotResumed guards against a guess where several software versions
// serve and nobody knows which one began a stream.
func TestStreamOfUnknownVersionIsNotResumed(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	s.startVersions()
	f := s.startFront()
	for _, header := range [][]string{{"Last-Event-Id", "1", "Resumes", "never"}, {"Last-Event-Id", "1"}} {
		status, _, body, err := f.send(t, http.MethodPost, "/survey/1", "id-1", "x", header...)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, status, body)
	}
	for _, engine := range s.engines {
		require.Empty(t, engine.Executions())
	}
}

// TestStreamIsResumedWhereOneVersionServes checks that no record is needed with one version.
func TestStreamIsResumedWhereOneVersionServes(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.startFront()
	for _, header := range [][]string{{"Last-Event-Id", "1", "Resumes", "never"}, {"Last-Event-Id", "1"}} {
		status, _, body, err := f.send(t, http.MethodPost, "/survey/1", "id-1", "x", header...)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "id: 2\ndata: word2\n\nid: 3\ndata: word3\n\n", body)
	}
}
