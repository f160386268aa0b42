package daemon_test

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

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

// TestStreamIsNotResumedAtAnotherVersionAfterAllFrontsAreLost guards against a stream that is joined
// from two versions, because the fronts that knew the older one were all lost and its endpoints have
// left since.
func TestStreamIsNotResumedAtAnotherVersionAfterAllFrontsAreLost(t *testing.T) {
	tests := []struct {
		name string
		// released is set if endpoints of another version replace those that began the stream.
		released bool
		status   int
	}{
		{name: "release complete", released: true, status: http.StatusServiceUnavailable},
		{name: "no release", status: http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newPlatformSite(t)
			s.maxAttempts = 1
			s.configure()
			f := s.startFront()
			for _, e := range s.engines {
				e.SetVersion("v1")
				e.SetBehavior(worker.TruncatedResponse)
			}
			s.waitForVersions(1)
			_, _, begin, err := f.send(t, http.MethodPost, "/survey/1", "first", "x")
			require.Error(t, err, "the endpoint breaks off")
			require.Contains(t, begin, "v1")
			f.stop()
			<-f.done
			f.done <- nil
			engines := s.engines
			if test.released {
				s.store.Put("keyed.servers", "engine-1", nil)
				s.store.Put("keyed.servers", "engine-2", nil)
				engines = []*worker.Worker{s.startEngine("engine-3", "v2")}
			}
			executed := len(engines[0].Executions())
			status, _, rest, err := s.startFront().send(t, http.MethodPost, "/survey/1", "second", "x", "Last-Event-Id", "1", "Resumes", "first")
			require.NoError(t, err)
			require.Equal(t, test.status, status, rest)
			if test.released {
				require.Len(t, engines[0].Executions(), executed, "the request has not run")
			}
		})
	}
}

// waitForVersions waits until the store has a record of as many versions of service "llm".
func (s *platformSite) waitForVersions(count int) {
	require.Eventually(s.t, func() bool {
		recorded := 0
		for _, value := range s.store.Newest("keyed.versions") {
			if strings.Contains(string(value), "llm") {
				recorded++
			}
		}
		return recorded == count
	}, eventuallyTimeout, 20*time.Millisecond)
}
