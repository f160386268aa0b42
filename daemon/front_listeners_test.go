package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// countingListener counts the connections that the server has not closed.
type countingListener struct {
	net.Listener
	open, most atomic.Int64
}

type countedConn struct {
	net.Conn
	listener *countingListener
	closed   sync.Once
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.most.Store(max(l.most.Load(), l.open.Add(1)))
	return &countedConn{Conn: conn, listener: l}, nil
}

func (c *countedConn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// TestStatusPortsBoundTheirClients guards against clients of the ports for readiness checks and metrics
// that take the memory of a front: by many connections, by requests that they do not finish or by long
// heads. A check is answered beside them.
func TestStatusPortsBoundTheirClients(t *testing.T) {
	const crowd = 4 * statusConnections
	const request = "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name, sent string
	}{
		{name: "nothing"},
		{name: "half of a head", sent: request},
		{name: "idle connections", sent: request + "\r\n"},
		{name: "long head", sent: request + strings.Repeat("a:\r\n", 4*statusMaxHeaderBytes)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			counting := &countingListener{Listener: l}
			served := make(chan error, 1)
			s := serveHTTP(counting, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }), zap.NewNop(), served)
			defer s.Close()
			for range crowd {
				conn, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer conn.Close()
				// The server may close connections.
				_, _ = io.WriteString(conn, test.sent)
			}
			conn, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, request+"\r\n")
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, http.StatusNoContent, response.StatusCode)
			// One more is open while another is closed for it.
			require.LessOrEqual(t, counting.most.Load(), int64(statusConnections+1))
			require.Empty(t, served)
		})
	}
}
