package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the Request-Id of a client attempt.
func newID(prefix string) string { return fmt.Sprintf("%s%08x", prefix, lastID.Add(1)) }

// answer is what a client got for an attempt; status is 0 if the connection ended without a whole answer.
type answer struct {
	status int
	body   string
	stamp  string
	took   time.Duration
	err    error
}

// ask sends one request on a connection of its own and reads the whole answer.
func ask(f *front, method, path string, header map[string]string, body io.Reader, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.callers+path, body)
	if err != nil {
		return answer{err: err}
	}
	r.Host = host
	for name, value := range header {
		r.Header.Set(name, value)
	}
	began := time.Now()
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, body: string(data), stamp: response.Header.Get("Response-Stamp"), took: time.Since(began), err: err}
	if err != nil {
		a.status = 0
	}
	return a
}

// served reports whether the client has a worker's whole success.
func (a answer) served() bool { return a.err == nil && a.status == http.StatusOK && a.stamp != "" }

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer after %d ms: %v", a.took.Milliseconds(), a.err)
	}
	if a.served() {
		return fmt.Sprintf("200 after %d ms, %d bytes", a.took.Milliseconds(), len(a.body))
	}
	return fmt.Sprintf("%d after %d ms: %.160s", a.status, a.took.Milliseconds(), strings.TrimSpace(a.body))
}
