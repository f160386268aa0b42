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

func user(text string) []program.Message {
	return []program.Message{program.NewMessage(program.RoleUser, text)}
}

func startProgram(t *testing.T, site *dev.Site, entry, class string) *client.Program {
	t.Helper()
	key, err := client.NewKey()
	require.NoError(t, err)
	p, err := site.Client(entry).Start(context.Background(), client.StartConfig{Class: class, Key: key})
	require.NoError(t, err)
	return p
}

// askSlowly asks for many tokens and calls f once when some have come.
func askSlowly(t *testing.T, p *client.Program, tokens int64, f func()) *client.Answer {
	t.Helper()
	var once sync.Once
	var seen strings.Builder
	answer, err := p.Ask(context.Background(), user("tell me all"), tokens, func(text string) {
		seen.WriteString(text)
		if seen.Len() > 40 {
			once.Do(f)
		}
	})
	require.NoError(t, err)
	require.Equal(t, answer.Text(), seen.String(), "each piece came once")
	return answer
}

func TestHomeIsLost(t *testing.T) {
	tests := []struct {
		name  string
		fault func(site *dev.Site, home string)
		moves bool
	}{
		{name: "cut for good", fault: func(site *dev.Site, home string) { site.Wire(home).Disconnect() }, moves: true},
		{name: "connections fall silent", fault: func(site *dev.Site, home string) { site.Wire(home).Blackhole() }},
	}
	for _, test := range tests {
		t.Run(test.name+" between turns", func(t *testing.T) {
			site := startSite(t, 1)
			p := startProgram(t, site, "entry-1", "quote")
			_, err := p.Ask(context.Background(), user("first"), 8, nil)
			require.NoError(t, err)
			home := p.Endpoint()
			test.fault(site, home)
			begun := time.Now()
			_, err = p.Ask(context.Background(), user("second"), 8, nil)
			require.NoError(t, err)
			t.Logf("next turn answered after %v", time.Since(begun))
			require.Equal(t, test.moves, home != p.Endpoint())
			state, err := p.Get(context.Background())
			require.NoError(t, err)
			require.EqualValues(t, 3, state.GetNextNumber())
		})
		t.Run(test.name+" while it streams", func(t *testing.T) {
			site := startSlowSite(t, 1)
			p := startProgram(t, site, "entry-1", "quote")
			_, err := p.Ask(context.Background(), user("first"), 8, nil)
			require.NoError(t, err)
			home := p.Endpoint()
			begun := time.Now()
			answer := askSlowly(t, p, 40, func() { test.fault(site, home) })
			t.Logf("stream whole after %v, by %s", time.Since(begun), answer.Endpoint())
			require.Len(t, strings.Fields(answer.Text()), 40)
		})
	}
}

func TestOrderIsSentOnceWhenItsHomeIsCutOff(t *testing.T) {
	site := startSite(t, 1)
	p := startProgram(t, site, "entry-1", "quote")
	_, err := p.Ask(context.Background(), user("first"), 8, nil)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() {
		_, err := p.Order(context.Background(), "payment", "pay", []byte(`{"amount":5}`))
		done <- err
	}()
	site.Wire(p.Endpoint()).Disconnect()
	require.NoError(t, <-done)
	require.Len(t, site.Service("payment").Effects(), 1)
	for key, n := range site.Service("payment").Effects() {
		require.Equal(t, 1, n, key)
	}
}

// TestRollingDrain drains every endpoint in turn while programs run, and
// expects that no caller notices.
func TestRollingDrain(t *testing.T) {
	site := startSite(t, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var work sync.WaitGroup
	errs := make(chan error, 64)
	finished := make(chan struct{}, 10_000)
	for i := range 8 {
		work.Go(func() {
			for ctx.Err() == nil {
				if err := oneProgram(site, fmt.Sprintf("entry-%d", i%2+1)); err != nil {
					errs <- err
					return
				}
				finished <- struct{}{}
			}
		})
	}
	for _, name := range []string{"model-1", "model-2", "model-3"} {
		version := publishDrain(t, site, name)
		waitFor(t, func() bool {
			e := endpointOf(t, site, name)
			return e.GetRunning() == 0 && e.GetState() == "draining" && e.GetConfigVersion() >= version
		})
		served := site.Engine(name).CompletionsStarted()
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, served, site.Engine(name).CompletionsStarted(), "a drained endpoint begins no call")
		publishDrain(t, site, "")
	}
	cancel()
	work.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
	require.NotEmpty(t, finished)
	for key, n := range site.Service("payment").Effects() {
		require.Equal(t, 1, n, key)
	}
}

// oneProgram runs a program of three turns and an order.
func oneProgram(site *dev.Site, entry string) error {
	ctx := context.Background()
	key, err := client.NewKey()
	if err != nil {
		return err
	}
	p, err := site.Client(entry).Start(ctx, client.StartConfig{Class: "survey", Key: key})
	if err != nil {
		return err
	}
	for i := range 3 {
		answer, err := p.Ask(ctx, user(fmt.Sprint("turn ", i)), 12, nil)
		if err != nil {
			return err
		}
		if n := len(strings.Fields(answer.Text())); n != 12 {
			return fmt.Errorf("answer has %d words", n)
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := p.Order(ctx, "payment", "pay", []byte("{}")); err != nil {
		return err
	}
	_, err = p.Finish(ctx)
	return err
}

// publishDrain publishes that one endpoint drains, or none, and returns the version.
func publishDrain(t *testing.T, site *dev.Site, name string) int64 {
	t.Helper()
	text, err := examples.Files.ReadFile("configuration.ini")
	require.NoError(t, err)
	if name != "" {
		text = append(text, "\n[drain]\nendpoints = "+name+"\n"...)
	}
	operators := site.Operators("entry-1")
	show := connect.NewRequest(&pb.ShowRequest{})
	site.Authorize(show)
	current, err := operators.Show(context.Background(), show)
	require.NoError(t, err)
	publish := connect.NewRequest(&pb.PublishRequest{BaseVersion: current.Msg.GetVersion(), Text: string(text)})
	site.Authorize(publish)
	published, err := operators.Publish(context.Background(), publish)
	require.NoError(t, err)
	return published.Msg.GetVersion()
}

func endpointOf(t *testing.T, site *dev.Site, name string) *pb.Endpoint {
	t.Helper()
	r := connect.NewRequest(&pb.EndpointsRequest{})
	site.Authorize(r)
	reply, err := site.Operators("entry-1").Endpoints(context.Background(), r)
	require.NoError(t, err)
	for _, e := range reply.Msg.GetEndpoints() {
		if e.GetName() == name {
			return e
		}
	}
	return nil
}

func waitFor(t *testing.T, f func() bool) {
	t.Helper()
	for range 400 {
		if f() {
			return
		}
		time.Sleep(25 * time.Millisecond)
	}
	require.Fail(t, "it did not come true")
}

func TestPlannedStopCutsNothing(t *testing.T) {
	site := startSlowSite(t, 1)
	p := startProgram(t, site, "entry-1", "quote")
	_, err := p.Ask(context.Background(), user("first"), 8, nil)
	require.NoError(t, err)
	home := p.Endpoint()
	stopped := make(chan error, 1)
	answer := askSlowly(t, p, 40, func() { go func() { stopped <- site.Stop(home) }() })
	require.Equal(t, home, answer.Endpoint(), "the running call ends where it runs")
	require.NoError(t, <-stopped)
	_, err = p.Ask(context.Background(), user("next"), 8, nil)
	require.NoError(t, err)
	require.NotEqual(t, home, p.Endpoint())
}

func TestPoisonRequestCrashesTwoEnginesAtMost(t *testing.T) {
	site := startSite(t, 2)
	names := []string{"model-1", "model-2", "model-3"}
	for _, name := range names {
		site.Engine(name).SetFaults(engine.Faults{CrashOnText: "poison"})
	}
	crashes := func() (n int64) {
		for _, name := range names {
			n += site.Engine(name).CrashCount()
		}
		return n
	}
	ask := func(entry, text string) error {
		_, err := startProgram(t, site, entry, "quote").Ask(context.Background(), user(text), 4, nil)
		return err
	}
	var failed *client.Error
	require.ErrorAs(t, ask("entry-1", "a poison request"), &failed)
	require.Equal(t, program.KindQuarantined.String(), failed.Kind())
	require.EqualValues(t, 2, crashes())
	time.Sleep(2 * time.Second)
	require.ErrorAs(t, ask("entry-2", "a poison request"), &failed, "sent again in another program through another entry")
	require.Equal(t, program.KindQuarantined.String(), failed.Kind())
	require.EqualValues(t, 2, crashes())
	require.NoError(t, ask("entry-2", "a harmless request"))
}
