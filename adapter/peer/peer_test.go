package peer

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/frame"
	"github.com/lavendervale/lavendervale/adapter/session"
	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

// fakeProcess is the Home, ServiceRunner, HeartbeatHandler and Committer of a server; each
// request fails with err.
type fakeProcess struct {
	err error
	// requestCount is the number of requests of any kind.
	requestCount int
}

func (p *fakeProcess) fail() error {
	p.requestCount++
	return p.err
}

func (p *fakeProcess) Start(context.Context, home.StartRequest) (home.StartResult, error) {
	return home.StartResult{}, p.fail()
}

func (p *fakeProcess) Call(context.Context, program.Handle, program.Call, home.Sink) (home.CallResult, error) {
	return home.CallResult{}, p.fail()
}

func (p *fakeProcess) End(context.Context, program.Handle, bool) (home.EndResult, error) {
	return home.EndResult{}, p.fail()
}

func (p *fakeProcess) Read(context.Context, program.Handle) (home.View, error) {
	return home.View{}, p.fail()
}

func (p *fakeProcess) Transfer(context.Context, home.BudgetTransfer) (int64, error) {
	return 0, p.fail()
}

func (p *fakeProcess) Run(context.Context, order.Request) (order.Reply, error) {
	return order.Reply{}, p.fail()
}

func (p *fakeProcess) Query(context.Context, order.Request) (order.Reply, error) {
	return order.Reply{}, p.fail()
}

func (p *fakeProcess) Beat(string, membership.Heartbeat) membership.HeartbeatReply {
	return membership.NewHeartbeatReply(membership.HeartbeatReplyConfig{})
}

func (p *fakeProcess) Commit(context.Context, history.Record) (history.Position, error) {
	return history.NoPosition, p.fail()
}

func (p *fakeProcess) Locate(context.Context, program.ID) (history.LatestRecord, error) {
	return history.LatestRecord{}, p.fail()
}

// fakeDirectory knows every instance, at an address equal to its name.
type fakeDirectory struct{}

func (fakeDirectory) Address(instance string) (string, bool) { return instance, true }

func (fakeDirectory) Services(string) []string { return []string{"payment-1"} }

// newPool returns a pool whose connections are served by serve.
func newPool(t *testing.T, serve func(conn net.Conn)) *Pool {
	t.Helper()
	p := NewPool(PoolConfig{InstanceName: "entry-1", Dial: func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go serve(serverConn)
		return clientConn, nil
	}})
	t.Cleanup(p.Close)
	return p
}

// newServedPool returns a pool that is connected to a server of a process.
func newServedPool(t *testing.T, process *fakeProcess) *Pool {
	t.Helper()
	s := NewServer(ServerConfig{Home: process, ServiceRunner: process, HeartbeatHandler: process, Committer: process})
	return newPool(t, func(conn net.Conn) { s.serveConn(context.Background(), conn) })
}

func newServiceRequest(payload string) order.Request {
	return order.NewRequest(order.RequestConfig{
		Key: order.NewKey(program.NewID("c", "k"), 1, 1), Service: "payment", Method: "pay", Payload: []byte(payload),
	})
}

// TestErrorsKeepTheirKind checks that an error reaches the other process with the kind of
// the package that the request belongs to, whatever errors it wraps.
func TestErrorsKeepTheirKind(t *testing.T) {
	historyErr := history.Errorf("read log", history.KindUnavailable, "no answer")
	orderErr := order.Errorf("run order", order.KindNotRun, "no connection")
	programErr := program.Errorf("check service", program.KindInvalid, "unknown service")
	tests := []struct {
		name        string
		err         error
		wantKind    program.Kind
		wantOutcome program.Outcome
		wantOrder   order.Kind
		wantHistory history.Kind
	}{
		{name: "error of package program", err: programErr, wantKind: program.KindInvalid, wantOutcome: program.NotRun, wantOrder: order.KindInDoubt, wantHistory: history.KindUnknown},
		{name: "error of package order", err: orderErr, wantKind: program.KindInternal, wantOutcome: program.InDoubt, wantOrder: order.KindNotRun, wantHistory: history.KindUnknown},
		{name: "error of package history", err: historyErr, wantKind: program.KindInternal, wantOutcome: program.InDoubt, wantOrder: order.KindInDoubt, wantHistory: history.KindUnavailable},
		{name: "another error", err: errors.New("failure"), wantKind: program.KindInternal, wantOutcome: program.InDoubt, wantOrder: order.KindInDoubt, wantHistory: history.KindUnknown},
		{
			name: "error of package program that wraps one of package history", wantKind: program.KindUnavailable, wantOutcome: program.InDoubt, wantOrder: order.KindInDoubt, wantHistory: history.KindUnavailable,
			err: program.NewError(program.ErrorConfig{Op: "take over program", Kind: program.KindUnavailable, Err: historyErr}),
		},
		{
			name: "error of package program that wraps one of package order", wantKind: program.KindOverloaded, wantOutcome: program.NotRun, wantOrder: order.KindNotRun, wantHistory: history.KindUnknown,
			err: program.NewError(program.ErrorConfig{Op: "run service call", Kind: program.KindOverloaded, Outcome: program.NotRun, Err: orderErr}),
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, ctx := newServedPool(t, &fakeProcess{err: test.err}), context.Background()
			_, err := NewHomeClient(p, fakeDirectory{}).Start(ctx, "model-1", home.StartRequest{})
			require.Equal(t, test.wantKind, program.KindOf(err), "%v", err)
			require.Equal(t, test.wantOutcome, program.AsError(err).Outcome())
			_, err = NewServiceClient(p, fakeDirectory{}).Run(ctx, "payment-1", newServiceRequest("{}"))
			require.Equal(t, test.wantOrder, order.KindOf(err), "%v", err)
			_, err = NewCommitterClient(p, nil).Locate(ctx, "model-1", program.NewID("c", "k"))
			require.Equal(t, test.wantHistory, history.KindOf(err), "%v", err)
		})
	}
}

// serveReplies answers every request of a connection with the same frame.
func serveReplies(conn net.Conn, reply *peerpb.Reply) {
	muxSession, err := yamux.Server(conn, session.YamuxConfig())
	if err != nil {
		return
	}
	for {
		stream, err := muxSession.AcceptStream()
		if err != nil {
			return
		}
		_ = frame.NewReader(stream).Read(&peerpb.Request{})
		_ = frame.NewWriter(stream).Write(reply)
		_ = stream.Close()
	}
}

// TestReplyWithoutItsBodyIsNoSuccess checks that a reply that lacks the body for its request
// fails the request, with an outcome in doubt.
func TestReplyWithoutItsBodyIsNoSuccess(t *testing.T) {
	ctx, id := context.Background(), program.NewID("c", "k")
	tests := []struct {
		name string
		do   func(p *Pool) error
		// isInDoubt reports whether an error of do leaves the outcome open.
		isInDoubt func(err error) bool
	}{
		{name: "start", isInDoubt: isProgramInDoubt, do: func(p *Pool) error {
			_, err := NewHomeClient(p, fakeDirectory{}).Start(ctx, "model-1", home.StartRequest{})
			return err
		}},
		{name: "call", isInDoubt: isProgramInDoubt, do: func(p *Pool) error {
			call, err := program.NewCall(program.CallConfig{Number: 1, MaxTokens: 1, Messages: []program.Message{program.NewMessage(program.RoleUser, "one")}})
			require.NoError(t, err)
			_, err = NewHomeClient(p, fakeDirectory{}).Call(ctx, "model-1", program.Handle{}, call, func([]byte) error { return nil })
			return err
		}},
		{name: "end", isInDoubt: isProgramInDoubt, do: func(p *Pool) error {
			_, err := NewHomeClient(p, fakeDirectory{}).End(ctx, "model-1", program.Handle{}, false)
			return err
		}},
		{name: "read", isInDoubt: isProgramInDoubt, do: func(p *Pool) error {
			_, err := NewHomeClient(p, fakeDirectory{}).Read(ctx, "model-1", program.Handle{})
			return err
		}},
		{name: "transfer", isInDoubt: isProgramInDoubt, do: func(p *Pool) error {
			_, err := NewHomeClient(p, fakeDirectory{}).Transfer(ctx, "model-1", home.BudgetTransfer{Child: id})
			return err
		}},
		{name: "heartbeat", isInDoubt: isProgramInDoubt, do: func(p *Pool) error {
			_, err := NewHomeClient(p, fakeDirectory{}).Beat(ctx, "model-1", membership.Heartbeat{})
			return err
		}},
		{name: "run order", isInDoubt: isOrderInDoubt, do: func(p *Pool) error {
			_, err := NewServiceClient(p, fakeDirectory{}).Run(ctx, "payment-1", newServiceRequest("{}"))
			return err
		}},
		{name: "query order", isInDoubt: isOrderInDoubt, do: func(p *Pool) error {
			_, err := NewServiceClient(p, fakeDirectory{}).Query(ctx, "payment-1", newServiceRequest("{}"))
			return err
		}},
		{name: "locate record", isInDoubt: func(err error) bool { return history.KindOf(err) == history.KindUnknown }, do: func(p *Pool) error {
			_, err := NewCommitterClient(p, nil).Locate(ctx, "model-1", id)
			return err
		}},
	}
	replies := []struct {
		name  string
		reply *peerpb.Reply
	}{
		{name: "no body", reply: &peerpb.Reply{}},
		{name: "text", reply: &peerpb.Reply{Text: []byte("text")}},
		{name: "an empty state", reply: &peerpb.Reply{Body: &peerpb.Reply_State{State: &peerpb.State{}}}},
	}
	for _, test := range tests {
		for _, r := range replies {
			t.Run(test.name+" with "+r.name, func(t *testing.T) {
				err := test.do(newPool(t, func(conn net.Conn) { serveReplies(conn, r.reply) }))
				require.Error(t, err)
				require.True(t, test.isInDoubt(err), "%v", err)
			})
		}
	}
}

func isProgramInDoubt(err error) bool {
	return program.KindOf(err) == program.KindUnavailable && program.AsError(err).Outcome() == program.InDoubt
}

func isOrderInDoubt(err error) bool { return order.KindOf(err) == order.KindInDoubt }

// TestRequestThatCannotBeSentDidNotRun checks that a request that is too large, or can't be
// encoded, is reported as not run, as no byte of it was sent.
func TestRequestThatCannotBeSentDidNotRun(t *testing.T) {
	tests := []struct {
		name string
		// text is the key of a program and the method of a service call.
		text string
	}{
		{name: "too large", text: strings.Repeat("k", frame.MaxBytes)},
		{name: "not valid UTF-8", text: "\xff"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			process := &fakeProcess{err: errors.New("failure")}
			p, ctx := newServedPool(t, process), context.Background()
			_, err := NewHomeClient(p, fakeDirectory{}).Start(ctx, "model-1", home.StartRequest{Key: test.text})
			require.Equal(t, program.KindInvalid, program.KindOf(err), "%v", err)
			require.Equal(t, program.NotRun, program.AsError(err).Outcome())
			r := order.NewRequest(order.RequestConfig{Key: order.NewKey(program.NewID("c", "k"), 1, 1), Method: test.text})
			services := NewServiceClient(p, fakeDirectory{})
			_, err = services.Run(ctx, "payment-1", r)
			require.Equal(t, order.KindNotRun, order.KindOf(err), "%v", err)
			_, err = services.Query(ctx, "payment-1", r)
			require.Equal(t, order.KindInDoubt, order.KindOf(err), "a query proves nothing when it is not sent: %v", err)
			require.Zero(t, process.requestCount)
		})
	}
}

// TestErrorWithInvalidTextKeepsItsKind checks that an error reaches the other process when
// its message quotes bytes that are not valid UTF-8, which a message can't hold, or is long.
func TestErrorWithInvalidTextKeepsItsKind(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{name: "not valid UTF-8", text: "\xff"},
		{name: "larger than a frame", text: strings.Repeat("k", frame.MaxBytes)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx := context.Background()
			p := newServedPool(t, &fakeProcess{err: order.Errorf("run order", order.KindNotRun, "service said %s", test.text)})
			_, err := NewServiceClient(p, fakeDirectory{}).Run(ctx, "payment-1", newServiceRequest("{}"))
			require.Equal(t, order.KindNotRun, order.KindOf(err), "%v", err)
			p = newServedPool(t, &fakeProcess{err: history.Errorf("commit", history.KindSuperseded, "home said %s", test.text)})
			_, err = NewCommitterClient(p, nil).Locate(ctx, "model-1", program.NewID("c", "k"))
			require.Equal(t, history.KindSuperseded, history.KindOf(err), "%v", err)
			p = newServedPool(t, &fakeProcess{err: program.Errorf("run", program.KindOverloaded, "engine said %s", test.text)})
			_, err = NewHomeClient(p, fakeDirectory{}).Start(ctx, "model-1", home.StartRequest{})
			require.Equal(t, program.KindOverloaded, program.KindOf(err), "%v", err)
			require.Equal(t, program.NotRun, program.AsError(err).Outcome())
		})
	}
}

// TestRequestEndsWithItsContext checks that a request ends with its context when the other
// process accepts a stream but reads only the first byte of the request.
func TestRequestEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newPool(t, func(conn net.Conn) {
		if s, err := yamux.Server(conn, session.YamuxConfig()); err == nil {
			if stream, err := s.AcceptStream(); err == nil {
				_, _ = stream.Read(make([]byte, 1))
			}
			cancel()
		}
	})
	_, err := NewHomeClient(p, fakeDirectory{}).Start(ctx, "model-1", home.StartRequest{Key: strings.Repeat("k", frame.MaxBytes/2)})
	require.True(t, isProgramInDoubt(err), "%v", err)
}
