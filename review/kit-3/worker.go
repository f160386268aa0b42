package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is one request that a worker has run.
type run struct {
	at       time.Time
	worker   string
	id       string
	previous string
	after    string
	body     string
}

// worker is a stand-in of a model worker or of a plain service.
type worker struct {
	id, service, zone string
	slots             int
	stream            bool
	addr              string
	site              *site
	server            *http.Server
	mu                sync.Mutex
	running           int
	seq               int
	stopped           bool
}

const (
	workerQueue   = 24
	firstEvent    = 35 * time.Millisecond
	eventGap      = 20 * time.Millisecond
	engineTokens  = 90990
	tokensAnEvent = 13
)

func (s *site) newWorker(id, service, zone string, slots int, stream bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, slots: slots, stream: stream, addr: l.Addr().String(), site: s}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	return w, nil
}

func (w *worker) beat() {
	for {
		w.mu.Lock()
		if w.stopped {
			w.mu.Unlock()
			return
		}
		w.seq++
		seq := w.seq
		w.mu.Unlock()
		value, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready", "cold_left_ms": 0, "seq": seq,
			"born": w.site.born.UnixMilli(),
		})
		w.site.store.put("keyed.servers", w.id, value)
		time.Sleep(1200 * time.Millisecond)
	}
}

func (w *worker) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Request-Id")
	h := out.Header()
	h.Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	promptText, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	prompt, _ := strconv.Atoi(promptText)
	w.mu.Lock()
	if id == "" || w.running >= w.slots+workerQueue || prompt > engineTokens {
		w.mu.Unlock()
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.running++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.running--
		w.mu.Unlock()
	}()
	w.site.ran(run{at: time.Now(), worker: w.id, id: id, previous: r.Header.Get("Previous-Turn"), after: r.Header.Get("Last-Event-Id"), body: string(body)})
	h.Set("Response-Stamp", "stamp-"+w.id+"-"+id)
	if !w.stream {
		time.Sleep(20 * time.Millisecond)
		text := "answer of " + w.id + " to " + id
		h.Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(out, text)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(out)
	wait := firstEvent
	for n := after + 1; n <= w.site.events; n++ {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return
		}
		wait = eventGap
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, eventData(string(body), n))
		if control.Flush() != nil {
			return
		}
	}
}

// eventData is the data of an event; it depends on the prompt, so that histories can be told apart.
func eventData(prompt string, n int) string {
	sum := uint32(2166136261)
	for i := range len(prompt) {
		sum = (sum ^ uint32(prompt[i])) * 16777619
	}
	return fmt.Sprintf("word-%08x-%d", sum, n)
}
