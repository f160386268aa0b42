package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/memory"
	"github.com/lavendervale/lavendervale/origin"
	"github.com/lavendervale/lavendervale/route"
)

// scriptTransport answers each attempt with the next of some streams.
type scriptTransport struct {
	// streams are the identifiers of the events of each attempt.
	streams [][]string
	// after are the Last-Event-Id of the attempts.
	after []string
}

func (s *scriptTransport) Send(_ context.Context, _ endpoint.Target, r gateway.EndpointRequest) (gateway.Response, error) {
	if len(s.streams) == 0 {
		return nil, errors.New("no further attempt is expected")
	}
	ids := s.streams[0]
	s.streams, s.after = s.streams[1:], append(s.after, r.LastEventID)
	return &scriptStream{ids: ids}, nil
}

func (s *scriptTransport) Alive(context.Context, endpoint.Target) bool { return true }

// scriptStream is a stream of events with the given identifiers; an empty one is a comment.
type scriptStream struct {
	okResponse
	ids []string
}

func (*scriptStream) IsStream() bool { return true }

func (s *scriptStream) Next() (gateway.Event, error) {
	if len(s.ids) == 0 {
		return gateway.Event{}, io.EOF
	}
	id := s.ids[0]
	s.ids = s.ids[1:]
	if id == "" {
		return gateway.Event{Empty: true, Raw: []byte(":\n\n")}, nil
	}
	return gateway.Event{ID: id, Data: []byte("a"), Raw: fmt.Appendf(nil, "id: %s\ndata: a\n\n", id)}, nil
}

// noRegistrations never reads registrations.
type noRegistrations struct{}

func (noRegistrations) ReadRegistrations(context.Context) {}

// noOrigins is a gateway.OriginTracker that knows none.
type noOrigins struct{}

func (noOrigins) RecordOrigin(context.Context, origin.Origin, bool) {}
func (noOrigins) FindOrigin(context.Context, string) (origin.Origin, bool, error) {
	return origin.Origin{}, false, nil
}

// TestEventsBeyondTheResponseAreNotPassedOn guards against turns that are handed more tokens than
// their program's budget by an engine that does not end its response (review script runon), and
// against repeated events.
func TestEventsBeyondTheResponseAreNotPassedOn(t *testing.T) {
	numbers := func(from, to int) (ids []string) {
		for n := from; n <= to; n++ {
			ids = append(ids, fmt.Sprint(n))
		}
		return ids
	}
	tests := []struct {
		name      string
		resumable bool
		maxTokens int64
		after     string
		streams   [][]string
		// events is the number of events that the caller gets, complete whether the stream ends.
		events   int
		complete bool
		// resumedAfter are the Last-Event-Id of the attempts.
		resumedAfter []string
	}{
		{name: "all that was declared", maxTokens: 40, streams: [][]string{numbers(1, 4)}, events: 4, complete: true, resumedAfter: []string{""}},
		{name: "last event not full", maxTokens: 35, streams: [][]string{numbers(1, 4)}, events: 4, complete: true, resumedAfter: []string{""}},
		{name: "fewer than declared", maxTokens: 80, streams: [][]string{numbers(1, 4)}, events: 4, complete: true, resumedAfter: []string{""}},
		{name: "nothing declared", streams: [][]string{numbers(1, 500)}, events: 500, complete: true, resumedAfter: []string{""}},
		{name: "more than declared", maxTokens: 40, streams: [][]string{numbers(1, 400)}, events: 4, resumedAfter: []string{""}},
		{name: "comments are no tokens", maxTokens: 40, streams: [][]string{append(numbers(1, 4), "", "", "")}, events: 4, complete: true, resumedAfter: []string{""}},
		{name: "event twice", maxTokens: 80, streams: [][]string{{"1", "2", "2", "3"}}, events: 2, resumedAfter: []string{""}},
		{name: "events backwards", maxTokens: 800, streams: [][]string{{"1", "2", "10", "9"}}, events: 3, resumedAfter: []string{""}},
		{name: "identifiers without order", maxTokens: 800, streams: [][]string{{"c", "a", "b"}}, events: 3, complete: true, resumedAfter: []string{""}},
		{name: "caller resumes", resumable: true, maxTokens: 80, after: "6", streams: [][]string{{"7", "8"}}, events: 2, complete: true, resumedAfter: []string{"6"}},
		{name: "resumed from the start", resumable: true, maxTokens: 80, after: "6", streams: [][]string{{"1", "2"}, {"7"}}, events: 1, complete: true, resumedAfter: []string{"6", "6"}},
		{name: "resumed elsewhere", resumable: true, maxTokens: 80, streams: [][]string{{"1", "2", "2"}, {"3", "4"}}, events: 4, complete: true, resumedAfter: []string{"", "2"}},
		{name: "nothing left elsewhere", resumable: true, maxTokens: 40, streams: [][]string{numbers(1, 400), {}}, events: 4, complete: true, resumedAfter: []string{"", "4"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &scriptTransport{streams: test.streams}
				config := route.Config{Name: "ask", Host: "h", PathPrefix: "/ask/", Streaming: true, RetryPolicy: route.AtMostOnce, MaxAttempts: 3, Splits: []route.Split{{Service: "engine", Weight: 1}}}
				if test.resumable {
					config.RetryPolicy = route.Resumable
				}
				g, _ := newStreamGateway(t, transport, noTurns{}, config)
				recorder := &bodyRecorder{}
				g.Serve(t.Context(), &gateway.Request{
					ID: "r", Method: http.MethodPost, Host: "h", Path: "/ask/1", Target: "/ask/1", Header: http.Header{}, ReceivedAt: time.Now(),
					MaxTokens: test.maxTokens, LastEventID: test.after,
				}, recorder)
				require.Equal(t, test.events, bytes.Count(recorder.body.Bytes(), []byte("data: a\n")))
				require.Equal(t, test.complete, recorder.finished)
				require.Equal(t, !test.complete, recorder.aborted)
				require.Equal(t, test.resumedAfter, transport.after)
			})
		})
	}
}

// newStreamGateway returns a gateway with a route for streams of 10 tokens an event, and its
// limiter of buffers.
func newStreamGateway(t *testing.T, transport gateway.Transport, turns gateway.TurnTracker, config route.Config) (*gateway.Gateway, *memory.Limiter) {
	table, err := route.NewTable(route.TableConfig{
		Version: 1, Routes: []*route.Route{route.New(config)}, Services: []route.Service{{Name: "engine", Engine: &route.Engine{TokensPerEvent: 10}}},
	})
	require.NoError(t, err)
	routes := &route.Store{}
	_, err = routes.Update(table)
	require.NoError(t, err)
	directory := endpoint.NewDirectory()
	for _, id := range []string{"engine-1", "engine-2"} {
		directory.Put(endpoint.Registration{ID: id, Service: "engine", Address: "127.0.0.1:1", Slots: 4 * longStreams}, time.Now())
	}
	limiter := memory.New(memory.Config{CapacityBytes: bufferBytes})
	return gateway.New(gateway.Config{
		Routes: routes, Directory: directory, Queue: dispatch.New(directory), Transport: transport, Registrations: noRegistrations{}, TurnTracker: turns, Origins: noOrigins{}, CrashTracker: noCrashes{},
		Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Logger: zap.NewNop(),
	}), limiter
}
