package soak

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// plainBytes is the length of a plain answer, longBytes that of one to a request for longPath.
	plainBytes, longBytes = 800, 1 << 20
	longPath              = "/alert/long"
	// spoiled is the share of its answers that an endpoint in a mood spoils.
	spoiled = 0.4
)

// quietLog discards what servers log about broken connections.
var quietLog = log.New(io.Discard, "", 0)

// plainAnswer returns the body of a plain answer of a length.
func plainAnswer(endpoint, id string, length int) string {
	text := "answer of " + endpoint + " to " + id + " "
	return text + strings.Repeat("x", max(0, length-len(text)))
}

// isPlainAnswer reports whether a body is a whole plain answer to a request.
func isPlainAnswer(body, id string) bool {
	endpoint, _, ok := strings.Cut(strings.TrimPrefix(body, "answer of "), " to ")
	return ok && (body == plainAnswer(endpoint, id, plainBytes) || body == plainAnswer(endpoint, id, longBytes))
}

// response is how an endpoint answers a request.
type response struct {
	name, version string
	mood          mood
	// pace is the time to an event or to a plain answer.
	pace time.Duration
	// at tells where an answer is spoiled: an event, and a place in it.
	at, place float64
	// torn means that events are sent in two writes each.
	torn bool
	conn *endpointConn
}

// respond answers a request that the worker executes.
func (e *endpoint) respond(name, version string, out http.ResponseWriter, r *http.Request, body string) {
	at := time.Now()
	e.site.observer.ran(run{id: r.Header.Get("Request-Id"), endpoint: name, body: body, at: at, excused: e.excuses(at)})
	e.mu.Lock()
	a := response{name: name, version: version, conn: r.Context().Value(connKey{}).(*endpointConn)}
	if time.Now().Before(e.moodEnds) && e.random.Float64() < spoiled {
		a.mood = e.moodNow
	}
	a.pace = time.Duration(4+e.random.IntN(14)) * time.Millisecond
	if time.Now().Before(e.speedEnds) {
		a.pace = time.Duration(float64(a.pace) / e.speed)
	}
	a.at, a.place, a.torn = e.random.Float64(), e.random.Float64(), e.random.IntN(4) == 0
	e.mu.Unlock()
	if e.streaming {
		a.stream(out, r, body)
	} else {
		a.plain(out, r)
	}
}

// plain sends a plain answer.
func (a response) plain(out http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(3 * a.pace):
	case <-r.Context().Done():
		return
	}
	id := r.Header.Get("Request-Id")
	length := plainBytes
	if r.URL.Path == longPath {
		length = longBytes
	}
	text := plainAnswer(a.name, id, length)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: " + out.Header().Get("Response-Stamp") + "\r\n"
	switch a.mood {
	case moodBreak, moodCut:
		out.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(out, text[:int(a.place*float64(len(text)))])
		_ = http.NewResponseController(out).Flush()
		if a.mood == moodCut {
			_ = a.conn.SetLinger(0)
		}
		panic(http.ErrAbortHandler)
	case moodUnframed:
		if conn, _, err := http.NewResponseController(out).Hijack(); err == nil {
			_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+text)
			_ = conn.Close()
		}
		return
	case moodLate:
		a.conn.repeatLater(head+"Content-Length: "+strconv.Itoa(len(text))+"\r\n\r\n"+text, 5*a.pace)
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(out, text)
}

// stream sends the events that follow Last-Event-Id.
func (a response) stream(out http.ResponseWriter, r *http.Request, body string) {
	id, text := r.Header.Get("Request-Id"), textOf(body)
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	_, most, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(most)
	last := max(1, tokens/chunkTokens)
	brokenAt := after + 1 + int(a.at*float64(last-after))
	send, end := a.framed(out)
	if a.mood == moodUnframed {
		send, end = a.unframed(out, id)
	}
	var sent strings.Builder
	for event := after + 1; event <= last; event++ {
		select {
		case <-time.After(a.pace):
		case <-r.Context().Done():
			return
		}
		block := fmt.Sprintf("id: %d\ndata: %s\n\n", event, eventData(event, text, a.name+"/"+id, a.version))
		sent.WriteString(block)
		if event == brokenAt && (a.mood == moodBreak || a.mood == moodCut || a.mood == moodUnframed && a.place < 0.5) {
			// An answer without a frame that ends between two events would seem complete.
			part := min(1+int(a.place*float64(len(block)-2)), len(block)-2)
			if a.mood != moodUnframed && a.place < 0.3 {
				part = 0
			}
			send(block[:part])
			if a.mood == moodCut {
				_ = a.conn.SetLinger(0)
			}
			end(false)
			return
		}
		if a.torn {
			send(block[:len(block)/2])
			send(block[len(block)/2:])
			continue
		}
		send(block)
	}
	if a.mood == moodLate && after == 0 {
		a.conn.repeatLater(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", id, out.Header().Get("Response-Stamp"), sent.Len(), sent.String()), 5*a.pace)
	}
	end(true)
}

// framed returns functions that send a part of a chunked answer, and end it.
func (a response) framed(out http.ResponseWriter) (send func(string), end func(whole bool)) {
	out.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(out)
	send = func(part string) {
		_, _ = io.WriteString(out, part)
		_ = controller.Flush()
	}
	return send, func(whole bool) {
		if !whole {
			panic(http.ErrAbortHandler)
		}
	}
}

// unframed returns functions that send a part of an answer that ends with its connection, and
// end it.
func (a response) unframed(out http.ResponseWriter, id string) (send func(string), end func(whole bool)) {
	stamp := out.Header().Get("Response-Stamp")
	a.conn.mu.Lock()
	a.conn.unframed = true
	a.conn.mu.Unlock()
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return func(string) {}, func(bool) {}
	}
	send = func(part string) { _, _ = io.WriteString(conn, part) }
	send("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Stamp: " + stamp + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	return send, func(bool) { _ = conn.Close() }
}
