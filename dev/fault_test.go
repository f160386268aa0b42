package dev_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/examples"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/standin/engine"
)

func userMessage(text string) []program.Message {
	return []program.Message{program.NewMessage(program.RoleUser, text)}
}

func startProgram(t *testing.T, cluster *dev.Cluster, entry, class string) *client.Program {
	t.Helper()
	key, err := client.NewKey()
	require.NoError(t, err)
	p, err := cluster.Client(entry).Start(context.Background(), client.StartConfig{Class: class, Key: key})
	require.NoError(t, err)
	return p
}

// askAndInterrupt asks for an answer of the given length and calls interrupt once, after
// more than 40 bytes of it have been streamed. The streamed text must equal the answer: no
// piece may be lost or delivered twice.
func askAndInterrupt(t *testing.T, p *client.Program, tokens int64, interrupt func()) *client.Answer {
	t.Helper()
	var once sync.Once
	var streamed strings.Builder
	answer, err := p.Ask(context.Background(), userMessage("tell me all"), tokens, func(text string) {
		streamed.WriteString(text)
		if streamed.Len() > 40 {
			once.Do(interrupt)
		}
	})
	require.NoError(t, err)
	require.Equal(t, answer.Text(), streamed.String(), "streamed text differs from the answer")
	return answer
}

// TestProgramContinuesAfterLossOfHome breaks the connections to a program's home between
// turns and during a stream. The next turn must be answered and the stream completed, by
// another endpoint when the home cannot be reached, and without repeated or missing text.
func TestProgramContinuesAfterLossOfHome(t *testing.T) {
	tests := []struct {
		name      string
		fault     func(cluster *dev.Cluster, home string)
		wantMoved bool
	}{
		{name: "disconnected", fault: func(cluster *dev.Cluster, home string) { cluster.Relay(home).Disconnect() }, wantMoved: true},
		{name: "data silently discarded", fault: func(cluster *dev.Cluster, home string) { cluster.Relay(home).Blackhole() }},
	}
	for _, test := range tests {
		t.Run(test.name+" between turns", func(t *testing.T) {
			cluster := startFastCluster(t, 1)
			p := startProgram(t, cluster, "entry-1", "quote")
			_, err := p.Ask(context.Background(), userMessage("first"), 8, nil)
			require.NoError(t, err)
			home := p.Endpoint()
			test.fault(cluster, home)
			startedAt := time.Now()
			_, err = p.Ask(context.Background(), userMessage("second"), 8, nil)
			require.NoError(t, err)
			t.Logf("next turn answered after %v", time.Since(startedAt))
			require.Equal(t, test.wantMoved, home != p.Endpoint())
			state, err := p.Get(context.Background())
			require.NoError(t, err)
			require.EqualValues(t, 3, state.GetNextNumber())
		})
		t.Run(test.name+" during a stream", func(t *testing.T) {
			cluster := startSlowCluster(t, 1)
			p := startProgram(t, cluster, "entry-1", "quote")
			_, err := p.Ask(context.Background(), userMessage("first"), 8, nil)
			require.NoError(t, err)
			home := p.Endpoint()
			startedAt := time.Now()
			answer := askAndInterrupt(t, p, 40, func() { test.fault(cluster, home) })
			t.Logf("stream complete after %v, by %s", time.Since(startedAt), answer.Endpoint())
			require.Len(t, strings.Fields(answer.Text()), 40)
		})
	}
}

// TestOrderIsSentOnceWhenItsHomeIsDisconnected closes the connections to the home while an
// order is being sent. The order must succeed, and the service must run it exactly once.
func TestOrderIsSentOnceWhenItsHomeIsDisconnected(t *testing.T) {
	cluster := startFastCluster(t, 1)
	p := startProgram(t, cluster, "entry-1", "quote")
	_, err := p.Ask(context.Background(), userMessage("first"), 8, nil)
	require.NoError(t, err)
	home := p.Endpoint()
	done := make(chan error, 1)
	go func() {
		_, err := p.Order(context.Background(), "payment", "pay", []byte(`{"amount":5}`))
		done <- err
	}()
	cluster.Relay(home).Disconnect()
	require.NoError(t, <-done)
	require.Len(t, cluster.Service("payment").Effects(), 1)
	for key, n := range cluster.Service("payment").Effects() {
		require.Equal(t, 1, n, key)
	}
}

// TestRollingDrain drains each model endpoint in turn while eight callers run programs at
// two entries. No program may fail, a drained endpoint must not start new calls, and each
// order must run exactly once.
func TestRollingDrain(t *testing.T) {
	cluster := startFastCluster(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var callers sync.WaitGroup
	errs := make(chan error, 64)
	finished := make(chan struct{}, 10_000)
	for i := range 8 {
		callers.Go(func() {
			for ctx.Err() == nil {
				if err := runProgram(cluster, fmt.Sprintf("entry-%d", i%2+1)); err != nil {
					errs <- err
					return
				}
				finished <- struct{}{}
			}
		})
	}
	for _, name := range []string{"model-1", "model-2", "model-3"} {
		version := publishDrain(t, cluster, name)
		waitUntil(t, func() bool {
			e := findEndpoint(t, cluster, name)
			return e.GetRunning() == 0 && e.GetState() == "draining" && e.GetConfigVersion() >= version
		})
		served := cluster.Engine(name).CompletionsStarted()
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, served, cluster.Engine(name).CompletionsStarted(), "a drained endpoint started a call")
		publishDrain(t, cluster, "")
	}
	cancel()
	callers.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
	require.NotEmpty(t, finished)
	for key, n := range cluster.Service("payment").Effects() {
		require.Equal(t, 1, n, key)
	}
}

// runProgram runs a program of three turns and an order to its end.
func runProgram(cluster *dev.Cluster, entry string) error {
	ctx := context.Background()
	key, err := client.NewKey()
	if err != nil {
		return err
	}
	p, err := cluster.Client(entry).Start(ctx, client.StartConfig{Class: "survey", Key: key})
	if err != nil {
		return err
	}
	for i := range 3 {
		answer, err := p.Ask(ctx, userMessage(fmt.Sprint("turn ", i)), 12, nil)
		if err != nil {
			return err
		}
		if n := len(strings.Fields(answer.Text())); n != 12 {
			return fmt.Errorf("answer has %d words, want 12", n)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := p.Order(ctx, "payment", "pay", []byte("{}")); err != nil {
		return err
	}
	_, err = p.Finish(ctx)
	return err
}

// publishDrain publishes the example configuration with one draining endpoint, or with none
// when name is empty, and returns its version.
func publishDrain(t *testing.T, cluster *dev.Cluster, name string) int64 {
	t.Helper()
	text, err := examples.Files.ReadFile("configuration.ini")
	require.NoError(t, err)
	if name != "" {
		text = append(text, "\n[drain]\nendpoints = "+name+"\n"...)
	}
	operatorClient := cluster.OperatorClient("entry-1")
	showRequest := connect.NewRequest(&pb.ShowRequest{})
	cluster.Authorize(showRequest)
	current, err := operatorClient.Show(context.Background(), showRequest)
	require.NoError(t, err)
	publishRequest := connect.NewRequest(&pb.PublishRequest{BaseVersion: current.Msg.GetVersion(), Text: string(text)})
	cluster.Authorize(publishRequest)
	published, err := operatorClient.Publish(context.Background(), publishRequest)
	require.NoError(t, err)
	return published.Msg.GetVersion()
}

// findEndpoint returns the state of an endpoint as entry-1 sees it, or nil.
func findEndpoint(t *testing.T, cluster *dev.Cluster, name string) *pb.Endpoint {
	t.Helper()
	request := connect.NewRequest(&pb.EndpointsRequest{})
	cluster.Authorize(request)
	reply, err := cluster.OperatorClient("entry-1").Endpoints(context.Background(), request)
	require.NoError(t, err)
	for _, e := range reply.Msg.GetEndpoints() {
		if e.GetName() == name {
			return e
		}
	}
	return nil
}

// waitUntil polls the condition for at least 10 s and fails the test when it stays false.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	require.Fail(t, "condition still false after 400 checks")
}

// TestPlannedStopInterruptsNoCall stops the home of a program during a stream. The home must
// complete the running call, and the next call must run at another endpoint.
func TestPlannedStopInterruptsNoCall(t *testing.T) {
	cluster := startSlowCluster(t, 1)
	p := startProgram(t, cluster, "entry-1", "quote")
	_, err := p.Ask(context.Background(), userMessage("first"), 8, nil)
	require.NoError(t, err)
	home := p.Endpoint()
	stopped := make(chan error, 1)
	answer := askAndInterrupt(t, p, 40, func() { go func() { stopped <- cluster.Stop(home) }() })
	require.Equal(t, home, answer.Endpoint(), "the running call moved to another endpoint")
	require.NoError(t, <-stopped)
	_, err = p.Ask(context.Background(), userMessage("next"), 8, nil)
	require.NoError(t, err)
	require.NotEqual(t, home, p.Endpoint())
}

// TestPoisonRequestCrashesTwoEnginesAtMost sends a request that crashes every engine that
// runs it. After two crashes it must be refused as quarantined, also when it comes again
// 2 s later in another program through another entry. Other requests must still run.
func TestPoisonRequestCrashesTwoEnginesAtMost(t *testing.T) {
	cluster := startFastCluster(t, 2)
	names := []string{"model-1", "model-2", "model-3"}
	for _, name := range names {
		cluster.Engine(name).SetFaults(engine.Faults{CrashOnText: "poison"})
	}
	crashes := func() (n int64) {
		for _, name := range names {
			n += cluster.Engine(name).CrashCount()
		}
		return n
	}
	ask := func(entry, text string) error {
		_, err := startProgram(t, cluster, entry, "quote").Ask(context.Background(), userMessage(text), 4, nil)
		return err
	}
	var clientErr *client.Error
	require.ErrorAs(t, ask("entry-1", "a poison request"), &clientErr)
	require.Equal(t, program.KindQuarantined.String(), clientErr.Kind())
	require.EqualValues(t, 2, crashes())
	time.Sleep(2 * time.Second)
	require.ErrorAs(t, ask("entry-2", "a poison request"), &clientErr, "the request is sent again in another program through another entry")
	require.Equal(t, program.KindQuarantined.String(), clientErr.Kind())
	require.EqualValues(t, 2, crashes())
	require.NoError(t, ask("entry-2", "a harmless request"))
}
