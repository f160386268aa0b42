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

const (
	httpHeaderTimeout  = 10 * time.Second
	httpIdleTimeout    = 2 * time.Minute
	httpMaxHeaderBytes = 64 << 10
)

// web serves HTTP on one listener.
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
	return &httpServer{listener: l, server: server}
}

func (w *httpServer) address() string { return w.listener.Addr().String() }

// serve answers until the server is stopped.
func (w *httpServer) serve() error {
	err := w.server.Serve(w.listener)
	if err == http.ErrServerClosed {
		return nil
	}
	return trace.Wrap(err)
}

// stop lets requests end, at most until ctx ends.
func (w *httpServer) stop(ctx context.Context) {
	if err := w.server.Shutdown(ctx); err != nil {
		_ = w.server.Close()
	}
}

// variables returns a handler that writes metrics in the format of expvar.
func expvarHandler(metrics func() map[string]any) http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("lavendervale", expvar.Func(func() any { return metrics() }))
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write([]byte(vars.String()))
	})
}
