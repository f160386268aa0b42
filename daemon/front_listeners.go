package daemon

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/memory"
)

// Limits of the ports for readiness checks and metrics, whose clients send small requests, a few at a
// time. A head of 4 KiB (to which net/http adds 4 KiB) takes up to 0.4 MB when it is parsed, so 24
// connections stay below 10 MB.
const (
	statusHeaderTimeout  = 2 * time.Second
	statusReadTimeout    = 4 * time.Second
	statusWriteTimeout   = 10 * time.Second
	statusIdleTimeout    = 60 * time.Second
	statusMaxHeaderBytes = 4 << 10
	// statusConnections is the number of connections of one port. When it is reached, the connection
	// that has waited longest for a request is closed.
	statusConnections = 24
	// statusConnectionBytes is what a connection is counted for; only the ratio to the capacity matters.
	statusConnectionBytes = 1
)

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

// statusConn is a connection for readiness checks or metrics.
type statusConn struct {
	net.Conn
	share *memory.Share
}

// trackStatusConn follows the state of a statusConn in net/http.
func trackStatusConn(conn net.Conn, state http.ConnState) {
	share := conn.(*statusConn).share
	switch state {
	case http.StateActive:
		// A share that was evicted meanwhile has closed the connection already.
		_ = share.Begin(0)
	case http.StateIdle:
		share.Wait()
	case http.StateClosed, http.StateHijacked:
		share.Close()
	}
}

// statusListener accepts a bounded number of connections.
type statusListener struct {
	net.Listener
	budget *memory.Budget
	log    *zap.Logger
}

// Accept returns the next connection, a *statusConn.
func (l statusListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &statusConn{Conn: conn}
		accepted.share = l.budget.Open(func() {
			l.log.Info("connection closed", zap.String("cause", "it waited longest of too many connections"), zap.Stringer("address", l.Addr()), zap.Stringer("remote", conn.RemoteAddr()))
			_ = conn.Close()
		})
		if accepted.share != nil {
			return accepted, nil
		}
		l.log.Info("connection closed", zap.String("cause", "too many connections have requests in progress"), zap.Stringer("address", l.Addr()), zap.Stringer("remote", conn.RemoteAddr()))
		_ = conn.Close()
	}
}

// serveHTTP starts a server for readiness checks or metrics on a listener. When it fails, other than
// by being closed, the error is sent to serveErrs.
func serveHTTP(l net.Listener, h http.Handler, log *zap.Logger, serveErrs chan<- error) *http.Server {
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: statusHeaderTimeout, ReadTimeout: statusReadTimeout, WriteTimeout: statusWriteTimeout, IdleTimeout: statusIdleTimeout,
		MaxHeaderBytes: statusMaxHeaderBytes, ConnState: trackStatusConn, ErrorLog: zap.NewStdLog(log),
	}
	limited := statusListener{
		Listener: retryingListener{Listener: l, log: log}, log: log,
		budget: memory.NewBudget(memory.BudgetConfig{CapacityBytes: statusConnections * statusConnectionBytes, ConnectionBytes: statusConnectionBytes}),
	}
	go func() {
		if err := s.Serve(limited); err != http.ErrServerClosed {
			serveErrs <- err
		}
	}()
	return s
}
