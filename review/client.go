package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	method, path, body string
	deadline           time.Duration
	header             map[string]string
}

// answer is what a client got for an attempt.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// err is set if the answer did not come or is not complete.
	err  error
	took time.Duration
}

// served reports whether the answer is a complete success with a signature.
func (a answer) served() bool {
	return a.err == nil && a.status/100 == 2 && a.header.Get("Response-Stamp") != ""
}

func (a answer) String() string {
	text := fmt.Sprintf("%s status=%d bytes=%d took=%dms", a.id, a.status, len(a.body), a.took.Milliseconds())
	if a.err != nil {
		text += " incomplete: " + a.err.Error()
	} else if a.status/100 != 2 {
		text += " " + strings.TrimSpace(a.body)
	}
	return text
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("9c41d07b%08x", lastID.Add(1)) }

var client = &http.Client{Transport: &http.Transport{
	DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second,
	DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// send sends a request to a front and reads the whole answer.
func send(f *front, r request) answer { return sendNoted(f, r, func(string) {}) }

// sendNoted does the same, and calls note with the ID of the request before it is sent.
func sendNoted(f *front, r request, note func(id string)) answer { return sendVia(client, f, r, note) }

// sendVia does the same with a client of its own.
func sendVia(client *http.Client, f *front, r request, note func(id string)) answer {
	a := answer{id: newID()}
	note(a.id)
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+f.callers+r.path, bytes.NewReader([]byte(r.body)))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		a.err, a.took = err, time.Since(started)
		return a
	}
	defer resp.Body.Close()
	a.status, a.header = resp.StatusCode, resp.Header
	body := &countingBuffer{}
	_, a.err = io.Copy(body, resp.Body)
	a.body, a.took = body.String(), time.Since(started)
	return a
}

// countingBuffer keeps the first bytes of an answer.
type countingBuffer struct{ bytes.Buffer }

// maxKept bounds the bytes of an answer that a client keeps.
const maxKept = 4 << 20

func (b *countingBuffer) Write(p []byte) (int, error) {
	if b.Len() < maxKept {
		_, _ = b.Buffer.Write(p)
	}
	return len(p), nil
}

// ReadFrom hides that of bytes.Buffer, which keeps everything.
func (b *countingBuffer) ReadFrom(r io.Reader) (int64, error) {
	total := int64(0)
	part := make([]byte, 64<<10)
	for {
		n, err := r.Read(part)
		total += int64(n)
		_, _ = b.Write(part[:n])
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

// events returns the data of the events of a streamed body, each followed by a line feed.
func events(body string) string {
	var out strings.Builder
	for line := range strings.SplitSeq(body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			out.WriteString(data + "\n")
		}
	}
	return out.String()
}
