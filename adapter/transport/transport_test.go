package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/transport"
	"github.com/lavendervale/lavendervale/standin/raw"
)

// TestIdleConnectionsAreReusedUntilTheyAreClosed guards against a Transport that keeps no connection, or
// hides from http.Client how idle ones are closed.
func TestIdleConnectionsAreReusedUntilTheyAreClosed(t *testing.T) {
	server, err := raw.New(raw.Response{Bytes: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"})
	require.NoError(t, err)
	defer server.Close()
	dials := 0
	client := http.Client{Transport: transport.New(&http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})}
	defer client.CloseIdleConnections()
	get := func() {
		response, err := client.Get("http://" + server.Address())
		require.NoError(t, err)
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
	}
	get()
	get()
	require.Equal(t, 1, dials)
	client.CloseIdleConnections()
	get()
	require.Equal(t, 2, dials)
}
