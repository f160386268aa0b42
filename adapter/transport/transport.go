package transport

import (
	"context"
	"net"
	"net/http"
)

// New returns base with a DialContext whose connections are of type Conn. DialContext of base must be
// set, and its connections must not use TLS.
func New(base *http.Transport) *http.Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return base
}
