package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The engine of a model server: what it makes of each turn.
const (
	eventsPerTurn  = 6
	tokensPerEvent = 13
	eventGap       = 15 * time.Millisecond
	maxTurnTokens  = eventsPerTurn * tokensPerEvent
	heartbeat      = 1200 * time.Millisecond
)

// run is a request that a server began to work on.
type run struct {
	id, path, resumes, after string
	bodyBytes                int
	body                     []byte
}

// worker is a stand-in of a server of the platform.
type worker struct {
	id, service, address, zone string
	slots                      int
	streams                    bool
	server                     *http.Server
	record                     *record
	mu                         sync.Mutex
	runs                       []run
	busy                       int
	// keepBodies is set if runs hold whole bodies.
	keepBodies bool
}

// newWorker serves on a free port of an address and keeps its entry in the store up to date.
func newWorker(s *store, rec *record, ip, id, service, zone string, slots int, streams bool) (*worker, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, address: listener.Addr().String(), zone: zone, slots: slots, streams: streams, record: rec}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	go keepEntry(s, id, service, w.address, zone, slots)
	return w, nil
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", w.id)
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	refuse := func(status int) {
		h.Set("Not-Executed", "1")
		out.WriteHeader(status)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		refuse(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.busy >= w.slots+24 {
		w.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	w.busy++
	ran := run{id: id, path: r.URL.Path, resumes: r.Header.Get("Resumes"), after: r.Header.Get("Last-Event-Id"), bodyBytes: len(body)}
	if w.keepBodies {
		ran.body = body
	}
	w.runs = append(w.runs, ran)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.busy--
		w.mu.Unlock()
	}()
	w.record.printf("run %s at %s: %s %s, body of %d bytes, after event %q", id, w.id, r.Method, r.URL.Path, len(body), ran.after)
	h.Set("Response-Stamp", "stamp-"+w.id+"-"+id)
	if !w.streams {
		text := "done " + id + "\n"
		h.Set("Content-Length", strconv.Itoa(len(text)))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(out, text)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(ran.after)
	_, generated, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	most, _ := strconv.Atoi(strings.TrimSpace(generated))
	for n := first + 1; n <= eventsPerTurn && n*tokensPerEvent <= most; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, eventText(n))
		_ = http.NewResponseController(out).Flush()
	}
}

// eventText returns the data of an event.
func eventText(n int) string { return fmt.Sprintf("word-%d", n) }

// ranIDs returns how often each request began to run at some servers.
func ranIDs(workers []*worker) map[string]int {
	count := map[string]int{}
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			count[r.id]++
		}
		w.mu.Unlock()
	}
	return count
}
