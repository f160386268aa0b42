package entry

import (
	"context"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// Result is what a call ends with.
type Result struct {
	token  string
	result home.Result
}

// Token returns the sealed handle for the next call.
func (r Result) Token() string { return r.token }

// Result returns what the home said.
func (r Result) Result() home.Result { return r.result }

// Call brings a call to the home of its program and streams its text.
func (e *Entry) Call(ctx context.Context, caller, token string, call program.Call, sink home.Sink) (Result, error) {
	handle, err := e.open(caller, token)
	if err != nil {
		e.metrics.refuse(err)
		return Result{}, err
	}
	e.metrics.calls.Add(1)
	relay := &relay{sink: sink, received: []byte(call.ReceivedText())}
	var result home.Result
	err = e.atHome(ctx, handle, func(ctx context.Context, instance string, h program.Handle) error {
		var err error
		relay.restart()
		result, err = e.config.Homes.Call(ctx, instance, h, relay.resume(call), relay.send)
		return err
	})
	if err != nil {
		e.metrics.refuse(err)
		return Result{}, err
	}
	next, err := e.config.Sealer.Seal(result.Handle())
	return Result{token: next, result: result}, err
}

// relay passes text on to the caller; after a new attempt it leaves out what
// the caller has been sent.
type relay struct {
	sink     home.Sink
	received []byte
	sent     int
	seen     int
}

func (r *relay) restart() { r.seen = 0 }

// resume returns the call with what has come of it so far, so that a home that
// runs it anew goes on from there: its engine might answer in other words.
func (r *relay) resume(call program.Call) program.Call {
	if call.Type() != program.ModelCall {
		return call
	}
	return call.WithReceivedText(string(r.received))
}

func (r *relay) send(text []byte) error {
	start := max(0, r.sent-r.seen)
	r.seen += len(text)
	if start >= len(text) {
		return nil
	}
	r.sent += len(text) - start
	if r.seen > len(r.received) {
		r.received = append(r.received, text[len(text)-(r.seen-len(r.received)):]...)
	}
	return r.sink(text[start:])
}
