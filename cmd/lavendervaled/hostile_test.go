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
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/standin/store"
	"github.com/lavendervale/lavendervale/standin/worker"
)

const (
	// hostileMemoryMB is the memory of the smallest front of a deployment, in MiB.
	hostileMemoryMB = 88
	// crowd is the number of connections that a hostile client opens at once.
	crowd = 600
	// headLimit is the size of heads that the configuration permits, and legalHead that of the
	// heads that stay below it.
	headLimit, legalHead = 64 << 10, 60 << 10
	// endlessBytes is what one connection sends at most of something that has no end.
	endlessBytes = 2 << 20
	// ownDescriptors is what the front may have open beside the connections of the crowd.
	ownDescriptors = 64
	// writePatience bounds a write to a front that does not read.
	writePatience = 5 * time.Second
	// maxAttempts and attemptInterval bound the wait for the answer to an ordinary request.
	maxAttempts, attemptInterval = 120, 250 * time.Millisecond
)

var (
	portPatterns = map[string]*regexp.Regexp{}
	peakResident = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)
)

func init() {
	for _, port := range []string{"callers", "ready", "peers", "metrics"} {
		portPatterns[port] = regexp.MustCompile(`"` + port + `":"([0-9.:]+)"`)
	}
}

// hostileSite is a front as a process of its own before a simulated store and one endpoint.
type hostileSite struct {
	front     *child
	addresses map[string]string
	endpoint  *worker.Worker
}

func newHostileSite(t *testing.T) *hostileSite {
	s := &hostileSite{endpoint: worker.New("shop-1", false)}
	platformStore := store.New()
	storeServer, endpointServer := httptest.NewServer(platformStore), httptest.NewServer(s.endpoint)
	t.Cleanup(storeServer.Close)
	t.Cleanup(endpointServer.Close)
	configuration, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "look", "hostname": "chat.example", "path_prefix": "/look/", "kind": "safe", "timeout_ms": 60000, "service": "shop", "max_attempts": 2}},
		"services": []map[string]any{{"name": "shop", "max_conns": 50}},
		"limits":   map[string]any{"max_header_bytes": headLimit, "max_body_bytes": 65536, "header_timeout_ms": 30000, "idle_timeout_ms": 30000},
	})
	require.NoError(t, err)
	platformStore.Put("keyed.op", "config", configuration)
	platformStore.Put("keyed.servers", "shop-1", fmt.Appendf(nil,
		`{"service":"shop","address":%q,"zone":"a","version":"v1","slots":4,"state":"ready","cold_left_ms":0,"seq":1}`, strings.TrimPrefix(endpointServer.URL, "http://")))
	s.front, s.addresses = startFront(t, strings.TrimPrefix(storeServer.URL, "http://"), hostileMemoryMB)
	s.requireOrdinaryAnswer(t, "before the crowd")
	return s
}

// startFront runs a front before a store, and returns its process and its addresses by port.
func startFront(t *testing.T, storeAddress string, memoryMB int) (*child, map[string]string) {
	t.Helper()
	settings := regexp.MustCompile(`(?m)^memory = .*`).ReplaceAllString(exampleSettings(t, "front"), fmt.Sprint("memory = ", memoryMB))
	settings = strings.Replace(settings, "address = 127.0.0.1:8090", "address = "+storeAddress, 1)
	settings = strings.Replace(settings, "metrics = 127.0.0.1:0", "metrics = "+freeAddress(t), 1)
	front, addresses := startChild(t, writeSettings(t, settings)), map[string]string{}
	require.True(t, front.stdout.lines.Scan())
	for port, pattern := range portPatterns {
		address := pattern.FindStringSubmatch(front.stdout.lines.Text())
		require.Len(t, address, 2, front.stdout.lines.Text())
		addresses[port] = address[1]
	}
	go func() { _, _ = io.Copy(io.Discard, front.stdout.file) }()
	go func() { _, _ = io.Copy(io.Discard, front.stderr.file) }()
	return front, addresses
}

// freeAddress returns an address of loopback whose port is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, listener.Close()) }()
	return listener.Addr().String()
}

// requireOrdinaryAnswer requires that an ordinary request is served, by one of maxAttempts attempts.
func (s *hostileSite) requireOrdinaryAnswer(t *testing.T, when string) {
	t.Helper()
	client := http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	last := ""
	for range maxAttempts {
		request, err := http.NewRequest(http.MethodGet, "http://"+s.addresses["callers"]+"/look/1", nil)
		require.NoError(t, err)
		request.Host = "chat.example"
		request.Header.Set("Request-Id", "ordinary")
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
		} else {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
			last = response.Status + ": " + string(body)
		}
		require.True(t, s.alive(), "the front has ended %s", when)
		time.Sleep(attemptInterval)
	}
	t.Fatalf("an ordinary request was not served %s: %s", when, last)
}

// alive reports whether the process of the front has not ended.
func (s *hostileSite) alive() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.front.Process.Pid))
	return err == nil && !bytes.Contains(stat, []byte(") Z "))
}

// requireWithinBounds requires that the front lives and has stayed within its memory and descriptors.
func (s *hostileSite) requireWithinBounds(t *testing.T, connections int) {
	t.Helper()
	require.True(t, s.alive(), "the front has ended")
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.front.Process.Pid))
	require.NoError(t, err)
	peak := peakResident.FindSubmatch(status)
	require.Len(t, peak, 2)
	kilobytes, err := strconv.Atoi(string(peak[1]))
	require.NoError(t, err)
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.front.Process.Pid))
	require.NoError(t, err)
	t.Logf("at most %d kB resident, %d descriptors open", kilobytes, len(descriptors))
	require.LessOrEqual(t, kilobytes, hostileMemoryMB<<10, "resident memory")
	require.LessOrEqual(t, len(descriptors), connections+ownDescriptors, "open descriptors")
}

// attack opens the connections of a crowd, each of which sends something, and keeps them open until
// the returned function is called. The front may close them.
func attack(t *testing.T, address string, send func(w io.Writer, index int)) func() {
	t.Helper()
	var conns sync.Map
	var sending sync.WaitGroup
	for i := range crowd {
		sending.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			conns.Store(conn, true)
			_ = conn.SetWriteDeadline(time.Now().Add(writePatience))
			send(conn, i)
		})
	}
	sending.Wait()
	return func() {
		conns.Range(func(conn, _ any) bool {
			_ = conn.(net.Conn).Close()
			return true
		})
	}
}

// sendWithoutEnd sends a part again and again until the front closes or stops reading, or
// endlessBytes have been sent.
func sendWithoutEnd(w io.Writer, start, part string) {
	block := strings.Repeat(part, 16<<10/len(part)+1)
	_, err := io.WriteString(w, start)
	for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
		_, err = io.WriteString(w, block)
	}
}

// startOf returns a request line and the headers that every request has.
func startOf(method string, index int) string {
	return fmt.Sprintf("%s /look/%d HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: hostile-%d\r\n", method, index, index)
}

// repeatedLines returns header lines of a legal size in all.
func repeatedLines(line func(n int) string) string {
	var lines strings.Builder
	for n := 0; lines.Len() < legalHead; n++ {
		lines.WriteString(line(n))
	}
	return lines.String()
}

// TestHostileClientsDoNotExhaustAFront guards against a front that runs out of memory or
// descriptors, hangs or serves nobody else because of what clients send that keep to no limit.
func TestHostileClientsDoNotExhaustAFront(t *testing.T) {
	sameName := repeatedLines(func(int) string { return "a:\r\n" })
	distinctNames := repeatedLines(func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" })
	canonicalNames := repeatedLines(func(n int) string { return "A" + strconv.Itoa(n) + ": b\r\n" })
	tests := []struct {
		name, port string
		// hold makes the endpoint hold all requests until the crowd has sent its own.
		hold bool
		send func(w io.Writer, index int)
	}{
		{name: "lines of one name", port: "callers", send: func(w io.Writer, i int) { _, _ = io.WriteString(w, startOf("GET", i)+sameName+"\r\n") }},
		{name: "lines of distinct names", port: "callers", send: func(w io.Writer, i int) { _, _ = io.WriteString(w, startOf("GET", i)+distinctNames+"\r\n") }},
		{name: "lines of one name of requests that are held", port: "callers", hold: true, send: func(w io.Writer, i int) { _, _ = io.WriteString(w, startOf("GET", i)+sameName+"\r\n") }},
		{name: "lines of distinct names of requests that are held", port: "callers", hold: true, send: func(w io.Writer, i int) { _, _ = io.WriteString(w, startOf("GET", i)+distinctNames+"\r\n") }},
		{name: "lines of canonical names of requests that are held", port: "callers", hold: true, send: func(w io.Writer, i int) { _, _ = io.WriteString(w, startOf("GET", i)+canonicalNames+"\r\n") }},
		{name: "lines without names", port: "callers", send: func(w io.Writer, i int) {
			_, _ = io.WriteString(w, startOf("GET", i)+repeatedLines(func(int) string { return ":\r\n" })+"\r\n")
		}},
		{name: "half of a head", port: "callers", send: func(w io.Writer, i int) { _, _ = io.WriteString(w, startOf("GET", i)+sameName) }},
		{name: "half of a line", port: "callers", send: func(w io.Writer, i int) {
			_, _ = io.WriteString(w, startOf("GET", i)+"A: "+strings.Repeat("a", legalHead))
		}},
		{name: "head over the limit", port: "callers", send: func(w io.Writer, i int) {
			_, _ = io.WriteString(w, startOf("GET", i)+"A: "+strings.Repeat("a", 3*headLimit)+"\r\n\r\n")
		}},
		{name: "lines without end", port: "callers", send: func(w io.Writer, i int) { sendWithoutEnd(w, startOf("GET", i), "a:\r\n") }},
		{name: "line without end", port: "callers", send: func(w io.Writer, i int) { sendWithoutEnd(w, startOf("GET", i)+"A: ", "a") }},
		{name: "request line without end", port: "callers", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "GET /look/", "a") }},
		{name: "empty lines without end", port: "callers", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "", "\r\n") }},
		{name: "empty lines without end after a request", port: "callers", send: func(w io.Writer, i int) { sendWithoutEnd(w, startOf("GET", i)+"\r\n", "\r\n") }},
		{name: "chunk extension without end", port: "callers", send: func(w io.Writer, i int) {
			sendWithoutEnd(w, startOf("POST", i)+"Transfer-Encoding: chunked\r\n\r\n1;", "a")
		}},
		{name: "trailers without end", port: "callers", send: func(w io.Writer, i int) {
			sendWithoutEnd(w, startOf("POST", i)+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n")
		}},
		{name: "body that never arrives", port: "callers", send: func(w io.Writer, i int) {
			_, _ = io.WriteString(w, startOf("POST", i)+"Content-Length: 65536\r\n\r\n"+strings.Repeat("a", 65535))
		}},
		{name: "requests whose answers are not read", port: "callers", send: func(w io.Writer, i int) { sendWithoutEnd(w, "", startOf("GET", i)+"\r\n") }},
		{name: "lines without end", port: "ready", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "GET /api/ready HTTP/1.1\r\nHost: a\r\n", "a:\r\n") }},
		{name: "line without end", port: "ready", send: func(w io.Writer, _ int) {
			sendWithoutEnd(w, "GET /api/ready HTTP/1.1\r\nHost: a\r\nA: ", "a")
		}},
		{name: "empty lines without end", port: "ready", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "", "\r\n") }},
		{name: "lines without end", port: "metrics", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "GET /metrics HTTP/1.1\r\nHost: a\r\n", "a:\r\n") }},
		{name: "answers that are not read", port: "metrics", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n") }},
		{name: "bytes without end", port: "peers", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "", "a") }},
		{name: "zeros without end", port: "peers", send: func(w io.Writer, _ int) { sendWithoutEnd(w, "", "\x00") }},
	}
	for _, test := range tests {
		t.Run(test.port+" "+test.name, func(t *testing.T) {
			s := newHostileSite(t)
			release := make(chan struct{})
			if test.hold {
				s.endpoint.RespondWith(func(out http.ResponseWriter, _ *http.Request, body string) {
					<-release
					_, _ = io.WriteString(out, body)
				})
			}
			leave := attack(t, s.addresses[test.port], test.send)
			s.requireWithinBounds(t, crowd)
			close(release)
			s.requireOrdinaryAnswer(t, "beside the crowd")
			leave()
			s.requireOrdinaryAnswer(t, "after the crowd")
			s.requireWithinBounds(t, crowd)
		})
	}
}

// TestLargestLegalHeadIsServed guards against a bound on memory that refuses a single request
// inside the limits of the configuration.
func TestLargestLegalHeadIsServed(t *testing.T) {
	s := newHostileSite(t)
	for _, line := range []string{"a:\r\n", "A: b\r\n", "Longer-Name: with a value\r\n"} {
		head := startOf("GET", 1)
		for len(head)+len(line)+2 <= headLimit {
			head += line
		}
		conn, err := net.Dial("tcp", s.addresses["callers"])
		require.NoError(t, err)
		_, err = io.WriteString(conn, head+"\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "%d bytes of %q", len(head), line)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, conn.Close())
	}
	s.requireWithinBounds(t, 1)
}
