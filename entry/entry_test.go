package entry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/platform"
)

// TestRacingOperatorsGetOneVersion guards against two publications that were made from the
// same version both taking effect, or entries disagreeing on which one did.
func TestRacingOperatorsGetOneVersion(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		first, firstStore := c.startEntry("entry-1")
		second, secondStore := c.startEntry("entry-2")
		endpoint := c.addEndpoint("model-1")
		c.waitForPropagation()
		base := c.mustPublish(first, configuration.NoVersion, quoteClass)
		c.waitForPropagation()
		errs := make(chan error, 2)
		for _, e := range []*entry.Entry{first, second} {
			go func() {
				_, err := c.publish(e, base, quoteClass+"# by "+e.Name()+"\n")
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
		c.waitForPropagation()
		require.Equal(t, firstStore.Record().Text(), secondStore.Record().Text())
		require.Equal(t, firstStore.Version(), endpoint.configurations.Version(), "version in force at the endpoint after 4 s")
	})
}

// TestConfigurationUnderLogFaults guards against a fault of the log setting the version back
// or leaving a new entry without the configuration in force.
func TestConfigurationUnderLogFaults(t *testing.T) {
	tests := []struct {
		name         string
		fault        func(c *cluster, e *entry.Entry, base int64)
		versionGrows bool
	}{
		{
			name: "reply to a publication lost", versionGrows: true,
			fault: func(c *cluster, e *entry.Entry, base int64) {
				c.log.SetFaults(standin.LogFaults{LoseAppendResponses: true})
				_, err := c.publish(e, base, quoteClass+"# next\n")
				require.Error(c.t, err)
				c.log.SetFaults(standin.LogFaults{})
			},
		},
		{
			name: "log restarts with lower offsets", versionGrows: true,
			fault: func(c *cluster, e *entry.Entry, base int64) {
				c.log.Reset()
				c.waitForPropagation()
				c.mustPublish(e, base, quoteClass+"# next\n")
			},
		},
		{
			name: "log restarts and is longer at the next read", versionGrows: true,
			fault: func(c *cluster, _ *entry.Entry, base int64) {
				c.log.Reset()
				c.appendConfigurations(base, 3)
			},
		},
		{
			name: "log restarts during an outage and is as long as before", versionGrows: true,
			fault: func(c *cluster, _ *entry.Entry, base int64) {
				c.log.SetFaults(standin.LogFaults{Down: true})
				c.waitForPropagation()
				c.log.Reset()
				c.log.SetFaults(standin.LogFaults{})
				c.appendConfigurations(base, 2)
			},
		},
		{
			name: "log restarts after old records expired", versionGrows: true,
			fault: func(c *cluster, _ *entry.Entry, base int64) {
				c.log.Expire(entry.ConfigurationStream, 100)
				c.waitForPropagation()
				c.log.Reset()
				c.appendConfigurations(base, 3)
			},
		},
		{
			name: "old records expire",
			fault: func(c *cluster, _ *entry.Entry, _ int64) {
				c.log.Expire(entry.ConfigurationStream, 100)
			},
		},
		{
			name: "log down",
			fault: func(c *cluster, _ *entry.Entry, _ int64) {
				c.log.SetFaults(standin.LogFaults{Down: true})
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				first, firstStore := c.startEntry("entry-1")
				endpoint := c.addEndpoint("model-1")
				c.waitForPropagation()
				base := c.mustPublish(first, configuration.NoVersion, quoteClass)
				base = c.mustPublish(first, base, quoteClass+"# second\n")
				c.waitForPropagation()
				test.fault(c, first, base)
				c.waitForPropagation()
				late, lateStore := c.startEntry("entry-2")
				c.waitForPropagation()
				require.Equal(t, firstStore.Version(), lateStore.Version(), "version at an entry that starts now")
				require.Equal(t, firstStore.Version(), endpoint.configurations.Version())
				require.Equal(t, test.versionGrows, firstStore.Version() > base)
				require.GreaterOrEqual(t, firstStore.Version(), base, "the version must not decrease")
				_, ok := lateStore.Current().Class("quote")
				require.True(t, ok, late.Name())
			})
		})
	}
}

// TestLogNamesVersionInForce guards against log lines that name an offset of the log as the
// version of a configuration: after a restart of the log the two differ.
func TestLogNamesVersionInForce(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		core, lines := observer.New(zap.InfoLevel)
		c.logger = zap.New(core)
		e, _ := c.startEntry("entry-1")
		base := c.mustPublish(e, configuration.NoVersion, quoteClass)
		base = c.mustPublish(e, base, quoteClass+"# second\n")
		c.log.Reset()
		c.waitForPropagation()
		version := c.mustPublish(e, base, quoteClass+"# third\n")
		var logged []int64
		for _, line := range lines.FilterMessage("configuration in force").All() {
			logged = append(logged, line.ContextMap()["version"].(int64))
		}
		require.Equal(t, []int64{0, 1, 2}, logged)
		require.Equal(t, int64(2), version)
	})
}

// TestNewConfigurationCostsOneMoreRead bounds the reads of the log, which all entries share.
func TestNewConfigurationCostsOneMoreRead(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		c.startEntry("entry-1")
		c.appendConfigurations(configuration.NoVersion, 1)
		c.waitForPropagation()
		// From here on, what the test does falls between two polls.
		time.Sleep(250 * time.Millisecond)
		readsIn := func(publications int) int64 {
			before := c.log.Stats().Reads
			for i := range publications {
				c.appendConfigurations(int64(i), 1)
				time.Sleep(time.Second)
			}
			time.Sleep(time.Duration(10-publications) * time.Second)
			return c.log.Stats().Reads - before
		}
		require.Equal(t, readsIn(0)+5, readsIn(5))
	})
}

// startProgram starts a program with a new key.
func startProgram(t *testing.T, c *cluster, e *entry.Entry) (entry.Started, error) {
	t.Helper()
	key, err := client.NewKey()
	require.NoError(t, err)
	return e.Start(c.ctx, entry.StartRequest{Caller: "omuti", Class: "quote", Key: key})
}

// startEntryWithEndpoints returns an entry that knows the named endpoints and a configuration
// with class quote.
func startEntryWithEndpoints(t *testing.T, c *cluster, endpoints ...string) *entry.Entry {
	t.Helper()
	for _, name := range endpoints {
		c.addEndpoint(name)
	}
	e, _ := c.startEntry("entry-1")
	c.waitForPropagation()
	c.mustPublish(e, configuration.NoVersion, quoteClass)
	c.waitForPropagation()
	return e
}

// newCall returns the first model call of a program.
func newCall(t *testing.T) program.Call {
	t.Helper()
	call, err := program.NewCall(program.CallConfig{Number: 1, MaxTokens: 6, Messages: []program.Message{program.NewMessage(program.RoleUser, "hello")}})
	require.NoError(t, err)
	return call
}

// TestRefusedStartAsksTwoEndpointsAtMost guards against a refused start being tried on every
// endpoint, which would multiply the load of an overloaded system.
func TestRefusedStartAsksTwoEndpointsAtMost(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		e := startEntryWithEndpoints(t, c, "model-1", "model-2", "model-3", "model-4")
		full := program.Errorf("admit", program.KindOverloaded, "full")
		for _, model := range c.endpoints {
			model.update(func(e *endpoint) { e.startErr = full })
		}
		_, err := startProgram(t, c, e)
		require.Equal(t, program.KindOverloaded, program.KindOf(err))
		starts := 0
		for _, model := range c.endpoints {
			starts += model.starts
		}
		require.Equal(t, 2, starts)
	})
}

// TestStreamContinuesElsewhereWithoutGapOrRepeat guards against lost or repeated text when a
// home fails in the middle of an answer and another endpoint continues it.
func TestStreamContinuesElsewhereWithoutGapOrRepeat(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		e := startEntryWithEndpoints(t, c, "model-1", "model-2")
		started, err := startProgram(t, c, e)
		require.NoError(t, err)
		home := started.HomeResult().Handle().Home()
		c.endpoints[home].update(func(e *endpoint) { e.failAtWord = 4 })
		var text []byte
		startedAt := time.Now()
		result, err := e.Call(c.ctx, "omuti", started.Token(), newCall(t), func(piece []byte) error {
			text = append(text, piece...)
			return nil
		})
		require.NoError(t, err)
		other := result.HomeResult().Answer().Endpoint()
		require.NotEqual(t, home, other)
		want := fmt.Sprintf("w0@%[1]s w1@%[1]s w2@%[1]s w3@%[1]s w4@%[2]s w5@%[2]s ", home, other)
		require.Equal(t, want, string(text), "the other home continues after the text that the caller has")
		require.LessOrEqual(t, time.Since(startedAt), 5*time.Second, "time to recover, in virtual time")
	})
}

// TestBudgetOfChildReturnsWhenCallerHasLeft guards against tokens of a parent that stay
// reserved for a child that did not start or has ended, because its caller left meanwhile.
func TestBudgetOfChildReturnsWhenCallerHasLeft(t *testing.T) {
	full := program.Errorf("admit", program.KindOverloaded, "full")
	lost := program.NewError(program.ErrorConfig{Op: "start", Kind: program.KindUnavailable, Outcome: program.InDoubt, Err: errDown})
	tests := []struct {
		name  string
		leave func(c *cluster, leave func())
		// startErrs are the answers to the starts of the child.
		startErrs []error
		end       bool
		reserved  bool
	}{
		{name: "start refused", leave: func(c *cluster, leave func()) { c.onStart = leave }, startErrs: []error{full, full}},
		{name: "reservation made", leave: func(c *cluster, leave func()) { c.onTransfer = leave }},
		{name: "start in doubt", leave: func(c *cluster, leave func()) { c.onStart = leave }, startErrs: []error{lost, full}, reserved: true},
		{name: "child started", leave: func(c *cluster, leave func()) { c.onStart = leave }, reserved: true},
		{name: "child ended", leave: func(c *cluster, leave func()) { c.onEnd = leave }, end: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				e := startEntryWithEndpoints(t, c, "model-1", "model-2")
				parent, err := startProgram(t, c, e)
				require.NoError(t, err)
				ctx, leave := context.WithCancel(c.ctx)
				defer leave()
				test.leave(c, leave)
				c.startErrs = test.startErrs
				key, err := client.NewKey()
				require.NoError(t, err)
				child, err := e.Start(ctx, entry.StartRequest{Caller: "omuti", Class: "quote", Key: key, Budget: 100, ParentHandle: parent.Token()})
				if test.end {
					require.NoError(t, err)
					require.Len(t, c.reservations, 1)
					_, err = e.End(ctx, "omuti", child.Token(), false)
					require.NoError(t, err)
				}
				require.Error(t, ctx.Err(), "the caller has left")
				require.Equal(t, test.reserved, len(c.reservations) == 1)
			})
		})
	}
}

// TestStartInDoubtStaysInDoubt guards against a program that may have started at one endpoint
// being reported as not run because another endpoint refused it.
func TestStartInDoubtStaysInDoubt(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		e := startEntryWithEndpoints(t, c, "model-1", "model-2")
		full := program.Errorf("admit", program.KindOverloaded, "full")
		lost := program.NewError(program.ErrorConfig{Op: "start", Kind: program.KindUnavailable, Outcome: program.InDoubt, Err: errDown})
		tests := []struct {
			name string
			errs []error
			want program.Outcome
		}{
			{name: "refused twice", errs: []error{full, full}, want: program.NotRun},
			{name: "lost, then refused", errs: []error{lost, full}, want: program.InDoubt},
			{name: "refused, then lost", errs: []error{full, lost}, want: program.InDoubt},
		}
		for _, test := range tests {
			c.startErrs = test.errs
			_, err := startProgram(t, c, e)
			require.Equal(t, test.want, program.AsError(err).Outcome(), test.name)
		}
	})
}

// TestCallInDoubtStaysInDoubt guards against a call that a home may have run being reported
// as not run because the later attempts did not reach a home.
func TestCallInDoubtStaysInDoubt(t *testing.T) {
	lost := program.NewError(program.ErrorConfig{Op: "call", Kind: program.KindUnavailable, Outcome: program.InDoubt, Err: errDown})
	tests := []struct {
		name string
		errs []error
		want program.Outcome
	}{
		{name: "never reached", want: program.NotRun},
		{name: "lost, then not reached", errs: []error{lost}, want: program.InDoubt},
		{name: "lost, then refused by the home", errs: []error{lost, program.Errorf("call", program.KindOverBudget, "spent")}, want: program.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				e := startEntryWithEndpoints(t, c, "model-1")
				started, err := startProgram(t, c, e)
				require.NoError(t, err)
				unreachable := program.Errorf("reach", program.KindUnavailable, "connection refused")
				errs := test.errs
				for len(errs) < 30 {
					errs = append(errs, unreachable)
				}
				c.endpoints["model-1"].update(func(e *endpoint) { e.callErrs = errs })
				_, err = e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
				require.Equal(t, test.want, program.AsError(err).Outcome())
			})
		})
	}
}

// TestNewHomeHasItsOwnTimeToAnswer guards against the time in which an earlier home did not
// answer counting for the one after it, which would be replaced at its first failure.
func TestNewHomeHasItsOwnTimeToAnswer(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		e := startEntryWithEndpoints(t, c, "model-1", "model-2")
		started, err := startProgram(t, c, e)
		require.NoError(t, err)
		first := started.HomeResult().Handle().Home()
		second := map[string]string{"model-1": "model-2", "model-2": "model-1"}[first]
		unavailable := program.Errorf("reach", program.KindUnavailable, "no answer")
		moved := program.NewError(program.ErrorConfig{Op: "call", Kind: program.KindMoved, Home: second, Err: errDown})
		// The waits before the retries, 25 ms and doubled up to 400 ms, put the last of these
		// answers just before the time after which a home is replaced.
		c.endpoints[first].update(func(e *endpoint) {
			e.callErrs = []error{unavailable, unavailable, unavailable, unavailable, unavailable, unavailable, moved}
		})
		c.endpoints[second].update(func(e *endpoint) { e.callErrs = []error{unavailable} })
		result, err := e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
		require.NoError(t, err)
		require.Equal(t, second, result.HomeResult().Answer().Endpoint())
		require.Equal(t, 7, c.endpoints[first].calls, "calls at the first home")
		require.Equal(t, 2, c.endpoints[second].calls, "calls at the second home")
	})
}

// TestProgramsStayWhenInstanceListIsEmptyOrDown guards against programs being moved from
// working homes because the platform's instance list is empty or can't be read.
func TestProgramsStayWhenInstanceListIsEmptyOrDown(t *testing.T) {
	tests := []struct {
		name  string
		fault func(l *standin.InstanceList)
	}{
		{name: "list empty", fault: func(l *standin.InstanceList) { l.SetEmpty(true) }},
		{name: "list unavailable", fault: func(l *standin.InstanceList) { l.SetDown(true) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				e := startEntryWithEndpoints(t, c, "model-1", "model-2")
				test.fault(c.instances)
				time.Sleep(5 * time.Minute)
				started, err := startProgram(t, c, e)
				require.NoError(t, err)
				result, err := e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
				require.NoError(t, err)
				require.Equal(t, started.HomeResult().Handle().Home(), result.HomeResult().Answer().Endpoint())
			})
		})
	}
}

// TestHandleOfAnotherCallerIsRefused guards against a caller using a program of another
// caller with its token.
func TestHandleOfAnotherCallerIsRefused(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		e := startEntryWithEndpoints(t, c, "model-1")
		started, err := startProgram(t, c, e)
		require.NoError(t, err)
		_, err = e.Call(c.ctx, "cernavoda", started.Token(), newCall(t), func([]byte) error { return nil })
		require.Equal(t, program.KindDenied, program.KindOf(err))
		_, err = e.End(c.ctx, "cernavoda", started.Token(), true)
		require.Equal(t, program.KindDenied, program.KindOf(err))
		_, err = e.Read(c.ctx, "cernavoda", started.Token())
		require.Equal(t, program.KindDenied, program.KindOf(err))
		require.Zero(t, c.endpoints["model-1"].calls)
	})
}

// TestRetriesHaveABudget guards against retries multiplying the load when all homes answer
// that the program has moved.
func TestRetriesHaveABudget(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		e := startEntryWithEndpoints(t, c, "model-1", "model-2", "model-3")
		started, err := startProgram(t, c, e)
		require.NoError(t, err)
		for _, model := range c.endpoints {
			model.update(func(e *endpoint) { e.moved = true })
		}
		const requests = 500
		for range requests {
			_, err := e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
			require.Equal(t, program.KindMoved, program.KindOf(err))
		}
		calls := 0
		for _, model := range c.endpoints {
			calls += model.calls
		}
		require.LessOrEqual(t, calls, requests+requests/5+50+1, "retries are at most a fifth of the requests plus the saved retries")
	})
}

// TestOnlyRetriesThatAreSentCount guards against retries and moves that are counted, and
// taken from the retry budget, without another attempt.
func TestOnlyRetriesThatAreSentCount(t *testing.T) {
	lost := program.NewError(program.ErrorConfig{Op: "call", Kind: program.KindUnavailable, Outcome: program.InDoubt, Err: errDown})
	t.Run("the caller leaves in the wait", func(t *testing.T) {
		runInCluster(t, func(t *testing.T, c *cluster) {
			e := startEntryWithEndpoints(t, c, "model-1")
			started, err := startProgram(t, c, e)
			require.NoError(t, err)
			const requests = 100
			for range requests {
				c.endpoints["model-1"].update(func(e *endpoint) { e.callErrs = []error{lost} })
				ctx, cancel := context.WithTimeout(c.ctx, 10*time.Millisecond)
				_, err = e.Call(ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
				cancel()
				require.Error(t, err)
			}
			require.Equal(t, requests, c.endpoints["model-1"].calls)
			require.Equal(t, int64(0), e.Metrics()["retries"])
			c.endpoints["model-1"].update(func(e *endpoint) { e.callErrs = []error{lost, lost, lost} })
			_, err = e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
			require.NoError(t, err, "the retry budget is whole, as nothing was sent again")
		})
	})
	t.Run("the retry budget is used up", func(t *testing.T) {
		runInCluster(t, func(t *testing.T, c *cluster) {
			e := startEntryWithEndpoints(t, c, "model-1", "model-2", "model-3")
			started, err := startProgram(t, c, e)
			require.NoError(t, err)
			for _, model := range c.endpoints {
				model.update(func(e *endpoint) { e.moved = true })
			}
			const requests = 100
			for range requests {
				_, err := e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
				require.Error(t, err)
			}
			calls := 0
			for _, model := range c.endpoints {
				calls += model.calls
			}
			require.Equal(t, int64(calls-requests), e.Metrics()["retries"])
			require.Equal(t, int64(calls-requests), e.Metrics()["moves"], "each retry went to another endpoint")
		})
	})
	t.Run("no other endpoint", func(t *testing.T) {
		runInCluster(t, func(t *testing.T, c *cluster) {
			e := startEntryWithEndpoints(t, c, "model-1")
			started, err := startProgram(t, c, e)
			require.NoError(t, err)
			model := c.endpoints["model-1"]
			model.update(func(e *endpoint) { e.moved = true })
			const requests = 100
			for range requests {
				_, err := e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
				require.Error(t, err)
			}
			model.update(func(e *endpoint) { e.moved, e.callErrs = false, []error{lost, lost, lost} })
			_, err = e.Call(c.ctx, "omuti", started.Token(), newCall(t), func([]byte) error { return nil })
			require.NoError(t, err, "the retry budget is whole, as nothing was sent again")
		})
	})
}
