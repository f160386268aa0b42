package daemon

import (
	"net"
	"net/http"
	"time"
)

// readHeaderTimeout bounds the head of a question for readiness or metrics.
const readHeaderTimeout = 2 * time.Second

// listeners are the sockets that a front takes connections on.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	// metrics is nil when metrics are served nowhere.
	metrics net.Listener
}

// openListeners opens the sockets of a front, all or none.
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

// serveHTTP serves on a listener until the server is closed.
func serveHTTP(l net.Listener, h http.Handler, serveErrs chan<- error) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		if err := s.Serve(l); err != http.ErrServerClosed {
			serveErrs <- err
		}
	}()
	return s
}
