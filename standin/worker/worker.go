// Package worker stands for an endpoint of the platform: a model engine that
// streams events, or a plain service.
package worker

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Behaviour is how a worker treats the next requests.
type Behaviour uint8

// Behaviours of a worker.
const (
	// Sound workers answer.
	Sound Behaviour = iota
	// Full workers refuse without running the request.
	Full
	// Breaking workers end the connection in the middle of the answer.
	Breaking
	// Foreign workers answer another request before the one that was sent.
	Foreign
	// Unsigned workers answer without their signature.
	Unsigned
	// Encoded workers answer with an encoding that nobody asked for.
	Encoded
)

// Run is a request that a worker ran.
type Run struct {
	// Request is the identifier of the caller's attempt.
	Request string
	// Method and Path are as they came.
	Method, Path string
	// Body is the whole body.
	Body string
	// Header is the whole head.
	Header http.Header
}

// Worker is an endpoint.
type Worker struct {
	id     string
	engine bool
	mu     sync.Mutex
	how    Behaviour
	runs   []Run
	events int
	gate   chan struct{}
}

// New returns a worker; engines stream events.
func New(id string, engine bool) *Worker { return &Worker{id: id, engine: engine, events: 3} }

// Set changes how the worker treats requests from now on.
func (w *Worker) Set(b Behaviour) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.how = b
}

// Hold makes streams wait before their last event until the returned function is called.
func (w *Worker) Hold() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	gate := make(chan struct{})
	w.gate = gate
	return func() { close(gate) }
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// ServeHTTP runs one request.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	how, gate := w.how, w.gate
	h := out.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		w.mu.Unlock()
		h.Set("Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if how == Full {
		w.mu.Unlock()
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.runs = append(w.runs, Run{Request: r.Header.Get("Request-Id"), Method: r.Method, Path: r.RequestURI, Body: string(body), Header: r.Header.Clone()})
	w.mu.Unlock()
	switch how {
	case Foreign:
		h.Set("Request-Id", "0000000000000000")
	case Encoded:
		h.Set("Content-Encoding", "br")
	}
	if how != Unsigned {
		h.Set("Response-Stamp", "stamp-"+w.id)
	}
	if w.engine {
		w.stream(out, r, how, gate)
		return
	}
	text := "answer of " + w.id + " to " + r.Header.Get("Request-Id")
	h.Set("Content-Length", fmt.Sprint(len(text)))
	if how == Breaking {
		_, _ = io.WriteString(out, text[:5])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, text)
}

// stream sends the events, from the one after the last that the caller has.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, how Behaviour, gate chan struct{}) {
	out.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(out)
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	for i := from + 1; i <= w.events; i++ {
		if i == w.events && gate != nil {
			select {
			case <-gate:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: word%d\n\n", i, i)
		_ = flush.Flush()
		if how == Breaking && i == 1 {
			_, _ = io.WriteString(out, "id: 2\nda")
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
	}
}
