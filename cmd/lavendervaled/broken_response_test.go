package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/standin/raw"
	"github.com/lavendervale/lavendervale/standin/store"
)

const (
	// chainMemoryMB is the memory of a front in a chain, in MiB.
	chainMemoryMB = 256
	// longUpload is more than the buffers of a connection hold whose receiver does not read.
	longUpload, shortUpload = 8 << 20, 1 << 10
	// chainDeadline is how long a client waits for a response.
	chainDeadline = 10 * time.Second
	// wholeHead and streamHead begin valid responses of an endpoint.
	wholeHead  = "HTTP/1.1 200 OK\r\nRequest-Id: " + raw.RequestID + "\r\nResponse-Stamp: stamp\r\n"
	streamHead = wholeHead + "Content-Type: text/event-stream\r\n"
	// zeroHead begins a response whose status has no meaning.
	zeroHead = "HTTP/1.1 000 Error\r\nRequest-Id: " + raw.RequestID + "\r\nResponse-Stamp: stamp\r\n"
	// firstEvent is a whole stream.
	firstEvent = "id: 1\ndata: a\n\n"
)

// startChain runs fronts of which each is the only endpoint of the one before it, and returns the address
// of the first one. The last one sends to the endpoint at address.
func startChain(t *testing.T, fronts int, address string) string {
	t.Helper()
	route := func(name, kind string) map[string]any {
		return map[string]any{"name": name, "hostname": "chat.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": chainDeadline.Milliseconds(), "service": "shop", "max_attempts": 1}
	}
	configuration, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("plain", "unsafe"), route("stream", "streaming")},
		"services": []map[string]any{{"name": "shop", "max_conns": 50}},
		"limits":   map[string]any{"max_header_bytes": headLimit, "max_body_bytes": 2 * longUpload, "header_timeout_ms": 30000, "idle_timeout_ms": 30000},
	})
	require.NoError(t, err)
	for range fronts {
		platformStore := store.New()
		storeServer := httptest.NewServer(platformStore)
		t.Cleanup(storeServer.Close)
		platformStore.Put("keyed.op", "config", configuration)
		platformStore.Put("keyed.servers", "shop-1", fmt.Appendf(nil,
			`{"service":"shop","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, address))
		_, addresses := startFront(t, strings.TrimPrefix(storeServer.URL, "http://"), chainMemoryMB)
		address = addresses["callers"]
	}
	return address
}

// received is what a client gets for a request: all bytes until the end of the connection, and the
// response in them, if it is whole.
type received struct {
	bytes  []byte
	status int
	header http.Header
	body   string
	whole  bool
}

// sendThrough sends a request with a body of a length through a chain. Requests that have not reached the
// endpoint are sent again.
func sendThrough(t *testing.T, chain string, endpoint *raw.Server, path string, length int) received {
	t.Helper()
	for range maxAttempts {
		before := endpoint.RequestCount()
		got := sendRaw(t, chain, path, length)
		if endpoint.RequestCount() > before {
			return got
		}
		time.Sleep(attemptInterval)
	}
	t.Fatal("no request has reached the endpoint")
	return received{}
}

// sendRaw sends a request and reads what comes back.
func sendRaw(t *testing.T, address, path string, length int) received {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(2*chainDeadline)))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: r\r\nDeadline-Ms: %d\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", path, chainDeadline.Milliseconds(), length)
	_, err = io.WriteString(conn, head+strings.Repeat("a", length))
	require.NoError(t, err)
	var got received
	// A connection that is reset ends the response as well.
	got.bytes, err = io.ReadAll(conn)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	reader := bufio.NewReader(bytes.NewReader(got.bytes))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return got
	}
	body, err := io.ReadAll(response.Body)
	after, _ := io.ReadAll(reader)
	require.Empty(t, after, "bytes after the response")
	got.status, got.header, got.body = response.StatusCode, response.Header, string(body)
	got.whole = err == nil && (response.ContentLength >= 0 || len(response.TransferEncoding) > 0)
	return got
}

// TestBrokenResponsesDoNotReachClients guards against fronts that pass on a response that its endpoint has
// not finished, and against fronts that take a sound one for broken.
func TestBrokenResponsesDoNotReachClients(t *testing.T) {
	const refusal = "HTTP/1.1 413 Content Too Large\r\nRequest-Id: " + raw.RequestID + "\r\nResponse-Stamp: stamp\r\n"
	tests := []struct {
		name, path string
		response   raw.Response
		// status and body are those of a response that reaches the client. Status 0 stands for a broken one,
		// in place of which the client gets an error of the front or a response that breaks off.
		status int
		body   string
	}{
		{name: "no length, reset", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "\r\npart", Ending: raw.Reset}},
		{name: "no length, reset later", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "\r\npart", Hold: 20 * time.Millisecond, Ending: raw.Reset}},
		{name: "no length, closed", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "\r\nwhole", Ending: raw.Close}, status: 200, body: "whole"},
		{name: "no length, closed with unread bytes", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "\r\nwhole", Ending: raw.CloseUnread}, status: 200, body: "whole"},
		{name: "length, reset", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "Content-Length: 5\r\n\r\nwhole", Ending: raw.Reset}, status: 200, body: "whole"},
		{name: "length, kept open", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "Content-Length: 5\r\n\r\nwhole"}, status: 200, body: "whole"},
		{name: "chunks, kept open", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}, status: 200, body: "whole"},
		{name: "refusal with a length, reset", path: "/plain/1", response: raw.Response{Bytes: refusal + "Content-Length: 5\r\n\r\nlarge", Ending: raw.Reset}, status: 413, body: "large"},
		{name: "refusal without a length, closed", path: "/plain/1", response: raw.Response{Bytes: refusal + "\r\nlarge", Ending: raw.Close}, status: 413, body: "large"},
		{name: "stream without a length, reset", path: "/stream/1", response: raw.Response{Bytes: streamHead + "\r\n" + firstEvent, Ending: raw.Reset}},
		{name: "stream without a length, reset later", path: "/stream/1", response: raw.Response{Bytes: streamHead + "\r\n" + firstEvent, Hold: 20 * time.Millisecond, Ending: raw.Reset}},
		{name: "stream without a length, closed", path: "/stream/1", response: raw.Response{Bytes: streamHead + "\r\n" + firstEvent, Ending: raw.Close}, status: 200, body: firstEvent},
		{name: "stream without a length, closed with unread bytes", path: "/stream/1", response: raw.Response{Bytes: streamHead + "\r\n" + firstEvent, Ending: raw.CloseUnread}, status: 200, body: firstEvent},
		{name: "status 000", path: "/plain/1", response: raw.Response{Bytes: zeroHead + "Content-Length: 5\r\n\r\nwhole"}},
		{name: "status 000, a response as its body", path: "/plain/1", response: raw.Response{Bytes: zeroHead + "\r\n" + wholeHead + "Content-Length: 5\r\n\r\ninner", Ending: raw.Close}},
		{name: "stream, status 000", path: "/stream/1", response: raw.Response{Bytes: zeroHead + "Content-Type: text/event-stream\r\n\r\n" + firstEvent, Ending: raw.Close}},
		{name: "stream, status 000, a stream as its body", path: "/stream/1", response: raw.Response{Bytes: zeroHead + "\r\n" + streamHead + "\r\n" + firstEvent, Ending: raw.Close}},
		{name: "blank in a name", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "Two Words: 1\r\nContent-Length: 5\r\n\r\nwhole"}},
		{name: "blank after the name of the length", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "Content-Length : 5\r\n\r\nwhole and more", Ending: raw.Close}},
		{name: "blank after the name of the transfer encoding", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Ending: raw.Close}},
		{name: "line that begins with a blank", path: "/plain/1", response: raw.Response{Bytes: wholeHead + " Content-Length: 5\r\n\r\nwhole and more", Ending: raw.Close}},
		{name: "control byte in a name", path: "/plain/1", response: raw.Response{Bytes: wholeHead + "Na\x01me: 1\r\nContent-Length: 5\r\n\r\nwhole"}},
		{name: "stream, blank in a name", path: "/stream/1", response: raw.Response{Bytes: streamHead + "Two Words: 1\r\n\r\n" + firstEvent, Ending: raw.Close}},
		{name: "stream, blank after the name of the transfer encoding", path: "/stream/1", response: raw.Response{Bytes: streamHead + "Transfer-Encoding : chunked\r\n\r\nf\r\n" + firstEvent + "\r\n0\r\n\r\n", Ending: raw.Close}},
		{name: "stream, line that begins with a blank", path: "/stream/1", response: raw.Response{Bytes: streamHead + " Name: 1\r\n\r\n" + firstEvent, Ending: raw.Close}},
		{name: "stream, control byte in a name", path: "/stream/1", response: raw.Response{Bytes: streamHead + "Na\x01me: 1\r\n\r\n" + firstEvent, Ending: raw.Close}},
		{name: "informational response", path: "/plain/1", response: raw.Response{Bytes: "HTTP/1.1 100 Continue\r\n\r\n" + wholeHead + "Content-Length: 5\r\n\r\nwhole"}, status: 200, body: "whole"},
	}
	for _, fronts := range []int{1, 2} {
		endpoint, err := raw.New(raw.Response{})
		require.NoError(t, err)
		t.Cleanup(func() { _ = endpoint.Close() })
		chain := startChain(t, fronts, endpoint.Address())
		for _, length := range []int{shortUpload, longUpload} {
			for _, test := range tests {
				t.Run(fmt.Sprintf("%d fronts, upload of %d bytes, %s", fronts, length, test.name), func(t *testing.T) {
					endpoint.SetResponse(test.response)
					got := sendThrough(t, chain, endpoint, test.path, length)
					if test.status == 0 {
						require.False(t, got.whole && (got.status < http.StatusInternalServerError || got.header.Get("Response-Stamp") != ""), "%q", got.bytes)
						return
					}
					require.True(t, got.whole, "%q", got.bytes)
					require.Equal(t, test.status, got.status)
					require.Equal(t, test.body, got.body)
					require.Equal(t, []string{"stamp"}, got.header["Response-Stamp"])
					require.Equal(t, []string{"r"}, got.header["Request-Id"])
				})
			}
		}
	}
}
