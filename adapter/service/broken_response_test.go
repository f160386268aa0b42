package service_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/service"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/standin/raw"
)

// TestMalformedResponseIsInDoubt guards against a response that net/http accepts although its head
// has no meaning.
func TestMalformedResponseIsInDoubt(t *testing.T) {
	tests := []struct{ name, response string }{
		{name: "status 000", response: "HTTP/1.1 000 Error\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "status 000, no length", response: "HTTP/1.1 000 Error\r\n\r\nbody"},
		{name: "status 099", response: "HTTP/1.1 099 Error\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "blank in a name", response: "HTTP/1.1 200 OK\r\nTwo Words: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "blank after the name of the length", response: "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody and more"},
		{name: "blank after the name of the transfer encoding", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		{name: "blank in a name of a refusal", response: "HTTP/1.1 409 Conflict\r\nTwo Words: 1\r\nContent-Length: 4\r\n\r\nbody"},
		{name: "control byte in a name", response: "HTTP/1.1 200 OK\r\nNa\x01me: 1\r\nContent-Length: 4\r\n\r\nbody"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, err := raw.New(raw.Response{Bytes: test.response, Ending: raw.Close})
			require.NoError(t, err)
			defer server.Close()
			c := service.New(service.Config{Address: server.Address()})
			defer c.Close()
			body, err := c.Do(t.Context(), order.NewRequest(order.RequestConfig{Key: order.NewKey(program.NewID("caller", "key"), 1, 1), Method: "pay"}))
			require.Error(t, err, "%q", body)
			require.Equal(t, order.KindInDoubt, order.KindOf(err), "%v", err)
		})
	}
}

// TestUnframedResponseThatIsResetIsInDoubt guards against a part of a response that is taken for
// the whole one because the reset is reported to the write of the request, not to the read.
func TestUnframedResponseThatIsResetIsInDoubt(t *testing.T) {
	const (
		attempts     = 40
		payloadBytes = 16 << 20
		head         = "HTTP/1.1 200 OK\r\n"
	)
	tests := []struct {
		name     string
		response raw.Response
		broken   bool
	}{
		{name: "reset", response: raw.Response{Bytes: head + "\r\npart", Ending: raw.Reset}, broken: true},
		{name: "reset later", response: raw.Response{Bytes: head + "\r\npart", Hold: time.Millisecond, Ending: raw.Reset}, broken: true},
		{name: "closed", response: raw.Response{Bytes: head + "\r\nwhole", Ending: raw.Close}},
		{name: "with a length, closed", response: raw.Response{Bytes: head + "Content-Length: 5\r\n\r\nwhole", Ending: raw.Close}},
	}
	for _, test := range tests {
		for _, idempotent := range []bool{false, true} {
			name := test.name + ", order"
			if idempotent {
				name = test.name + ", idempotent"
			}
			t.Run(name, func(t *testing.T) {
				server, err := raw.New(test.response)
				require.NoError(t, err)
				defer server.Close()
				c := service.New(service.Config{Address: server.Address()})
				defer c.Close()
				broken := 0
				for n := range uint32(attempts) {
					body, err := c.Do(t.Context(), order.NewRequest(order.RequestConfig{
						Key: order.NewKey(program.NewID("caller", "key"), n, 1), Method: "pay", Payload: make([]byte, payloadBytes), Idempotent: idempotent,
					}))
					if err == nil {
						require.True(t, test.broken || string(body) == "whole", "%q", body)
						continue
					}
					require.Equal(t, order.KindInDoubt, order.KindOf(err), "%v", err)
					broken++
				}
				if test.broken {
					require.Equal(t, attempts, broken, "responses that were found broken")
				} else {
					require.Zero(t, broken, "responses that were found broken")
				}
			})
		}
	}
}
