package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// workerQueue is how many requests a server queues beyond its slots, as the servers of the site do.
const workerQueue = 24

// worker is a sound server: a model engine that streams events, or a plain service.
type worker struct {
	id     string
	slots  int
	record *record
	// events and eventBytes are the length of a stream, and firstAfter and gap its pace.
	events, eventBytes int
	firstAfter, gap    time.Duration
	// work is the time of a plain answer; it is a plain service if events is 0.
	work time.Duration

	// waiting counts the requests that the server holds beyond its slots, running those in a slot.
	waiting, running, ran atomic.Int64
	mu                    sync.Mutex
	// places has a value for each slot in use; nil before the first request.
	places chan struct{}
	bodies map[string]string
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", w.id)
		return
	}
	w.mu.Lock()
	if w.places == nil {
		w.places = make(chan struct{}, w.slots)
	}
	w.mu.Unlock()
	waiting := w.waiting.Add(1)
	if waiting > workerQueue {
		w.waiting.Add(-1)
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case w.places <- struct{}{}:
		w.waiting.Add(-1)
	case <-r.Context().Done():
		w.waiting.Add(-1)
		return
	}
	w.running.Add(1)
	defer func() {
		w.running.Add(-1)
		<-w.places
	}()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.ran.Add(1)
	w.mu.Lock()
	if w.bodies == nil {
		w.bodies = map[string]string{}
	}
	w.bodies[id] = string(body)
	w.mu.Unlock()
	h.Set("Response-Stamp", "stamp-"+w.id)
	if w.events == 0 {
		time.Sleep(w.work)
		text := "answer of " + w.id + " to " + id + strings.Repeat(".", 700)
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(out, text)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	pause := w.firstAfter
	for n := 1; n <= w.events; n++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		pause = w.gap
		event := fmt.Sprintf("id: %d\ndata: word-%d ", n, n)
		event += strings.Repeat("x", max(0, w.eventBytes-len(event)-2)) + "\n\n"
		if _, err := io.WriteString(out, event); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}
