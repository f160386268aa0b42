package entry

import (
	"context"

	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/program"
)

// Result is the outcome of a call with the sealed handle for the next one.
type Result struct {
	token      string
	homeResult home.CallResult
}

// Token returns the sealed handle that the caller passes with its next call.
func (r Result) Token() string { return r.token }

// HomeResult returns the result as the home returned it.
func (r Result) HomeResult() home.CallResult { return r.homeResult }

// Call forwards a call to the home of its program and streams the text of the answer to
// sink. It retries on another home within the limits of callHome; sink never gets a part
// of the text twice. Errors are of type *program.Error, except a failure to seal the next
// handle; a token that can't be opened or belongs to another caller gives
// program.KindDenied.
func (e *Entry) Call(ctx context.Context, caller, token string, call program.Call, sink home.Sink) (Result, error) {
	handle, err := e.openHandle(caller, token)
	if err != nil {
		e.metrics.countRefusal(err)
		return Result{}, err
	}
	e.metrics.calls.Add(1)
	relay := &relay{sink: sink, received: []byte(call.ReceivedText())}
	var result home.CallResult
	err = e.callHome(ctx, handle, func(ctx context.Context, instance string, h program.Handle) error {
		var err error
		relay.startAttempt()
		result, err = e.config.HomeClient.Call(ctx, instance, h, relay.withReceived(call), relay.send)
		return err
	})
	if err != nil {
		e.metrics.countRefusal(err)
		return Result{}, err
	}
	next, err := e.config.Sealer.Seal(result.Handle())
	return Result{token: next, homeResult: result}, err
}

// relay forwards the text of an answer to the caller. Each attempt streams the text from
// the start, and the relay drops the part that the caller already has.
type relay struct {
	sink home.Sink
	// received is the text known so far: what the caller had before this call and what
	// the attempts have streamed beyond that.
	received []byte
	// deliveredBytes counts the bytes given to sink by all attempts.
	deliveredBytes int
	// attemptBytes counts the bytes that the current attempt has streamed.
	attemptBytes int
}

func (r *relay) startAttempt() { r.attemptBytes = 0 }

// withReceived returns a model call with the text received so far, so that a home that
// runs the call again continues from there. Otherwise its engine could generate a
// different text, which does not fit the part that the caller already has.
func (r *relay) withReceived(call program.Call) program.Call {
	if call.Type() != program.ModelCall {
		return call
	}
	return call.WithReceivedText(string(r.received))
}

func (r *relay) send(text []byte) error {
	skip := max(0, r.deliveredBytes-r.attemptBytes)
	r.attemptBytes += len(text)
	if skip >= len(text) {
		return nil
	}
	r.deliveredBytes += len(text) - skip
	if r.attemptBytes > len(r.received) {
		r.received = append(r.received, text[len(text)-(r.attemptBytes-len(r.received)):]...)
	}
	return r.sink(text[skip:])
}
