package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/lavendervale/lavendervale/adapter/certificate"
)

const (
	// dialTimeout bounds the connection setup to another process, TLS handshake included.
	dialTimeout = time.Second
)

// wrapTLS returns a listener that uses TLS, and with mutual requires a certificate of
// the client. It returns l itself when certificates is nil.
func wrapTLS(l net.Listener, certificates *certificate.Store, mutual bool) net.Listener {
	if certificates == nil {
		return l
	}
	return tls.NewListener(l, certificates.ServerConfig(mutual))
}

// tlsDialer returns a function that connects to other processes over TLS, or nil, which
// stands for plain TCP, when certificates is nil.
func tlsDialer(certificates *certificate.Store) func(ctx context.Context, address string) (net.Conn, error) {
	if certificates == nil {
		return nil
	}
	d := &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: certificates.ClientConfig()}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}
