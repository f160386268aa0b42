package transport_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/transport"
)

// peerBytes is more than the buffers of a connection hold.
const peerBytes = 16 << 20

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestReadReportsHowTheConnectionEnded guards against a reset that is reported to a write and then
// read as the end of the data.
func TestReadReportsHowTheConnectionEnded(t *testing.T) {
	tests := []struct {
		name string
		// end ends the connection after the peer has sent its data.
		end  func(peer *net.TCPConn) error
		want error
	}{
		{name: "reset", end: func(peer *net.TCPConn) error {
			return errors.Join(peer.SetLinger(0), peer.Close())
		}, want: syscall.ECONNRESET},
		{name: "closed", end: (*net.TCPConn).CloseWrite},
		{name: "closed and reset", end: func(peer *net.TCPConn) error {
			return errors.Join(peer.CloseWrite(), peer.SetLinger(0), peer.Close())
		}},
	}
	for _, test := range tests {
		for _, concurrent := range []bool{false, true} {
			name := test.name + ", read after the write"
			if concurrent {
				name = test.name + ", read beside the write"
			}
			t.Run(name, func(t *testing.T) {
				client, peer := connect(t)
				conn := transport.NewConn(client)
				written := make(chan error, 1)
				go func() {
					_, err := conn.Write(make([]byte, peerBytes))
					written <- err
				}()
				_, err := io.ReadFull(peer, make([]byte, 1))
				require.NoError(t, err)
				_, err = io.WriteString(peer, "data")
				require.NoError(t, err)
				require.NoError(t, test.end(peer))
				if !concurrent && test.want != nil {
					require.ErrorIs(t, <-written, test.want, "the write meets the reset")
				}
				data, err := io.ReadAll(conn)
				require.Equal(t, "data", string(data))
				require.ErrorIs(t, err, test.want)
			})
		}
	}
}

// failingConn is a connection at the end of its data on which writes fail.
type failingConn struct {
	net.Conn
	writeErr error
}

func (c failingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c failingConn) Write([]byte) (int, error) { return 0, c.writeErr }

func (c failingConn) SetWriteDeadline(time.Time) error { return nil }

func TestReadAfterFailedWrite(t *testing.T) {
	tests := []struct {
		name   string
		err    error
		broken bool
	}{
		{name: "none"},
		{name: "reset", err: syscall.ECONNRESET, broken: true},
		{name: "user time-out", err: syscall.ETIMEDOUT, broken: true},
		{name: "unreachable", err: syscall.EHOSTUNREACH, broken: true},
		{name: "peer had closed", err: syscall.EPIPE},
		{name: "deadline", err: os.ErrDeadlineExceeded},
		{name: "closed here", err: net.ErrClosed},
	}
	writes := []struct {
		name  string
		write func(c *transport.Conn) error
	}{
		{name: "Write", write: func(c *transport.Conn) error {
			_, err := c.Write([]byte("a"))
			return err
		}},
		{name: "WriteBuffers", write: func(c *transport.Conn) error {
			_, err := c.WriteBuffers(net.Buffers{[]byte("a"), []byte("b")})
			return err
		}},
	}
	for _, test := range tests {
		for _, w := range writes {
			t.Run(test.name+", "+w.name, func(t *testing.T) {
				var writeErr error
				if test.err != nil {
					writeErr = &net.OpError{Op: "write", Err: os.NewSyscallError("write", test.err)}
				}
				c := transport.NewConn(failingConn{writeErr: writeErr})
				require.ErrorIs(t, w.write(c), test.err)
				_, err := c.Read(make([]byte, 1))
				if test.broken {
					require.ErrorIs(t, err, test.err)
				} else {
					require.Equal(t, io.EOF, err)
				}
			})
		}
	}
}

func TestBuffersAreWrittenInOrder(t *testing.T) {
	client, peer := connect(t)
	conn := transport.NewConn(client)
	n, err := conn.WriteBuffers(net.Buffers{[]byte("head "), nil, []byte("body")})
	require.NoError(t, err)
	require.EqualValues(t, len("head body"), n)
	require.NoError(t, client.CloseWrite())
	var received bytes.Buffer
	_, err = io.Copy(&received, peer)
	require.NoError(t, err)
	require.Equal(t, "head body", received.String())
}
