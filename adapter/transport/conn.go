package transport

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// pastDeadline ends writes at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection on which a read returns io.EOF only if the peer has closed its side. The
// system reports a reset or a time-out once, to the first call that meets it. If that is a write,
// later reads see the end of the data, as after an orderly close.
type Conn struct {
	net.Conn
	// mu is held during writes and guards writeErr.
	mu sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
}

// NewConn returns a Conn that reads from and writes to conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. At the end of the data it ends writes, and returns the error of an
// earlier one if the connection broke.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// A write in progress may have met the reset, or wait for a peer that reads nothing more.
	_ = c.Conn.SetWriteDeadline(pastDeadline)
	c.mu.Lock()
	defer c.mu.Unlock()
	if isBreak(c.writeErr) {
		return n, c.writeErr
	}
	return n, io.EOF
}

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes buffers, with a single system call where possible.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

// recordWrite keeps the first error of a write. The caller holds mu.
func (c *Conn) recordWrite(err error) {
	if c.writeErr == nil {
		c.writeErr = err
	}
}

// isBreak reports whether the error of a write shows that the connection broke before the peer had
// closed its side. A reset after that is reported as EPIPE.
func isBreak(err error) bool {
	errno, ok := errors.AsType[syscall.Errno](err)
	return ok && errno != syscall.EPIPE
}
