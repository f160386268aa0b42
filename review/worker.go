package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// chunkTokens is the number of tokens of an event.
	chunkTokens = 13
	// heartbeat is the time between two entries of a worker in the store.
	heartbeat = 1200 * time.Millisecond
	// maxQueued is how many requests a worker queues beyond its slots.
	maxQueued = 24
)

// execution is a request that a worker began to work on.
type execution struct {
	id, worker, path, body string
	at                     time.Time
}

// worker is a stand-in of a worker: a model worker that streams events, or a plain service.
type worker struct {
	id, service, zone, version string
	address                    string
	slots                      int
	streaming                  bool
	work                       time.Duration
	store                      *store
	born                       int64
	mu                         sync.Mutex
	state                      string
	seq                        int
	queued                     int
	runs                       []execution
	free                       chan struct{}
	server                     *http.Server
	// active holds the connections of the requests that run, with their programs.
	active map[net.Conn]string
	// away is set from a crash to the next incarnation.
	away bool
	// spoil answers a request in place of the worker, if it is set and returns true.
	spoil func(w http.ResponseWriter, r *http.Request) bool
}

func startWorker(s *store, id, service, zone string, slots int, streaming bool, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zone, version: "v1", address: listener.Addr().String(), slots: slots, streaming: streaming, work: work,
		store: s, born: time.Now().UnixMilli(), state: "ready", free: make(chan struct{}, slots),
		active: map[net.Conn]string{},
	}
	w.server = w.newServer()
	go func() { _ = w.server.Serve(listener) }()
	w.announce()
	go func() {
		for range time.Tick(heartbeat) {
			w.announce()
		}
	}()
	return w, nil
}

// announce writes the entry of the worker to the store.
func (w *worker) announce() {
	w.mu.Lock()
	if w.away {
		w.mu.Unlock()
		return
	}
	w.seq++
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state, "cold_left_ms": 0, "seq": w.seq, "born": w.born,
	})
	w.mu.Unlock()
	w.store.put("keyed.servers", w.id, entry)
}

// setState changes the state in the entry of the worker.
func (w *worker) setState(state string) {
	w.mu.Lock()
	w.state = state
	w.mu.Unlock()
	w.announce()
}

// restart begins a new incarnation of the worker under the same ID.
func (w *worker) restart() {
	w.mu.Lock()
	w.state, w.born, w.seq = "ready", time.Now().UnixMilli(), 0
	w.mu.Unlock()
	w.announce()
}

// reached reports whether the worker began to work on one of some requests.
func (w *worker) reached(ids map[string]bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := len(w.runs) - 1; i >= 0; i-- {
		if ids[w.runs[i].id] {
			return true
		}
	}
	return false
}

// lastBody returns the body of the request that began last.
func (w *worker) lastBody() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[len(w.runs)-1].body
}

// crash ends the worker, all its connections included, and starts a new incarnation at its address after a
// while. Its entry stays until then: a worker that crashes sends nothing.
func (w *worker) crash(away time.Duration) { w.crashInto(away, w.version) }

// crashInto does the same, with another software version of the new incarnation.
func (w *worker) crashInto(away time.Duration, version string) {
	w.mu.Lock()
	w.away = true
	server := w.server
	w.mu.Unlock()
	go func() {
		_ = server.Close()
		time.Sleep(away)
		listener, err := net.Listen("tcp", w.address)
		if err != nil {
			panic(err)
		}
		w.mu.Lock()
		w.away, w.version = false, version
		w.server = w.newServer()
		server := w.server
		w.mu.Unlock()
		w.restart()
		_ = server.Serve(listener)
	}()
}

// newServer returns a server that the requests' connections are known of.
func (w *worker) newServer() *http.Server {
	return &http.Server{Handler: w, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}}
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// resetFrom resets a share of the connections with a request whose program begins with a name.
func (w *worker) resetFrom(name string, share float64) (count int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn, program := range w.active {
		if strings.HasPrefix(program, name+"-") && rand.Float64() < share {
			reset(conn)
			count++
		}
	}
	return count
}

// executed returns the requests that the worker began to work on.
func (w *worker) executed() []execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]execution(nil), w.runs...)
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := out.Header()
	id := r.Header.Get("Request-Id")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Request-Id", id)
	w.mu.Lock()
	if w.queued >= w.slots+maxQueued {
		w.mu.Unlock()
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.queued++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.queued--
		w.mu.Unlock()
	}()
	select {
	case w.free <- struct{}{}:
		defer func() { <-w.free }()
	case <-r.Context().Done():
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, execution{id: id, worker: w.id, path: r.RequestURI, body: string(body), at: time.Now()})
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	w.active[conn] = r.Header.Get("Program-Id")
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.active, conn)
		w.mu.Unlock()
	}()
	if w.spoil != nil && w.spoil(out, r) {
		return
	}
	h.Set("Response-Stamp", "stamp."+w.id+"."+id)
	if w.streaming {
		w.stream(out, r)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	answer := answerOf(w.id, id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(out, answer)
}

// answerOf returns the body of a plain answer.
func answerOf(worker, id string) string {
	text := "answer of " + worker + " to " + id + " "
	return text + strings.Repeat("x", max(0, 800-len(text)))
}

// stream sends the events of a request after Last-Event-Id.
func (w *worker) stream(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	_, most, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(most)
	events := max(1, tokens/chunkTokens)
	for event := after + 1; event <= events; event++ {
		select {
		case <-time.After(w.work):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s\n\n", event, eventData(w.id+" version "+version, r.Header.Get("Request-Id"), event))
		_ = controller.Flush()
	}
}

// eventData returns the data of an event, about 95 bytes.
func eventData(worker, id string, event int) string {
	text := fmt.Sprintf("piece %d of %s at %s ", event, id, worker)
	return text + strings.Repeat("y", max(0, 95-len(text)))
}
