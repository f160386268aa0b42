package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// host is the host of all routes.
	host = "soak.example"
	// dialTimeout bounds the time of a caller to connect.
	dialTimeout = time.Second
	// answerSlack is how much longer than its deadline a caller waits for an answer.
	answerSlack = time.Second
	// maxAnswerBytes bounds the part of an answer that a caller keeps.
	maxAnswerBytes = 4 << 20
)

// request is an attempt of a caller.
type request struct {
	method, path, body string
	deadline           time.Duration
	header             map[string]string
}

// answer is what a caller received for a request.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	// err is set if the answer did not come or is not complete.
	err error
	// process names the process that answered, or is empty if that is not certain.
	process string
	ended   time.Time
}

// served reports whether the answer is a complete success.
func (a answer) served() bool { return a.err == nil && a.status/100 == 2 }

// callerConn is an open connection of a caller to a front.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	// process names the process that accepted the connection.
	process string
}

// caller sends requests one after the other and keeps its connections to the fronts open until
// they fail.
type caller struct {
	site  *site
	conns map[int]*callerConn
}

// lastID makes the IDs of requests different.
var lastID atomic.Int64

func newID() string { return fmt.Sprintf("9c41d07b%08x", lastID.Add(1)) }

// send sends a request to a front and reads the whole answer. a tells what the endpoints may do
// with it.
func (c *caller) send(kind string, front int, r request, a attempt) answer {
	got := answer{id: newID()}
	if a.body == "" {
		a.body = r.body
	}
	c.site.observer.sent(got.id, a)
	conn, err := c.connect(front)
	if err == nil {
		got.process = conn.process
		err = conn.exchange(r, &got)
	}
	got.err, got.ended = err, time.Now()
	if conn != nil && (err != nil || got.header.Get("Connection") == "close") {
		_ = conn.Close()
		delete(c.conns, front)
	}
	c.site.observer.answered(kind, got, !a.improper)
	return got
}

// connect returns the open connection to a front, or a new one.
func (c *caller) connect(front int) (*callerConn, error) {
	if conn := c.conns[front]; conn != nil {
		return conn, nil
	}
	f := c.site.fronts[front]
	before := f.currentName()
	conn, err := net.DialTimeout("tcp", f.callers, dialTimeout)
	if err != nil {
		return nil, err
	}
	open := &callerConn{Conn: conn, reader: bufio.NewReader(conn)}
	if before == f.currentName() {
		open.process = before
	}
	c.conns[front] = open
	return open, nil
}

// close closes all connections.
func (c *caller) close() {
	for front, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, front)
	}
}

// exchange sends a request and reads its answer into got.
func (c *callerConn) exchange(r request, got *answer) error {
	if err := c.SetDeadline(time.Now().Add(r.deadline + answerSlack)); err != nil {
		return err
	}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", r.method, r.path, host, got.id, r.deadline.Milliseconds(), len(r.body))
	for name, value := range r.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if _, err := io.WriteString(c, head.String()+"\r\n"+r.body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return err
	}
	got.status, got.header = resp.StatusCode, resp.Header
	if resp.Close {
		got.header.Set("Connection", "close")
	}
	body := &strings.Builder{}
	n, err := io.Copy(body, io.LimitReader(resp.Body, maxAnswerBytes))
	got.body = body.String()
	if err == nil && n == maxAnswerBytes {
		err = errors.New("answer without end")
	}
	return err
}
