package daemon

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
)

// Limits of connections to callers and operators.
const (
	httpHeaderTimeout  = 10 * time.Second
	httpIdleTimeout    = 2 * time.Minute
	httpMaxHeaderBytes = 64 << 10
)

// httpServer serves HTTP/1 and unencrypted HTTP/2 on one listener.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func newHTTPServer(l net.Listener, h http.Handler, log *zap.Logger) *httpServer {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler: h, Protocols: protocols, ReadHeaderTimeout: httpHeaderTimeout, IdleTimeout: httpIdleTimeout,
		MaxHeaderBytes: httpMaxHeaderBytes, ErrorLog: zap.NewStdLog(log),
	}
	return &httpServer{listener: retryingListener{Listener: l, log: log}, server: server}
}

func (w *httpServer) address() string { return w.listener.Addr().String() }

// serve handles requests until stop is called, which is no error.
func (w *httpServer) serve() error {
	err := w.server.Serve(w.listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

// stop waits until ctx ends for the requests in progress, then closes all connections.
func (w *httpServer) stop(ctx context.Context) {
	if err := w.server.Shutdown(ctx); err != nil {
		_ = w.server.Close()
	}
}

// expvarHandler returns a handler that writes metrics as JSON in the format of package
// expvar, with the number of log lines lost if droppedLines is not nil.
func expvarHandler(metrics func() map[string]any, droppedLines func() int64) http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("lavendervale", expvar.Func(func() any { return metrics() }))
	if droppedLines != nil {
		vars.Set("log_lines_dropped", expvar.Func(func() any { return droppedLines() }))
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(vars.String()))
	})
}
