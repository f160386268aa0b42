package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/fleet"
)

// failingListener fails to accept the first connection; again is closed at the next call.
type failingListener struct {
	net.Listener
	err   error
	calls atomic.Int64
	again chan struct{}
}

func (l *failingListener) Accept() (net.Conn, error) {
	switch l.calls.Add(1) {
	case 1:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: l.err}
	case 2:
		close(l.again)
	}
	return l.Listener.Accept()
}

func TestFailedAcceptEndsNoServer(t *testing.T) {
	tests := []struct {
		name string
		// serve serves l until ctx ends and then returns nil.
		serve func(ctx context.Context, l net.Listener) error
	}{
		{name: "readiness", serve: func(ctx context.Context, l net.Listener) error {
			errs := make(chan error, 1)
			s := serveHTTP(l, http.NotFoundHandler(), zap.NewNop(), errs)
			defer s.Close()
			select {
			case <-ctx.Done():
				return nil
			case err := <-errs:
				return err
			}
		}},
		{name: "callers of an entry", serve: func(ctx context.Context, l net.Listener) error {
			s := newHTTPServer(l, http.NotFoundHandler(), zap.NewNop())
			defer context.AfterFunc(ctx, func() { s.stop(ctx) })()
			return s.serve()
		}},
		{name: "peers of a service", serve: func(ctx context.Context, l net.Listener) error {
			free := "127.0.0.1:0"
			process, err := newEndpointProcess(Config{
				Name: "payment-1", Domain: "a", Role: fleet.ServiceRole, PeerAddress: free, AdminAddress: free,
				OperatorKeys: map[string]string{"head": "a-key-that-is-long-enough"}, Logger: zap.NewNop(),
			})
			if err != nil {
				return err
			}
			if err := process.peerListener.Close(); err != nil {
				return err
			}
			process.peerListener = l
			return process.Run(ctx)
		}},
	}
	for _, test := range tests {
		for _, failure := range []error{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
			t.Run(test.name+" "+failure.Error(), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				failing := &failingListener{Listener: l, err: failure, again: make(chan struct{})}
				ended := make(chan error, 1)
				go func() { ended <- test.serve(ctx, failing) }()
				select {
				case <-failing.again:
				case err := <-ended:
					t.Fatal("the server has ended: ", err)
				}
				cancel()
				require.NoError(t, <-ended)
			})
		}
	}
}
