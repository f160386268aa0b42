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
	addresses := []string{c.Callers, c.Ready}
	if c.Metrics != "" {
		addresses = append(addresses, c.Metrics)
	}
	open, err := listen(addresses...)
	if err != nil {
		return listeners{}, err
	}
	l := listeners{callers: open[0], ready: open[1]}
	if c.Metrics != "" {
		l.metrics = open[2]
	}
	return l, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.ready, l.metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// serveHTTP serves on a listener until the server is closed.
func serveHTTP(l net.Listener, h http.Handler, failed chan<- error) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		if err := s.Serve(l); err != http.ErrServerClosed {
			failed <- err
		}
	}()
	return s
}
