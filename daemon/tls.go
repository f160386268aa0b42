package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/lavendervale/lavendervale/adapter/certificate"
)

const (
	// dialTimeout bounds a connection to another process, its handshake included.
	dialTimeout = time.Second
)

// secure puts TLS on a listener when the process has a certificate.
func wrapTLS(l net.Listener, certificates *certificate.Store, mutual bool) net.Listener {
	if certificates == nil {
		return l
	}
	return tls.NewListener(l, certificates.Server(mutual))
}

// dialer returns how to connect to other processes, or nil for plain TCP.
func tlsDialer(certificates *certificate.Store) func(ctx context.Context, address string) (net.Conn, error) {
	if certificates == nil {
		return nil
	}
	d := &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: certificates.Client()}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp", address)
	}
}
