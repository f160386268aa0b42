package daemon

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"
)

// acceptRetryDelay is the wait after a connection could not be accepted.
const acceptRetryDelay = 10 * time.Millisecond

// retryingListener accepts connections whatever error one of them meets, such as too many open
// files: a server ends at an error of its listener, and the process with it.
type retryingListener struct {
	net.Listener
	log *zap.Logger
}

// Accept returns the next connection. Errors other than net.ErrClosed are logged and the call
// is repeated.
func (l retryingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		l.log.Error("accepting a connection failed", zap.Stringer("address", l.Addr()), zap.Error(err))
		time.Sleep(acceptRetryDelay)
	}
}
