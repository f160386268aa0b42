package raw

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// RequestID stands in the bytes of a response for the identifier of the request.
const RequestID = "{id}"

// Ending is what a server does with a connection after a response.
type Ending uint8

// Endings of a response.
const (
	// KeepOpen reads the rest of the request and then serves the next one.
	KeepOpen Ending = iota
	// Close closes the sending direction, and the connection once the client has closed it.
	Close
	// CloseUnread closes the sending direction and then the connection, whether or not the request
	// has been read.
	CloseUnread
	// Reset resets the connection while the rest of the request is unread.
	Reset
)

// Response is what a server sends for a request.
type Response struct {
	// Bytes holds the head and the body.
	Bytes string
	// Hold is the time between the bytes and the ending, and between the two parts of CloseUnread.
	Hold time.Duration
	// Ending follows the bytes.
	Ending Ending
}

// Server accepts connections on a loopback address. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	requests atomic.Int64
	mu       sync.Mutex
	response Response
}

// New starts a server on a free port. The caller must close it.
func New(r Response) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, response: r}
	go s.accept()
	return s, nil
}

// Address returns the IP address and port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// SetResponse sets the response to later requests.
func (s *Server) SetResponse(r Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.response = r
}

// RequestCount returns the number of requests whose heads have been read.
func (s *Server) RequestCount() int { return int(s.requests.Load()) }

// Close stops accepting connections. Open ones stay open until their clients close them.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

// serve answers the requests on a connection.
func (s *Server) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		s.mu.Lock()
		response := s.response
		s.mu.Unlock()
		if _, err := io.WriteString(conn, strings.ReplaceAll(response.Bytes, RequestID, request.Header.Get("Request-Id"))); err != nil {
			return
		}
		time.Sleep(response.Hold)
		switch response.Ending {
		case Reset:
			_ = conn.SetLinger(0)
			return
		case CloseUnread:
			_ = conn.CloseWrite()
			time.Sleep(response.Hold)
			return
		case Close:
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, reader)
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}
