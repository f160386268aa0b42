package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

func TestRacingOperatorsGetOneVersion(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		one, oneStore := w.entry("entry-1")
		two, twoStore := w.entry("entry-2")
		endpoint := w.endpoint("model-1")
		w.settle()
		base := w.mustPublish(one, configuration.NoVersion, quoteClass)
		w.settle()
		errs := make(chan error, 2)
		for _, e := range []*entry.Entry{one, two} {
			go func() {
				_, err := w.publish(e, base, quoteClass+"# by "+e.Name()+"\n")
				errs <- err
			}()
		}
		conflicts := 0
		for range 2 {
			if err := <-errs; err != nil {
				var e *configuration.Error
				require.ErrorAs(t, err, &e)
				require.Equal(t, configuration.KindConflict, e.Kind())
				conflicts++
			}
		}
		require.Equal(t, 1, conflicts)
		w.settle()
		require.Equal(t, oneStore.Record().Text(), twoStore.Record().Text())
		require.Equal(t, oneStore.Version(), endpoint.store.Version(), "in force at the endpoint within 4 s")
	})
}

func TestConfigurationUnderLogFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(w *world, e *entry.Entry, base int64)
		grows bool
	}{
		{
			name: "answer to a publication lost", grows: true,
			fault: func(w *world, e *entry.Entry, base int64) {
				w.log.SetFaults(standin.LogFaults{LoseAnswers: true})
				_, err := w.publish(e, base, quoteClass+"# next\n")
				require.Error(w.t, err)
				w.log.SetFaults(standin.LogFaults{})
			},
		},
		{
			name: "log begins anew with lower offsets", grows: true,
			fault: func(w *world, e *entry.Entry, base int64) {
				w.log.Restart()
				w.settle()
				w.mustPublish(e, base, quoteClass+"# next\n")
			},
		},
		{
			name: "old records expire",
			fault: func(w *world, _ *entry.Entry, _ int64) {
				w.log.Expire(entry.ConfigurationStream, 100)
			},
		},
		{
			name: "log down",
			fault: func(w *world, _ *entry.Entry, _ int64) {
				w.log.SetFaults(standin.LogFaults{Down: true})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				one, oneStore := w.entry("entry-1")
				endpoint := w.endpoint("model-1")
				w.settle()
				base := w.mustPublish(one, configuration.NoVersion, quoteClass)
				base = w.mustPublish(one, base, quoteClass+"# second\n")
				w.settle()
				test.fault(w, one, base)
				w.settle()
				late, lateStore := w.entry("entry-2")
				w.settle()
				require.Equal(t, oneStore.Version(), lateStore.Version(), "an entry that starts now")
				require.Equal(t, oneStore.Version(), endpoint.store.Version())
				require.Equal(t, test.grows, oneStore.Version() > base)
				require.GreaterOrEqual(t, oneStore.Version(), base, "never back")
				_, ok := lateStore.Current().Class("quote")
				require.True(t, ok, late.Name())
			})
		})
	}
}

// start starts a program with a fresh key.
func start(t *testing.T, w *world, e *entry.Entry) (entry.Started, error) {
	t.Helper()
	key, err := client.NewKey()
	require.NoError(t, err)
	return e.Start(w.ctx, entry.StartRequest{Caller: "omuti", Class: "quote", Key: key})
}

func ready(t *testing.T, w *world, endpoints ...string) *entry.Entry {
	t.Helper()
	for _, name := range endpoints {
		w.endpoint(name)
	}
	e, _ := w.entry("entry-1")
	w.settle()
	w.mustPublish(e, configuration.NoVersion, quoteClass)
	w.settle()
	return e
}

func ask(t *testing.T) program.Call {
	t.Helper()
	c, err := program.NewCall(program.CallConfig{Number: 1, MaxTokens: 6, Messages: []program.Message{program.NewMessage(program.RoleUser, "hello")}})
	require.NoError(t, err)
	return c
}

func TestRefusalAsksTwoEndpointsAtMost(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		e := ready(t, w, "model-1", "model-2", "model-3", "model-4")
		full := program.Errorf("admit", program.KindOverloaded, "full")
		for _, model := range w.endpoints {
			model.set(func(e *endpoint) { e.refuse = full })
		}
		_, err := start(t, w, e)
		require.Equal(t, program.KindOverloaded, program.KindOf(err))
		asked := 0
		for _, model := range w.endpoints {
			asked += model.starts
		}
		require.Equal(t, 2, asked)
	})
}

func TestStreamGoesOnElsewhereWithoutAGapOrARepeat(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		e := ready(t, w, "model-1", "model-2")
		started, err := start(t, w, e)
		require.NoError(t, err)
		home := started.Started().Handle().Home()
		w.endpoints[home].set(func(e *endpoint) { e.cutAt = 4 })
		var text []byte
		begun := time.Now()
		result, err := e.Call(w.ctx, "omuti", started.Token(), ask(t), func(piece []byte) error {
			text = append(text, piece...)
			return nil
		})
		require.NoError(t, err)
		other := result.Result().Answer().Endpoint()
		require.NotEqual(t, home, other)
		want := fmt.Sprintf("w0@%[1]s w1@%[1]s w2@%[1]s w3@%[1]s w4@%[2]s w5@%[2]s ", home, other)
		require.Equal(t, want, string(text), "the other home goes on from what the caller has")
		require.LessOrEqual(t, time.Since(begun), 5*time.Second, "recovery, in virtual time")
	})
}

func TestNoFlightWhenTheListGoesEmptyOrStale(t *testing.T) {
	tests := []struct {
		name  string
		fault func(l *standin.Instances)
	}{
		{name: "empty", fault: func(l *standin.Instances) { l.SetEmpty(true) }},
		{name: "down", fault: func(l *standin.Instances) { l.SetDown(true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				e := ready(t, w, "model-1", "model-2")
				test.fault(w.list)
				time.Sleep(5 * time.Minute)
				started, err := start(t, w, e)
				require.NoError(t, err)
				result, err := e.Call(w.ctx, "omuti", started.Token(), ask(t), func([]byte) error { return nil })
				require.NoError(t, err)
				require.Equal(t, started.Started().Handle().Home(), result.Result().Answer().Endpoint())
			})
		})
	}
}

func TestHandleOfAnotherCallerIsRefused(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		e := ready(t, w, "model-1")
		started, err := start(t, w, e)
		require.NoError(t, err)
		_, err = e.Call(w.ctx, "cernavoda", started.Token(), ask(t), func([]byte) error { return nil })
		require.Equal(t, program.KindDenied, program.KindOf(err))
		_, err = e.End(w.ctx, "cernavoda", started.Token(), true)
		require.Equal(t, program.KindDenied, program.KindOf(err))
		_, err = e.Read(w.ctx, "cernavoda", started.Token())
		require.Equal(t, program.KindDenied, program.KindOf(err))
		require.Zero(t, w.endpoints["model-1"].calls)
	})
}

func TestRetriesHaveABudget(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		e := ready(t, w, "model-1", "model-2", "model-3")
		started, err := start(t, w, e)
		require.NoError(t, err)
		for _, model := range w.endpoints {
			model.set(func(e *endpoint) { e.moved = true })
		}
		const requests = 500
		for range requests {
			_, err := e.Call(w.ctx, "omuti", started.Token(), ask(t), func([]byte) error { return nil })
			require.Equal(t, program.KindMoved, program.KindOf(err))
		}
		calls := 0
		for _, model := range w.endpoints {
			calls += model.calls
		}
		require.LessOrEqual(t, calls, requests+requests/5+50+1, "a fifth more, and what was saved")
	})
}
