package daemon

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// readHeaderTimeout bounds the reading of the header of a request for readiness or
// metrics.
const readHeaderTimeout = 2 * time.Second

// listeners holds the listening sockets of a front, but those for other fronts.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	// metrics is nil when no metrics are served.
	metrics net.Listener
}

// openListeners opens the listeners of a front; when one fails, none stays open.
func openListeners(c FrontConfig) (listeners, error) {
	addresses := []string{c.CallerAddress, c.ReadyAddress}
	if c.MetricsAddress != "" {
		addresses = append(addresses, c.MetricsAddress)
	}
	opened, err := listen(addresses...)
	if err != nil {
		return listeners{}, err
	}
	l := listeners{callers: opened[0], ready: opened[1]}
	if c.MetricsAddress != "" {
		l.metrics = opened[2]
	}
	return l, nil
}

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.ready, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// serveHTTP starts a server on a listener. When it fails, other than by being closed, the
// error is sent to serveErrs.
func serveHTTP(l net.Listener, h http.Handler, log *zap.Logger, serveErrs chan<- error) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: zap.NewStdLog(log)}
	go func() {
		if err := s.Serve(retryingListener{Listener: l, log: log}); err != http.ErrServerClosed {
			serveErrs <- err
		}
	}()
	return s
}
