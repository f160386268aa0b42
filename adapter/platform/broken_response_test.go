package platform_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	adapter "github.com/lavendervale/lavendervale/adapter/platform"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/standin/raw"
)

// TestBrokenResponseToAppendProvesNothing guards against an append that is taken for done, or for not
// done, because of a response that the platform has not finished or that is not valid.
func TestBrokenResponseToAppendProvesNothing(t *testing.T) {
	const entryBytes = 16 << 20
	tests := []struct {
		name     string
		response raw.Response
		sound    bool
	}{
		{name: "no length, reset", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\n\r\n{\"offset\"", Ending: raw.Reset}},
		{name: "no length, closed", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\n\r\n{\"offset\":1}", Ending: raw.Close}, sound: true},
		{name: "blank in a name", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\nTwo Words: 1\r\nContent-Length: 12\r\n\r\n{\"offset\":1}"}},
		{name: "control byte in a name", response: raw.Response{Bytes: "HTTP/1.1 200 OK\r\nNa\x01me: 1\r\nContent-Length: 12\r\n\r\n{\"offset\":1}"}},
		{name: "status 000", response: raw.Response{Bytes: "HTTP/1.1 000 Error\r\nContent-Length: 12\r\n\r\n{\"offset\":1}"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server, err := raw.New(test.response)
			require.NoError(t, err)
			defer server.Close()
			c := adapter.New(adapter.Config{Address: server.Address()})
			defer c.Close()
			_, err = c.Append(t.Context(), "stream", make([]byte, entryBytes))
			if test.sound {
				require.NoError(t, err)
				return
			}
			require.Equal(t, fleet.KindUnknown, fleet.KindOf(err), "%v", err)
			require.Error(t, err)
		})
	}
}
