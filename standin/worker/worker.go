// Package worker is a fake endpoint of the platform for tests: a model engine that
// streams events, or a service that sends a single response. It simulates failures and
// records the requests that it executes.
package worker

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Behavior is the way a worker responds to requests.
type Behavior uint8

// Behaviors that a test can set.
const (
	// Healthy executes requests and sends valid responses.
	Healthy Behavior = iota
	// Overloaded refuses requests with status 503 and the header Not-Executed, without
	// executing them.
	Overloaded
	// TruncatedResponse closes the connection in the middle of the response. A stream
	// that resumes after its first event is complete.
	TruncatedResponse
	// WrongRequestID sends a response with the identifier of another request.
	WrongRequestID
	// MissingStamp sends a response without the header Response-Stamp, the signature of
	// the endpoint.
	MissingStamp
	// UnrequestedEncoding sends a response whose Content-Encoding the request did not
	// accept.
	UnrequestedEncoding
)

// Execution is a request that a worker executed.
type Execution struct {
	// RequestID is the value of the header Request-Id.
	RequestID string
	// Method and Path are the method and the unmodified target of the request; Path
	// includes the query.
	Method, Path string
	Body         string
	Header       http.Header
}

// Worker is a fake endpoint. It is an http.Handler and is safe for concurrent use.
type Worker struct {
	// instanceID is the only value of the header Expect-Instance that is accepted, besides
	// none.
	instanceID string
	// streaming selects responses that are streams of eventCount events.
	streaming bool
	// mu guards the fields below it but eventCount.
	mu         sync.Mutex
	behavior   Behavior
	executions []Execution
	// limit is the value of the header Server-Limit in all responses, empty for none.
	limit string
	// leaving is set once all responses say that the worker leaves.
	leaving bool
	// arrivals holds when each request arrived, also those that were refused.
	arrivals []time.Time
	// version is appended to the data of each event, after a space; empty for none.
	version string
	// eventCount is the number of events in a complete stream.
	eventCount int
	// lastEventGate delays the last event of each stream until it is closed; nil for no
	// delay.
	lastEventGate chan struct{}
	// respond sends the responses to executed requests in place of the behavior; nil for
	// none.
	respond func(out http.ResponseWriter, r *http.Request, body string)
}

// New returns a healthy worker. With streaming, it responds as a model engine does, with
// a stream of three events, and otherwise as a service does, with a single body.
func New(instanceID string, streaming bool) *Worker {
	return &Worker{instanceID: instanceID, streaming: streaming, eventCount: 3}
}

// SetBehavior sets the way the worker responds to later requests.
func (w *Worker) SetBehavior(b Behavior) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.behavior = b
}

// SetLimit sets the rate limit that all later responses name, in requests per second; an
// empty one ends it. The worker itself does not enforce the limit.
func (w *Worker) SetLimit(perSecond string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = perSecond
}

// Leave makes all later responses say that the worker leaves. It goes on to execute requests.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// SetVersion sets the software version that the data of all later events names.
func (w *Worker) SetVersion(version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
}

// RespondWith makes a function send the responses to all later requests that are executed.
// The headers that every response has are set before it is called.
func (w *Worker) RespondWith(respond func(out http.ResponseWriter, r *http.Request, body string)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.respond = respond
}

// Arrivals returns when each request arrived so far. Refused requests are included.
func (w *Worker) Arrivals() []time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]time.Time(nil), w.arrivals...)
}

// HoldLastEvent delays the last event of all later streams until the returned function
// is called. The function must be called at most once.
func (w *Worker) HoldLastEvent() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	lastEventGate := make(chan struct{})
	w.lastEventGate = lastEventGate
	return func() { close(lastEventGate) }
}

// Executions returns the requests executed so far. Refused requests are not included.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Execution(nil), w.executions...)
}

// ServeHTTP executes a request or refuses it. A request that expects another instance is
// refused with status 421.
func (w *Worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	behavior, lastEventGate, suffix := w.behavior, w.lastEventGate, ""
	if w.version != "" {
		suffix = " " + w.version
	}
	w.arrivals = append(w.arrivals, time.Now())
	h := out.Header()
	if w.limit != "" {
		h.Set("Server-Limit", w.limit)
	}
	if w.leaving {
		h.Set("Server-Leaving", "1")
	}
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.instanceID {
		w.mu.Unlock()
		h.Set("Instance-Id", w.instanceID)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if behavior == Overloaded {
		w.mu.Unlock()
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	respond := w.respond
	w.executions = append(w.executions, Execution{RequestID: r.Header.Get("Request-Id"), Method: r.Method, Path: r.RequestURI, Body: string(body), Header: r.Header.Clone()})
	w.mu.Unlock()
	if respond != nil {
		h.Set("Response-Stamp", "stamp-"+w.instanceID)
		respond(out, r, string(body))
		return
	}
	switch behavior {
	case WrongRequestID:
		h.Set("Request-Id", "0000000000000000")
	case UnrequestedEncoding:
		h.Set("Content-Encoding", "br")
	}
	if behavior != MissingStamp {
		h.Set("Response-Stamp", "stamp-"+w.instanceID)
	}
	if w.streaming {
		w.serveStream(out, r, behavior, lastEventGate, suffix)
		return
	}
	text := "answer of " + w.instanceID + " to " + r.Header.Get("Request-Id")
	h.Set("Content-Length", fmt.Sprint(len(text)))
	if behavior == TruncatedResponse {
		_, _ = io.WriteString(out, text[:5])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(out, text)
}

// serveStream sends the events that follow the one named by the header Last-Event-Id, or
// all events if there is none. suffix is appended to their data.
func (w *Worker) serveStream(out http.ResponseWriter, r *http.Request, behavior Behavior, lastEventGate chan struct{}, suffix string) {
	out.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	lastEventID := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &lastEventID)
	for eventID := lastEventID + 1; eventID <= w.eventCount; eventID++ {
		if eventID == w.eventCount && lastEventGate != nil {
			select {
			case <-lastEventGate:
			case <-r.Context().Done():
				return
			}
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: word%d%s\n\n", eventID, eventID, suffix)
		_ = controller.Flush()
		if behavior == TruncatedResponse && eventID == 1 {
			_, _ = io.WriteString(out, "id: 2\nda")
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
	}
}
