package daemon_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/standin/store"
	"github.com/lavendervale/lavendervale/standin/worker"
)

// rebornEngine is an engine that can start again under its id and address.
type rebornEngine struct {
	*worker.Worker
	site   *platformSite
	id     string
	server *httptest.Server
	// born is the start time in its entry, 0 for none.
	born int64
}

// startRebornEngine starts an engine of version v1, without a start time in its entry if born is 0.
func (s *platformSite) startRebornEngine(id string, born int64) *rebornEngine {
	e := &rebornEngine{Worker: worker.New(id, true), site: s, id: id, born: born}
	e.server = httptest.NewServer(e.Worker)
	s.t.Cleanup(e.server.Close)
	e.announce("v1")
	return e
}

// announce writes the entry of the engine, which is of a software version from now on.
func (e *rebornEngine) announce(version string) {
	e.SetVersion(version)
	born := ""
	if e.born != 0 {
		born = fmt.Sprintf(`,"born":%d`, e.born)
	}
	e.site.store.Put("keyed.servers", e.id, fmt.Appendf(nil,
		`{"service":"llm","address":%q,"zone":"a","version":%q,"slots":4,"state":"ready","cold_left_ms":0,"seq":1%s}`, strings.TrimPrefix(e.server.URL, "http://"), version, born))
}

// restart ends all connections of the engine and announces a new incarnation of a software version.
func (e *rebornEngine) restart(version string) {
	e.server.CloseClientConnections()
	if e.born != 0 {
		e.born += 1000
	}
	e.announce(version)
}

// TestStreamIsNotJoinedFromTwoVersionsWhenAnEndpointRestartsUnderItsID guards against streams whose
// endpoint is believed to be of the version that it had before it started again.
func TestStreamIsNotJoinedFromTwoVersionsWhenAnEndpointRestartsUnderItsID(t *testing.T) {
	const (
		oneResponse = iota
		resumedAtReborn
		begunAtReborn
	)
	tests := []struct {
		name    string
		stream  int
		version string
		born    int64
		// resumes is set if the stream must go on to its end.
		resumes bool
	}{
		{name: "within one response", stream: oneResponse, version: "v2", born: 1000},
		{name: "resumed at the endpoint", stream: resumedAtReborn, version: "v2", born: 1000},
		{name: "begun at the endpoint", stream: begunAtReborn, version: "v2", born: 1000},
		{name: "within one response, without start times", stream: oneResponse, version: "v2"},
		{name: "resumed at the endpoint, without start times", stream: resumedAtReborn, version: "v2"},
		{name: "begun at the endpoint, without start times", stream: begunAtReborn, version: "v2"},
		{name: "within one response, same version", stream: oneResponse, version: "v1", born: 1000, resumes: true},
		{name: "resumed at the endpoint, same version", stream: resumedAtReborn, version: "v1", born: 1000, resumes: true},
		{name: "begun at the endpoint, same version", stream: begunAtReborn, version: "v1", born: 1000, resumes: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newPlatformSite(t)
			if test.stream != oneResponse {
				s.maxAttempts = 1
				s.configure()
			}
			s.store.Put("keyed.servers", "engine-1", nil)
			s.store.Put("keyed.servers", "engine-2", nil)
			steady, reborn := s.startRebornEngine("steady", test.born), s.startRebornEngine("reborn", test.born)
			f := s.startFront()
			first, second := steady, reborn
			switch test.stream {
			case oneResponse:
				steady.SetBehavior(worker.TruncatedResponse)
				reborn.SetBehavior(worker.TruncatedResponse)
				reborn.restart(test.version)
				status, _, body, err := f.send(t, http.MethodPost, "/survey/1", "first", "x")
				require.Equal(t, http.StatusOK, status, body)
				require.Len(t, versionsIn(body), 1, body)
				require.Equal(t, test.resumes, err == nil, body)
				return
			case begunAtReborn:
				first, second = reborn, steady
				reborn.restart(test.version)
			}
			first.SetBehavior(worker.TruncatedResponse)
			second.SetBehavior(worker.Overloaded)
			status, _, begin, err := f.send(t, http.MethodPost, "/survey/1", "first", "x")
			require.Equal(t, http.StatusOK, status, begin)
			require.Error(t, err, "the endpoint breaks off")
			begin = begin[:strings.LastIndex(begin, "\n\n")+2]
			if test.stream == resumedAtReborn {
				reborn.restart(test.version)
			}
			first.SetBehavior(worker.Overloaded)
			second.SetBehavior(worker.Healthy)
			status, _, rest, err := f.send(t, http.MethodPost, "/survey/1", "second", "x", "Last-Event-Id", "1", "Resumes", "first")
			require.NoError(t, err)
			if !test.resumes {
				require.Equal(t, http.StatusServiceUnavailable, status, "joined: %s%s", begin, rest)
				require.Empty(t, second.Executions(), "the request has not run")
				return
			}
			require.Equal(t, http.StatusOK, status, rest)
			require.Len(t, versionsIn(begin+rest), 1, begin+rest)
		})
	}
}

// TestStreamIsResumedInAnOutageOnlyOnAKnownConnection guards against a stream that is resumed at an
// endpoint which started again while the store can't tell of it, and against refusing all others.
func TestStreamIsResumedInAnOutageOnlyOnAKnownConnection(t *testing.T) {
	tests := []struct {
		name     string
		restarts bool
		status   int
	}{
		{name: "same process", status: http.StatusOK},
		{name: "started again", restarts: true, status: http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newPlatformSite(t)
			s.maxAttempts = 1
			s.configure()
			s.store.Put("keyed.servers", "engine-1", nil)
			s.store.Put("keyed.servers", "engine-2", nil)
			first, second := s.startRebornEngine("first", 1000), s.startRebornEngine("second", 1000)
			f := s.startFront()
			resume := func(id, resumes string) (int, string) {
				status, _, body, err := f.send(t, http.MethodPost, "/survey/1", id, "x", "Last-Event-Id", "1", "Resumes", resumes)
				require.NoError(t, err)
				return status, body
			}
			second.SetBehavior(worker.Overloaded)
			status, body := resume("other", "never")
			require.Equal(t, http.StatusOK, status, body)
			first.SetBehavior(worker.TruncatedResponse)
			_, _, _, err := f.send(t, http.MethodPost, "/survey/1", "begin", "x")
			require.Error(t, err, "the endpoint breaks off")
			first.SetBehavior(worker.Overloaded)
			second.SetBehavior(worker.Healthy)
			status, body = resume("again", "begin")
			require.Equal(t, http.StatusOK, status, body)
			s.store.SetFault(store.Unavailable)
			if test.restarts {
				second.restart("v2")
			}
			ran := len(second.Executions())
			status, body = resume("in-outage", "begin")
			require.Equal(t, test.status, status, body)
			if test.restarts {
				require.Len(t, second.Executions(), ran, "the request has not run")
			}
		})
	}
}

// TestStreamBegunInAnOutageIsResumedOnlyAtItsVersion guards against an origin that names the version of an
// entry, where the process that began the stream may have started again since.
func TestStreamBegunInAnOutageIsResumedOnlyAtItsVersion(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	s.maxAttempts = 1
	s.configure()
	s.store.Put("keyed.servers", "engine-1", nil)
	s.store.Put("keyed.servers", "engine-2", nil)
	began, others := s.startRebornEngine("began", 1000), []*rebornEngine{s.startRebornEngine("v1", 1000), s.startRebornEngine("v2", 1000)}
	others[1].restart("v2")
	f := s.startFront()
	s.store.SetFault(store.Unavailable)
	began.restart("v3")
	began.SetBehavior(worker.TruncatedResponse)
	for _, other := range others {
		other.SetBehavior(worker.Overloaded)
	}
	status, _, begin, err := f.send(t, http.MethodPost, "/survey/1", "first", "x")
	require.Equal(t, http.StatusOK, status, "a stream that begins does not wait for the store")
	require.Error(t, err, "the endpoint breaks off")
	require.Equal(t, map[string]bool{"v3": true}, versionsIn(begin))
	began.SetBehavior(worker.Overloaded)
	for _, other := range others {
		other.SetBehavior(worker.Healthy)
	}
	status, _, body, err := f.send(t, http.MethodPost, "/survey/1", "second", "x", "Last-Event-Id", "1", "Resumes", "first")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status, body)
	for _, other := range others {
		require.Empty(t, other.Executions(), "the request has not run")
	}
}
