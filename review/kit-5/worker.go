package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a worker ran.
type run struct {
	Worker, ID, Path, Previous, After string
	// Bytes is the length of the body, and Body the body itself if it is short.
	Bytes int
	Body  string
}

// worker is a model worker or a plain service, as PROTOCOL.md has it.
type worker struct {
	id, service, address, zone string
	seq                        int
	slots                      int
	// events and gap are the length of a stream and the time between its events.
	events  int
	gap     time.Duration
	record  *record
	mu      sync.Mutex
	running int
	started time.Time
	// bare makes streams end with their connection, without a length or chunks.
	bare bool
	// server serves the worker's address, and state is what its entry says, or empty once it has left.
	server *http.Server
	state  string
	// told counts the streams that were sent to their end.
	told map[string]bool
}

// leave drains the worker: it says so in the store and in its answers, goes on serving for a while, and then
// takes no more connections. What it runs is finished.
func (v *worker) leave(s *site, serves time.Duration) {
	v.mu.Lock()
	v.state = "draining"
	v.mu.Unlock()
	s.beatOnce(v)
	s.record.logf("drain   %s", v.id)
	time.Sleep(serves)
	s.record.logf("stop    %s takes no more connections", v.id)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_ = v.server.Shutdown(ctx)
	for {
		v.mu.Lock()
		running := v.running
		v.mu.Unlock()
		if running == 0 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	v.mu.Lock()
	v.state = ""
	v.mu.Unlock()
	s.store.put("keyed.servers", v.id, nil)
	s.record.logf("gone    %s", v.id)
}

// ServeHTTP runs a request, or rejects it.
func (v *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", v.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Request-Id", id)
	v.mu.Lock()
	if v.state == "draining" {
		h.Set("Server-Leaving", "1")
	}
	v.mu.Unlock()
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != v.id {
		h.Set("Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	v.mu.Lock()
	if v.running >= v.slots+24 {
		v.mu.Unlock()
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	v.running++
	v.mu.Unlock()
	defer func() {
		v.mu.Lock()
		v.running--
		v.mu.Unlock()
	}()
	ran := run{Worker: v.id, ID: id, Path: r.RequestURI, Previous: r.Header.Get("Previous-Turn"), After: r.Header.Get("Last-Event-Id"), Bytes: len(body)}
	if len(body) <= 4096 {
		ran.Body = string(body)
	}
	v.record.ran(ran)
	h.Set("Response-Stamp", "stamp-"+v.id+"-"+shortened(id))
	if v.service != modelService {
		text := "done " + shortened(id)
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(ran.After)
	if v.bare {
		v.streamBare(w, r, id, after)
		return
	}
	flush := http.NewResponseController(w)
	for n := after + 1; n <= v.events; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(v.gap):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: w%d-%s\n\n", n, n, shortened(id))
		_ = flush.Flush()
	}
}

// streamBare sends a stream that ends with its connection.
func (v *worker) streamBare(w http.ResponseWriter, r *http.Request, id string, after int) {
	header := w.Header()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, values := range header {
		head += name + ": " + values[0] + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\n"); err != nil {
		return
	}
	for n := after + 1; n <= v.events; n++ {
		time.Sleep(v.gap)
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: w%d-%s\n\n", n, n, shortened(id)); err != nil {
			return
		}
	}
	v.mu.Lock()
	v.told[id] = true
	v.mu.Unlock()
	v.record.logf("end     %s has sent %s to its end", v.id, id)
}

// toldWhole reports whether the worker sent a stream to its end.
func (v *worker) toldWhole(id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.told[id]
}

// shortened returns an identifier that fits a line of the record.
func shortened(id string) string {
	if len(id) > 40 {
		return id[:12] + strings.Repeat(".", 3) + strconv.Itoa(len(id))
	}
	return id
}
