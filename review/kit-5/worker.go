package main

import (
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
	id, service, address string
	slots                int
	// events and gap are the length of a stream and the time between its events.
	events   int
	gap      time.Duration
	record   *record
	mu       sync.Mutex
	running  int
	started  time.Time
	maxConns int
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

// shortened returns an identifier that fits a line of the record.
func shortened(id string) string {
	if len(id) > 40 {
		return id[:12] + strings.Repeat(".", 3) + strconv.Itoa(len(id))
	}
	return id
}
