package daemon_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavendervale/lavendervale/daemon"
)

const (
	// beatInterval is the time between two heartbeats of a departing endpoint. It is far below
	// heartbeatSetting, so that a busy machine delays none for too long.
	beatInterval, heartbeatSetting = 100 * time.Millisecond, time.Second
	// shortDrain is over once the entry of an endpoint has been read; longDrain outlasts a test.
	shortDrain, longDrain = time.Millisecond, time.Minute
	firstEvent, lastEvent = "id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n"
)

// departingEndpoint answers one request without a length or chunks.
type departingEndpoint struct {
	site        *platformSite
	id, service string
	listener    net.Listener
	// conns receives the connection of the request, after its head and the first part of the response.
	conns chan net.Conn
	// state is what heartbeats say; empty stops them.
	state atomic.Value
}

// startDepartingEndpoint starts the only endpoint of a service.
func (s *platformSite) startDepartingEndpoint(t *testing.T, service, head, firstPart string) *departingEndpoint {
	for _, id := range map[string][]string{"llm": {"engine-1", "engine-2"}, "shop": {"shop-1", "shop-2"}}[service] {
		s.store.Put("keyed.servers", id, nil)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &departingEndpoint{site: s, id: "departing", service: service, listener: l, conns: make(chan net.Conn, 1)}
	e.state.Store("ready")
	// A front that starts has to find the entry.
	e.announce(1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = l.Close()
	})
	go e.serve(head, firstPart)
	go e.beat(ctx)
	return e
}

func (e *departingEndpoint) serve(head, firstPart string) {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(conn))
			if err != nil {
				_ = conn.Close()
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s: s\r\n%s\r\n%s", r.Header.Get("Request-Id"), stampKey, head, firstPart)
			e.conns <- conn
		}()
	}
}

// beat writes the entry until ctx ends.
func (e *departingEndpoint) beat(ctx context.Context) {
	for seq := 2; ctx.Err() == nil; seq++ {
		time.Sleep(beatInterval)
		e.announce(seq)
	}
}

// announce writes the entry, unless heartbeats have stopped.
func (e *departingEndpoint) announce(seq int) {
	if state := e.state.Load().(string); state != "" {
		e.site.store.Put("keyed.servers", e.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","version":"v1","slots":4,"state":%q,"cold_left_ms":0,"seq":%d}`, e.service, e.listener.Addr(), state, seq))
	}
}

// TestUnframedResponsesOfEndpointsThatLeave guards against whole responses that are cut off, and turns that are not kept,
// because an endpoint that leaves has closed its port before it ends them; and against parts that are taken for whole
// because an endpoint that leaves crashes.
func TestUnframedResponsesOfEndpointsThatLeave(t *testing.T) {
	const streamHead, plainHead = "Content-Type: text/event-stream\r\n", "Content-Type: text/plain\r\n"
	tests := []struct {
		name                           string
		path, service, head, part, end string
		// removed is set if the entry is removed in place of one that says draining.
		removed bool
		drain   time.Duration
		// crash ends the connection before end is sent, and the heartbeats.
		crash bool
		// openPort leaves the port open until the connection ends.
		openPort bool
	}{
		{name: "kept stream", path: "/chat/1", service: "llm", head: streamHead, part: firstEvent, end: lastEvent, drain: shortDrain},
		{name: "kept stream, entry gone", path: "/chat/1", service: "llm", head: streamHead, part: firstEvent, end: lastEvent, drain: shortDrain, removed: true},
		{name: "payment", path: "/pay/1", service: "shop", head: plainHead, part: "pa", end: "id", drain: shortDrain},
		{name: "payment, entry gone", path: "/pay/1", service: "shop", head: plainHead, part: "pa", end: "id", drain: shortDrain, removed: true},
		{name: "kept stream, crash after the port is closed", path: "/chat/1", service: "llm", head: streamHead, part: firstEvent, end: lastEvent, drain: shortDrain, crash: true},
		{name: "payment, crash after the port is closed", path: "/pay/1", service: "shop", head: plainHead, part: "pa", end: "id", drain: shortDrain, crash: true},
		{name: "kept stream, crash with an open port", path: "/chat/1", service: "llm", head: streamHead, part: firstEvent, end: lastEvent, drain: shortDrain, crash: true, openPort: true},
		{name: "kept stream, crash before it can have left", path: "/chat/1", service: "llm", head: streamHead, part: firstEvent, end: lastEvent, drain: longDrain, crash: true},
		{name: "payment, crash before it can have left, entry gone", path: "/pay/1", service: "shop", head: plainHead, part: "pa", end: "id", drain: longDrain, crash: true, removed: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newPlatformSite(t)
			core, logs := observer.New(zap.InfoLevel)
			s.logger = zap.New(core)
			e := s.startDepartingEndpoint(t, test.service, test.head, test.part)
			f := s.startFrontWith(t, daemon.FrontConfig{DrainTime: test.drain, HeartbeatInterval: heartbeatSetting})
			type answer struct {
				status int
				body   string
				err    error
			}
			answers := make(chan answer, 1)
			go func() {
				status, _, body, err := f.send(t, http.MethodPost, test.path, "r", "x")
				answers <- answer{status, body, err}
			}()
			var conn net.Conn
			select {
			case conn = <-e.conns:
			case got := <-answers:
				require.Fail(t, "the request does not reach the endpoint", "%d %q %v", got.status, got.body, got.err)
			}
			line := "endpoint changed"
			if test.removed {
				e.state.Store("")
				line = "endpoint entry gone"
				time.Sleep(2 * beatInterval)
				s.store.Put("keyed.servers", e.id, nil)
			} else {
				e.state.Store("draining")
			}
			require.Eventually(t, func() bool {
				for _, entry := range logs.FilterMessage(line).FilterField(zap.String("endpoint", e.id)).All() {
					if test.removed || entry.ContextMap()["draining"] == true {
						return true
					}
				}
				return false
			}, eventuallyTimeout, 10*time.Millisecond)
			time.Sleep(shortDrain)
			if !test.openPort {
				require.NoError(t, e.listener.Close())
			}
			if test.crash {
				e.state.Store("")
				_ = e.listener.Close()
			} else {
				_, err := io.WriteString(conn, test.end)
				require.NoError(t, err)
			}
			require.NoError(t, conn.Close())
			got := <-answers
			if test.crash {
				require.False(t, got.err == nil && got.status == http.StatusOK, "%d %q", got.status, got.body)
				return
			}
			require.NoError(t, got.err)
			require.Equal(t, http.StatusOK, got.status)
			require.Equal(t, test.part+test.end, got.body)
			require.Zero(t, logs.FilterMessage("endpoint crashed while it ran a request").Len())
			if test.service == "llm" {
				s.startEngine("engine-3", "v1")
				require.Eventually(t, func() bool {
					status, _, _, _ := f.send(t, http.MethodPost, test.path, fmt.Sprint("next-", time.Now().UnixNano()), "y", "Previous-Turn", "r")
					return status == http.StatusOK
				}, eventuallyTimeout, 10*time.Millisecond)
			}
		})
	}
}

// startFrontWith starts a front with some settings of its own, and waits until it is ready.
func (s *platformSite) startFrontWith(t *testing.T, c daemon.FrontConfig) *testFront {
	c.Name, c.Domain, c.CallerAddress, c.ReadyAddress, c.PeerAddress = "front-1", "a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	c.StoreAddress, c.Shards, c.Processors, c.GracePeriod, c.Logger = s.storeAddress, siteShards, 1, 4*time.Second, s.logger
	f, err := daemon.NewFront(c)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	running := &testFront{callerAddress: f.CallerAddress(), readyAddress: f.ReadyAddress(), stop: cancel, done: make(chan error, 1)}
	go func() { running.done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-running.done
	})
	running.waitUntilReady(t)
	return running
}
