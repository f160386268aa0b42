package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/standin/store"
	"github.com/lavendervale/lavendervale/standin/worker"
)

const (
	chatHost = "chat.example"
	stampKey = "Response-Stamp"
	// patience bounds the wait for a state that comes by itself.
	patience = 20 * time.Second
)

// platformSite is a platform of stand-ins with fronts on it.
type platformSite struct {
	t       *testing.T
	store   *store.Store
	address string
	engines []*worker.Worker
	shops   []*worker.Worker
	version int64
	number  int
}

func newPlatformSite(t *testing.T) *platformSite {
	s := &platformSite{t: t, store: store.New()}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.address = strings.TrimPrefix(server.URL, "http://")
	s.configure()
	s.engines = append(s.engines, s.worker("engine-1", "llm", true), s.worker("engine-2", "llm", true))
	s.shops = append(s.shops, s.worker("shop-1", "shop", false), s.worker("shop-2", "shop", false))
	return s
}

// configure publishes routes; more are added by their prefixes.
func (s *platformSite) configure(more ...string) {
	s.version += 3
	routes := []map[string]any{
		{"name": "chat", "hostname": chatHost, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 8000, "service": "llm", "max_attempts": 1, "stateful": true, "retention_s": 60.0, "sticky": true},
		{"name": "survey", "hostname": chatHost, "path_prefix": "/survey/", "kind": "streaming", "timeout_ms": 8000, "service": "llm", "max_attempts": 2, "resumable": true},
		{"name": "look", "hostname": chatHost, "path_prefix": "/look/", "kind": "safe", "timeout_ms": 8000, "service": "shop", "max_attempts": 2},
		{"name": "pay", "hostname": chatHost, "path_prefix": "/pay/", "kind": "unsafe", "timeout_ms": 8000, "service": "shop", "max_attempts": 1},
	}
	for _, prefix := range more {
		routes = append(routes, map[string]any{"name": prefix, "hostname": chatHost, "path_prefix": prefix, "kind": "safe", "service": "shop"})
	}
	text, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{"name": "llm", "max_conns": 50, "engine": map[string]any{"slots": 4, "chunk_tokens": 13}}, {"name": "shop", "max_conns": 50}},
		"limits":   map[string]any{"max_header_bytes": 4096, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	require.NoError(s.t, err)
	s.store.Put("keyed.op", "config", text)
}

func (s *platformSite) worker(id, service string, engine bool) *worker.Worker {
	w := worker.New(id, engine)
	server := httptest.NewServer(w)
	s.t.Cleanup(server.Close)
	s.announce(id, service, strings.TrimPrefix(server.URL, "http://"), "ready")
	return w
}

func (s *platformSite) announce(id, service, address, state string) {
	s.store.Put("keyed.servers", id, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":%q,"cold_left_ms":0,"seq":1}`, service, address, state))
}

// testFront is a front that runs.
type testFront struct {
	callers string
	stop    context.CancelFunc
	done    chan error
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// front starts a front and waits until it is ready.
func (s *platformSite) front() *testFront {
	s.number++
	ready := freeAddress(s.t)
	c := daemon.FrontConfig{
		Name: fmt.Sprintf("front-%d", s.number), Domain: "a", Callers: freeAddress(s.t), Ready: ready, Peers: freeAddress(s.t),
		Store: s.address, Shards: 4, Processors: 1, Grace: 4 * time.Second, Logger: zap.NewNop(),
	}
	f, err := daemon.NewFront(c)
	require.NoError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	out := &testFront{callers: c.Callers, stop: cancel, done: make(chan error, 1)}
	go func() { out.done <- f.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		<-out.done
	})
	require.Eventually(s.t, func() bool {
		resp, err := http.Get("http://" + ready + "/api/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, patience, 20*time.Millisecond)
	return out
}

// ask sends a request and returns the answer with its whole body.
func (f *testFront) ask(t *testing.T, method, path, id, body string, header ...string) (int, http.Header, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+f.callers+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = chatHost
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "5000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, string(data), err
}

func TestFrontServesEachKindOfRequest(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	tests := []struct {
		name, method, path, want string
		status                   int
	}{
		{name: "idempotent", method: http.MethodGet, path: "/look/1?x=y", status: 200, want: "answer of"},
		{name: "once", method: http.MethodPost, path: "/pay/1", status: 200, want: "answer of"},
		{name: "stream", method: http.MethodPost, path: "/survey/1", status: 200, want: "id: 3\ndata: word3\n\n"},
		{name: "no route", method: http.MethodGet, path: "/nowhere/", status: 404, want: "no route"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status, header, body, err := f.ask(t, test.method, test.path, "id-"+test.name, "hello")
			require.NoError(t, err)
			require.Equal(t, test.status, status, body)
			require.Contains(t, body, test.want)
			require.Equal(t, status == 200, header.Get(stampKey) != "")
		})
	}
}

func TestConversationGoesOnThroughAnotherFront(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	first, second := s.front(), s.front()
	status, _, _, err := first.ask(t, http.MethodPost, "/chat/1", "turn-1", "one|", "Program-Id", "p", "Token-Budget", "500", "Token-Usage", "10,100")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	status, _, _, err = second.ask(t, http.MethodPost, "/chat/1", "turn-2", "two|", "Program-Id", "p", "Token-Budget", "500", "Token-Usage", "10,100", "Previous-Turn", "turn-1")
	require.NoError(t, err)
	require.Equal(t, 200, status)
	status, _, body, err := second.ask(t, http.MethodPost, "/chat/1", "turn-3", "three|", "Program-Id", "q", "Previous-Turn", "turn-2")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
	var bodies []string
	for _, e := range s.engines {
		for _, run := range e.Runs() {
			bodies = append(bodies, run.Body)
		}
	}
	events := "word1\nword2\nword3\n"
	require.ElementsMatch(t, []string{"one|", "one|" + events + "two|", "one|" + events + "two|" + events + "three|"}, bodies)
	status, _, _, err = first.ask(t, http.MethodPost, "/chat/1", "turn-4", "x", "Program-Id", "p", "Previous-Turn", "never")
	require.NoError(t, err)
	require.Equal(t, 404, status)
}

func TestBudgetHoldsOverFronts(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	fronts := []*testFront{s.front(), s.front()}
	// The fronts must have heard that both have started, or shards change hands.
	time.Sleep(500 * time.Millisecond)
	var statuses []int
	for i := range 5 {
		status, _, _, err := fronts[i%2].ask(t, http.MethodPost, "/survey/1", fmt.Sprintf("a-%d", i), "x", "Program-Id", "p", "Token-Budget", "150", "Token-Usage", "10,60")
		require.NoError(t, err)
		statuses = append(statuses, status)
	}
	require.Equal(t, []int{200, 200, 200, 402, 402}, statuses, "three turns of 39 tokens fit, a fourth of 60 does not")
}

func TestEndpointsThatMisbehave(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		how    worker.Behaviour
		path   string
		method string
		status int
		cut    bool
	}{
		{name: "full, any kind", how: worker.Full, path: "/pay/1", method: http.MethodPost, status: 503},
		{name: "broken answer of an order", how: worker.Breaking, path: "/pay/1", method: http.MethodPost, status: 502},
		{name: "answer to another request", how: worker.Foreign, path: "/pay/1", method: http.MethodPost, status: 504},
		{name: "no signature", how: worker.Unsigned, path: "/pay/1", method: http.MethodPost, status: 502},
		{name: "encoded body", how: worker.Encoded, path: "/pay/1", method: http.MethodPost, status: 502},
		{name: "broken answer of an idempotent request", how: worker.Breaking, path: "/look/1", method: http.MethodGet, status: 502},
		{name: "broken stream that may not go on", how: worker.Breaking, path: "/chat/1", method: http.MethodPost, status: 200, cut: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newPlatformSite(t)
			f := s.front()
			for _, w := range append(s.engines, s.shops...) {
				w.Set(test.how)
			}
			status, header, _, err := f.ask(t, test.method, test.path, "id-1", "x", "Deadline-Ms", "1500")
			require.Equal(t, test.status, status)
			if test.cut {
				require.Error(t, err, "an answer that ends early must not look whole")
				return
			}
			require.NoError(t, err)
			require.Empty(t, header.Get(stampKey), "an answer of the system's own bears no signature")
			runs := 0
			for _, w := range s.shops {
				runs += len(w.Runs())
			}
			if test.method == http.MethodPost {
				require.LessOrEqual(t, runs, 1, "an order runs once at most")
			}
			if status == 503 {
				require.Zero(t, runs, "not run means not run")
			}
		})
	}
}

func TestResumableStreamGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	s.engines[0].Set(worker.Breaking)
	for i := range 6 {
		status, _, body, err := f.ask(t, http.MethodPost, "/survey/1", fmt.Sprintf("a-%d", i), "x")
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "id: 1\ndata: word1\n\nid: 2\ndata: word2\n\nid: 3\ndata: word3\n\n", body)
	}
	require.NotEmpty(t, s.engines[0].Runs())
}

func TestNewConfigurationIsInForceAndOlderOnesAreNot(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	s.configure("/added/")
	require.Eventually(t, func() bool {
		status, _, _, err := f.ask(t, http.MethodGet, "/added/1", "id-1", "")
		return err == nil && status == 200
	}, patience, 50*time.Millisecond)
	s.version -= 5
	s.configure()
	s.store.Put("keyed.op", "config", []byte("{torn"))
	s.store.Forget("keyed.servers")
	s.announce("engine-3", "llm", "not an address", "ready")
	s.store.Put("keyed.servers", "engine-4", []byte(`{"service":7}`))
	s.engines = append(s.engines, s.worker("engine-5", "llm", true))
	require.Eventually(t, func() bool {
		status, _, _, err := f.ask(t, http.MethodPost, "/survey/1", "id-2", "x")
		return err == nil && status == 200 && len(s.engines[2].Runs()) > 0
	}, patience, 20*time.Millisecond)
	status, _, _, err := f.ask(t, http.MethodGet, "/added/1", "id-3", "")
	require.NoError(t, err)
	require.Equal(t, 200, status, "an older version must not take over")
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	server := httptest.NewServer(s.shops[0])
	defer server.Close()
	s.announce("shop-1", "shop", strings.TrimPrefix(server.URL, "http://"), "draining")
	s.store.Put("keyed.servers", "shop-2", nil)
	third := s.worker("shop-3", "shop", false)
	require.Eventually(t, func() bool {
		_, _, body, err := f.ask(t, http.MethodGet, "/look/1", "id-1", "")
		return err == nil && strings.Contains(body, "shop-3")
	}, patience, 20*time.Millisecond)
	before := len(s.shops[0].Runs()) + len(s.shops[1].Runs())
	for i := range 10 {
		status, _, _, err := f.ask(t, http.MethodGet, "/look/1", fmt.Sprintf("id-%d", i+2), "")
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	require.Equal(t, before, len(s.shops[0].Runs())+len(s.shops[1].Runs()))
	require.GreaterOrEqual(t, len(third.Runs()), 10)
}

func TestStopLetsRequestsEnd(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	release := s.engines[0].Hold()
	second := s.engines[1].Hold()
	type result struct {
		status int
		body   string
		err    error
	}
	answered := make(chan result, 1)
	go func() {
		status, _, body, err := f.ask(t, http.MethodPost, "/chat/1", "id-1", "x")
		answered <- result{status, body, err}
	}()
	require.Eventually(t, func() bool { return len(s.engines[0].Runs())+len(s.engines[1].Runs()) == 1 }, patience, 10*time.Millisecond)
	f.stop()
	status, header, _, err := f.ask(t, http.MethodGet, "/look/1", "id-2", "")
	require.NoError(t, err, "a front that stops still serves")
	require.Equal(t, 200, status)
	_ = header
	release()
	second()
	r := <-answered
	require.NoError(t, r.err)
	require.Equal(t, 200, r.status)
	require.Contains(t, r.body, "word3")
}

func TestHeadsThatAreRefused(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	require.Eventually(t, func() bool {
		status, _, _, err := f.ask(t, http.MethodGet, "/look/1", "warm", "")
		return err == nil && status == 200
	}, patience, 20*time.Millisecond)
	inner := "POST /pay/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: smuggled\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		name, head string
		status     int
	}{
		{name: "two lengths", head: "POST /pay/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc", status: 400},
		{name: "length and chunks", head: "POST /pay/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, status: 400},
		{name: "folded header", head: "POST /pay/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: a\r\nX: y\r\n z: 1\r\nContent-Length: 0\r\n\r\n", status: 400},
		{name: "long head", head: "GET /look/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: a\r\nX: " + strings.Repeat("x", 5000) + "\r\n\r\n", status: 431},
		{name: "long body", head: "POST /pay/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: a\r\nContent-Length: 99999\r\n\r\n", status: 413},
		{name: "deadline is no number", head: "GET /look/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: a\r\nDeadline-Ms: soon\r\n\r\n", status: 400},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", f.callers)
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, test.head)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			defer resp.Body.Close()
			require.Equal(t, test.status, resp.StatusCode)
		})
	}
	for _, w := range s.shops {
		for _, run := range w.Runs() {
			require.Equal(t, "warm", run.Request, "nothing refused is forwarded")
		}
	}
}

func TestOwnHeadersOfCallersAreDropped(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	_, _, _, err := f.ask(t, http.MethodPost, "/survey/1", "id-1", "x", "Kv-Hold", "h", "Pin-Ms", "9", "Kv-From", "1:2/h", "Expect-Instance", "engine-9", "X-Kept", "yes")
	require.NoError(t, err)
	runs := append(s.engines[0].Runs(), s.engines[1].Runs()...)
	require.Len(t, runs, 1)
	h := runs[0].Header
	require.Equal(t, "yes", h.Get("X-Kept"))
	require.Empty(t, h.Get("Kv-Hold")+h.Get("Pin-Ms")+h.Get("Kv-From"))
	require.NotEqual(t, "engine-9", h.Get("Expect-Instance"))
	require.NotEmpty(t, h.Get("Deadline-Ms"))
}

func TestTurnsGoOnWhileAppendsAreNotAnswered(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	f := s.front()
	s.store.Set(store.LostWrites)
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.store.Set(store.None)
	}()
	status, _, body, err := f.ask(t, http.MethodPost, "/chat/1", "turn-1", "one|", "Program-Id", "p")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
	status, _, body, err = f.ask(t, http.MethodPost, "/chat/1", "turn-2", "two|", "Program-Id", "p", "Previous-Turn", "turn-1")
	require.NoError(t, err)
	require.Equal(t, 200, status, body)
}

func TestRequestThatCrashesEndpointsIsRefusedByAll(t *testing.T) {
	t.Parallel()
	s := newPlatformSite(t)
	fronts := []*testFront{s.front(), s.front()}
	s.store.Put("keyed.servers", "shop-1", nil)
	s.store.Put("keyed.servers", "shop-2", nil)
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(conn).ReadString('\n')
			_ = l.Close()
			_ = conn.Close()
		}()
		s.announce(fmt.Sprintf("crash-%d", i), "shop", l.Addr().String(), "ready")
		require.Eventually(t, func() bool {
			status, _, _, err := fronts[0].ask(t, http.MethodPost, "/pay/1", fmt.Sprintf("try-%d", i), "deadly")
			return err == nil && status == 502
		}, patience, 50*time.Millisecond)
		s.store.Put("keyed.servers", fmt.Sprintf("crash-%d", i), nil)
	}
	w := s.worker("shop-9", "shop", false)
	for _, f := range fronts {
		require.Eventually(t, func() bool {
			status, _, body, err := f.ask(t, http.MethodPost, "/pay/1", "again", "deadly")
			return err == nil && status == 503 && strings.Contains(body, "crashed")
		}, patience, 20*time.Millisecond)
		require.Eventually(t, func() bool {
			status, _, _, err := f.ask(t, http.MethodPost, "/pay/1", "other", "harmless")
			return err == nil && status == 200
		}, patience, 20*time.Millisecond)
	}
	for _, run := range w.Runs() {
		require.Equal(t, "harmless", run.Body)
	}
}
