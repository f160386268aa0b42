package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/route"
)

// timedTransport answers with streams whose events arrive at given times.
type timedTransport struct {
	// arrivals returns when the events after the one numbered last arrive, from the request on; a stream
	// whose last time is negative breaks off.
	arrivals func(id string, last int) []time.Duration
	// sentTo is the endpoint of the latest attempt.
	sentTo string
}

func (tr *timedTransport) Send(_ context.Context, t endpoint.Target, r gateway.EndpointRequest) (gateway.Response, error) {
	tr.sentTo = t.ID()
	last := 0
	_, _ = fmt.Sscan(r.LastEventID, &last)
	return &timedStream{sentAt: time.Now(), arrivals: tr.arrivals(t.ID(), last), number: last}, nil
}

func (tr *timedTransport) Alive(context.Context, endpoint.Target) bool { return true }

// timedStream is a stream whose events can be read from the time of their arrival on.
type timedStream struct {
	okResponse
	sentAt   time.Time
	arrivals []time.Duration
	number   int
}

func (*timedStream) IsStream() bool { return true }

func (s *timedStream) Next() (gateway.Event, error) {
	if len(s.arrivals) == 0 {
		return gateway.Event{}, io.EOF
	}
	arrival := s.arrivals[0]
	s.arrivals = s.arrivals[1:]
	if arrival < 0 {
		return gateway.Event{}, gateway.Errorf("read event", gateway.KindBroken, "connection reset")
	}
	time.Sleep(time.Until(s.sentAt.Add(arrival)))
	s.number++
	return gateway.Event{ID: fmt.Sprint(s.number), Data: []byte("a"), Raw: []byte("data: a\n\n")}, nil
}

// blockingCaller is a caller that takes some time for each event.
type blockingCaller struct {
	responseRecorder
	delay func() time.Duration
}

func (b *blockingCaller) WriteEvent([]byte) error {
	time.Sleep(b.delay())
	return nil
}

// arriving returns the times of events, the first after 30 ms.
func arriving(count int, gap time.Duration) (out []time.Duration) {
	for i := range count {
		out = append(out, 30*time.Millisecond+time.Duration(i)*gap)
	}
	return out
}

// TestSpeedOfEnginesComesFromTheirEvents guards against engines that count as slow because of a caller, a
// connection or an earlier attempt, and against slow engines that count as fast because several
// of their events arrive at once.
func TestSpeedOfEnginesComesFromTheirEvents(t *testing.T) {
	const usual = 20 * time.Millisecond
	steady := func(string, int) []time.Duration { return arriving(8, usual) }
	slow := "engine-1"
	tests := []struct {
		name     string
		arrivals func(id string, last int) []time.Duration
		// callerDelay is how long the caller takes for an event of engine-1.
		callerDelay time.Duration
		spread      float64
	}{
		{name: "alike", arrivals: steady, spread: 1},
		{name: "slow engine", arrivals: func(id string, _ int) []time.Duration {
			if id == slow {
				return arriving(8, 2*usual)
			}
			return arriving(8, usual)
		}, spread: 2},
		{name: "first event late", arrivals: func(id string, _ int) []time.Duration {
			out := arriving(8, usual)
			if id == slow {
				for i := range out {
					out[i] += time.Second
				}
			}
			return out
		}, spread: 1},
		{name: "slow caller", arrivals: steady, callerDelay: 7 * usual / 2, spread: 1},
		{name: "very slow caller", arrivals: steady, callerDelay: 10 * time.Second, spread: 1},
		{name: "slow engine with a slow caller", arrivals: func(id string, _ int) []time.Duration {
			if id == slow {
				return arriving(40, 2*usual)
			}
			return arriving(40, usual)
		}, callerDelay: 15 * time.Millisecond, spread: 2},
		{name: "two events at once", arrivals: func(id string, _ int) []time.Duration {
			out := arriving(8, usual)
			if id == slow {
				for i := 1; i < len(out); i += 2 {
					out[i-1] = out[i]
				}
			}
			return out
		}, spread: 1},
		{name: "all events at once", arrivals: func(id string, _ int) []time.Duration {
			if id == slow {
				return arriving(8, 0)
			}
			return arriving(8, usual)
		}, spread: 1},
		{name: "resumed after a wait", arrivals: func(id string, last int) []time.Duration {
			if last == 0 && id == slow {
				return append(arriving(4, usual), -1)
			}
			out := arriving(8-last, usual)
			if last > 0 {
				for i := range out {
					out[i] += time.Second
				}
			}
			return out
		}, spread: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &timedTransport{arrivals: test.arrivals}
				config := route.Config{Name: "ask", Host: "h", PathPrefix: "/ask/", Streaming: true, RetryPolicy: route.Resumable, MaxAttempts: 3, Splits: []route.Split{{Service: "engine", Weight: 1}}}
				g, _ := newStreamGateway(t, transport, noTurns{}, config)
				for n := range 30 {
					// A full engine gets no request, so that both get half of them.
					full := []string{"engine-1", "engine-2"}[n%2]
					g.Directory.UpdatePeerLoads("front-2", []endpoint.Load{{Endpoint: endpoint.Key(full), Running: 1 << 20}}, time.Now())
					g.Serve(t.Context(), &gateway.Request{
						ID: "r", Method: http.MethodPost, Host: "h", Path: "/ask/1", Target: "/ask/1", Header: http.Header{}, ReceivedAt: time.Now(), MaxTokens: 400,
					}, &blockingCaller{delay: func() time.Duration {
						if transport.sentTo == slow {
							return test.callerDelay
						}
						return 0
					}})
					time.Sleep(100 * time.Millisecond)
					g.Directory.RefreshSpeeds(time.Now())
				}
				require.InDelta(t, test.spread, g.Directory.SpeedSpread(), 0.05)
			})
		})
	}
}

// TestPromptRateComesFromFirstEvents guards against prompts that are taken to be read at the rate of
// another deployment's engine.
func TestPromptRateComesFromFirstEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prompt := int64(0)
		transport := &timedTransport{arrivals: func(string, int) []time.Duration {
			return []time.Duration{10*time.Millisecond + time.Duration(prompt)*time.Millisecond/77}
		}}
		config := route.Config{Name: "ask", Host: "h", PathPrefix: "/ask/", Streaming: true, RetryPolicy: route.AtMostOnce, MaxAttempts: 1, Splits: []route.Split{{Service: "engine", Weight: 1}}}
		g, _ := newStreamGateway(t, transport, noTurns{}, config)
		for n := range int64(100) {
			prompt = 400 + 37*(n%50)
			g.Serve(t.Context(), &gateway.Request{
				ID: "r", Method: http.MethodPost, Host: "h", Path: "/ask/1", Target: "/ask/1", Header: http.Header{}, ReceivedAt: time.Now(), PromptTokens: prompt,
			}, &responseRecorder{})
			g.Directory.RefreshSpeeds(time.Now())
		}
		require.InEpsilon(t, 77, g.Directory.PromptRate("engine"), 0.05)
	})
}
