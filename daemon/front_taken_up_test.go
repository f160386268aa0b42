package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// takeUpEvents is the number of events of a stream in the tests of kept turns that are taken up.
const takeUpEvents = 5

// configureKeptResumable publishes a configuration with the route /talk/, which keeps turns and is resumable, and /chat/,
// which keeps turns only. Its engines name the request in the data of each event, and send no more after the event that the
// path names.
func (s *platformSite) configureKeptResumable(t *testing.T) {
	route := func(name string, resumable bool) map[string]any {
		return map[string]any{"name": name, "hostname": chatHost, "path_prefix": "/" + name + "/", "kind": "streaming", "timeout_ms": 8000, "service": "llm", "max_attempts": 1, "stateful": true, "retention_s": 60.0, "resumable": resumable}
	}
	s.version += 3
	text, err := json.Marshal(map[string]any{
		"version": s.version, "routes": []map[string]any{route("talk", true), route("chat", false)},
		"services": []map[string]any{{"name": "llm", "max_conns": 50, "engine": map[string]any{"slots": 4, "chunk_tokens": 13}}},
		"limits":   map[string]any{"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	require.NoError(t, err)
	s.store.Put("keyed.op", "config", text)
	for _, engine := range s.engines {
		engine.RespondWith(func(out http.ResponseWriter, r *http.Request, _ string) {
			out.Header().Set("Content-Type", "text/event-stream")
			last, stop := 0, 0
			_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
			_, _ = fmt.Sscanf(r.URL.Path[strings.LastIndex(r.URL.Path, "/"):], "/%d", &stop)
			for id := last + 1; id <= takeUpEvents; id++ {
				if stop > 0 && id > stop {
					<-r.Context().Done()
					return
				}
				_, _ = fmt.Fprintf(out, "id: %d\ndata: %d of %s\n\n", id, id, r.Header.Get("Request-Id"))
				_ = http.NewResponseController(out).Flush()
			}
		})
	}
}

// receive sends a request and closes the connection after an event, or reads the response to its end if stop is 0. It returns
// the status and the data of the events.
func (f *testFront) receive(t *testing.T, path, id string, stop int, header ...string) (int, []string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprint("http://", f.callerAddress, path, stop), strings.NewReader("input|"))
	require.NoError(t, err)
	r.Host = chatHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	r.Header.Set("Program-Id", "p")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, nil
	}
	var events []string
	lines, last := bufio.NewReader(resp.Body), ""
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && stop == 0 {
			return resp.StatusCode, events
		}
		require.NoError(t, err)
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			events = append(events, data)
		}
		if eventID, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok {
			last = eventID
		}
		if line == "\n" && last == fmt.Sprint(stop) {
			return resp.StatusCode, events
		}
	}
}

// TestTurnThatIsTakenUpIsKeptWhole guards against conversations that lack the events which the caller of a turn received before it
// took the turn up.
func TestTurnThatIsTakenUpIsKeptWhole(t *testing.T) {
	t.Parallel()
	type attempt struct {
		front int
		// after is the event after which the stream is taken up, 0 for the first attempt.
		after int
		// stop is the event after which the caller closes the connection, 0 for none.
		stop int
	}
	tests := []struct {
		name     string
		attempts []attempt
	}{
		{name: "not taken up", attempts: []attempt{{front: 0}}},
		{name: "at another front", attempts: []attempt{{front: 0, stop: 2}, {front: 1, after: 2}}},
		{name: "at the same front", attempts: []attempt{{front: 0, stop: 2}, {front: 0, after: 2}}},
		{name: "after fewer events than were sent", attempts: []attempt{{front: 0, stop: 3}, {front: 1, after: 1}}},
		{name: "twice", attempts: []attempt{{front: 0, stop: 1}, {front: 1, after: 1, stop: 3}, {front: 2, after: 3}}},
		{name: "three times", attempts: []attempt{{front: 0, stop: 1}, {front: 1, after: 1, stop: 3}, {front: 0, after: 2, stop: 4}, {front: 2, after: 4}}},
		{name: "after the turn was kept", attempts: []attempt{{front: 0}, {front: 1, after: 4}}},
	}
	s := newPlatformSite(t)
	core, logs := observer.New(zap.InfoLevel)
	s.logger = zap.New(core)
	s.configureKeptResumable(t)
	fronts := []*testFront{s.startFront(), s.startFront(), s.startFront()}
	requireOneHomeOfEachShard(t, logs, len(fronts))
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var received []string
			id, first := "", fmt.Sprintf("%d-0", n)
			for i, a := range test.attempts {
				id = fmt.Sprintf("%d-%d", n, i)
				var header []string
				if a.after > 0 {
					header = []string{"Last-Event-Id", fmt.Sprint(a.after), "Resumes", first}
				}
				status, events := fronts[a.front].receive(t, "/talk/", id, a.stop, header...)
				require.Equal(t, http.StatusOK, status)
				received = append(received[:a.after:a.after], events...)
			}
			require.Len(t, received, takeUpEvents)
			next := fmt.Sprintf("%d-next", n)
			status, _ := fronts[2].receive(t, "/talk/", next, 0, "Previous-Turn", id)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, "input|"+strings.Join(received, "")+"input|", s.bodyOf(next))
		})
	}
}

// bodyOf returns the body of a request as an engine got it.
func (s *platformSite) bodyOf(id string) string {
	for _, engine := range s.engines {
		for _, run := range engine.Executions() {
			if run.RequestID == id {
				return run.Body
			}
		}
	}
	return ""
}

// TestTurnOfUnknownEventsIsRefused guards against turns that are taken up and kept although no front knows what their callers have
// received.
func TestTurnOfUnknownEventsIsRefused(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name, path string
		header     []string
	}{
		{name: "first attempt unknown", path: "/talk/", header: []string{"Last-Event-Id", "2", "Resumes", "never"}},
		{name: "first attempt not named", path: "/talk/", header: []string{"Last-Event-Id", "2"}},
		{name: "event that was not sent", path: "/talk/", header: []string{"Last-Event-Id", "3", "Resumes", "first"}},
		{name: "route that is not resumable", path: "/chat/", header: []string{"Last-Event-Id", "2", "Resumes", "first"}},
	}
	s := newPlatformSite(t)
	core, logs := observer.New(zap.InfoLevel)
	s.logger = zap.New(core)
	s.configureKeptResumable(t)
	fronts := []*testFront{s.startFront(), s.startFront(), s.startFront()}
	requireOneHomeOfEachShard(t, logs, len(fronts))
	status, _ := fronts[0].receive(t, "/talk/", "first", 2)
	require.Equal(t, http.StatusOK, status)
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			id := fmt.Sprint("refused-", n)
			status, _ := fronts[1].receive(t, test.path, id, 0, test.header...)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Empty(t, s.bodyOf(id))
		})
	}
}
