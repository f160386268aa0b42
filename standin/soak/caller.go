package soak

import (
	"bufio"
	"cmp"
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
	// slowReadBytes is what a caller that reads slowly takes at once, and the size of its receive buffer.
	slowReadBytes = 4 << 10
	// usualCustomer has no quota; floodCustomer has one of floodRate requests a second.
	usualCustomer, floodCustomer, floodRate = "usual", "flood", 80.0
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
	// key is the key of the customer.
	key string
}

// keyOf returns the key of a customer.
func keyOf(customer string) string { return "key-" + customer }

// caller sends requests one after the other and keeps its connections to the fronts open until
// they fail.
type caller struct {
	site  *site
	conns map[int]*callerConn
	// customer is the customer that the caller belongs to, usualCustomer if it is empty.
	customer string
	// readPause is the time before each read of slowReadBytes, zero for a caller that reads at once.
	readPause time.Duration
}

// pacedConn reads slowly.
type pacedConn struct {
	net.Conn
	pause time.Duration
}

// Read reads at most slowReadBytes after a pause.
func (c pacedConn) Read(b []byte) (int, error) {
	time.Sleep(c.pause)
	return c.Conn.Read(b[:min(len(b), slowReadBytes)])
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
	if c.readPause > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(slowReadBytes)
		conn = pacedConn{conn, c.readPause}
	}
	open := &callerConn{Conn: conn, reader: bufio.NewReader(conn), key: keyOf(cmp.Or(c.customer, usualCustomer))}
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
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n", r.method, r.path, host, c.key, got.id, r.deadline.Milliseconds(), len(r.body))
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
