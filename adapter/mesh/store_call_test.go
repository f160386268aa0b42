package mesh

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/frame"
	"github.com/lavendervale/lavendervale/adapter/session"
	meshpb "github.com/lavendervale/lavendervale/api/mesh/v1"
)

// startReplyingFront runs a front that answers each request with the same bytes and then closes or
// resets its connection, and returns its address.
func startReplyingFront(t *testing.T, reply []byte, resets bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	answer := func(conn *net.TCPConn) {
		s, err := yamux.Server(conn, session.YamuxConfig())
		if err != nil {
			return
		}
		defer s.Close()
		stream, err := s.AcceptStream()
		if err != nil || frame.NewReader(stream).Read(&meshpb.Request{}) != nil {
			return
		}
		_, _ = stream.Write(reply)
		if resets {
			_ = conn.SetLinger(0)
			return
		}
		_ = stream.Close()
		// The end of the connection might overtake the reply otherwise.
		_, _ = s.AcceptStream()
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// encodeReply returns a reply as it is sent.
func encodeReply(t *testing.T, reply *meshpb.Reply) []byte {
	t.Helper()
	encoded, err := frame.Append(nil, reply)
	require.NoError(t, err)
	return encoded
}

// TestBrokenReplyToRelayedStoreCallIsNoResponse guards against a reply of another front that is taken for a
// response of the store, and so for a call that did not run.
func TestBrokenReplyToRelayedStoreCallIsNoResponse(t *testing.T) {
	response := func(status uint32) []byte {
		return encodeReply(t, &meshpb.Reply{Body: &meshpb.Reply_Store{Store: &meshpb.StoreReply{Status: status, Body: []byte("body")}}})
	}
	tests := []struct {
		name   string
		reply  []byte
		resets bool
		// status is that of a response that is passed on, 0 for none.
		status int
	}{
		{name: "status 200", reply: response(200), status: http.StatusOK},
		{name: "status 412", reply: response(412), status: http.StatusPreconditionFailed},
		{name: "status 0", reply: response(0)},
		{name: "status 99", reply: response(99)},
		{name: "reply to another kind of request", reply: encodeReply(t, &meshpb.Reply{Body: &meshpb.Reply_Done{Done: &meshpb.Done{}}})},
		{name: "empty reply", reply: encodeReply(t, &meshpb.Reply{})},
		{name: "no reply, closed"},
		{name: "no reply, reset", resets: true},
		{name: "part of a reply, closed", reply: response(200)[:9]},
		{name: "part of a reply, reset", reply: response(200)[:9], resets: true},
		{name: "length of a reply, closed", reply: response(200)[:4]},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newTestMesh(t, "m")
			now := time.Now()
			m.peers.applyGossip(&meshpb.Gossip{Name: "other", Domain: "other", Incarnation: 1, Sequence: 1, Weight: 1}, startReplyingFront(t, test.reply, test.resets), now, now)
			status, body, err := m.StoreCall(t.Context(), http.MethodPost, "/api/log-append", nil)
			if test.status == 0 {
				require.Error(t, err, "status %d, %q", status, body)
				return
			}
			require.NoError(t, err)
			require.Equal(t, test.status, status)
			require.Equal(t, "body", string(body))
		})
	}
}
