// Package web runs the HTTP servers of the fake engines, services and platforms.
package web

import (
	"context"
	"net"
	"net/http"
)

// Serve serves HTTP requests on a listener until ctx ends; then it closes all connections
// and returns nil. It returns the error of the server if it fails before that.
func Serve(ctx context.Context, l net.Listener, h http.Handler) error {
	server := &http.Server{Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(l)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
