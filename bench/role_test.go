package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/adapter/peer"
	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
	platformstandin "github.com/lavendervale/lavendervale/standin/platform"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// designEntries, designEndpoints and designClasses are the size of the largest
	// site that the system is designed for.
	designEntries   = 760
	designEndpoints = 10_000
	designClasses   = 780
	// idlePeriod is the wait before the measurement of an idle process, and the
	// length of the measurement.
	idlePeriod = 4 * time.Second
	// settlingPeriod is the virtual time before the measurement of a role, and
	// controlPeriod that of the measurement. It holds several of the longest intervals
	// of a role, the 10.8 s after which an entry works out anew what all instances
	// are told.
	settlingPeriod = 30 * time.Second
	controlPeriod  = 3 * time.Minute
	// designChangeInterval is the time between two changes of the configuration, of
	// which there are 34,000 a day.
	designChangeInterval = 24 * time.Hour / 34_000
	// maxControlBytes and maxControlCores limit the memory and the processor time, in
	// cores, that the state and the periodic work of a daemon take at design size.
	maxControlBytes = 256 << 20
	maxControlCores = 0.019
)

// BenchmarkRoleAtRest reports the heap and the processor time of an idle entry,
// home and service with the state that they have at design size.
func BenchmarkRoleAtRest(b *testing.B) {
	b.Run("entry", func(b *testing.B) {
		for b.Loop() {
			reportIdleCost(b, largeEntry(b))
		}
	})
	b.Run("home", func(b *testing.B) {
		for b.Loop() {
			reportIdleCost(b, largeHome(b))
		}
	})
	b.Run("service", func(b *testing.B) {
		for b.Loop() {
			reportIdleCost(b, largeService(b))
		}
	})
}

// TestRoleMemory bounds the heap of each role with the state that it has at design
// size.
func TestRoleMemory(t *testing.T) {
	for name, role := range map[string]func(tb testing.TB) func(ctx context.Context) any{"entry": largeEntry, "home": largeHome, "service": largeService} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			start := role(t)
			bytes := retainedBytes(func() any { return start(ctx) })
			t.Logf("%.1f MB", bytes/(1<<20))
			require.LessOrEqual(t, bytes, float64(maxControlBytes))
		})
	}
}

// TestRoleProcessorTime bounds the processor time of each role at design size, with the
// state that it has there and without calls. Only the processor time of this process is
// measured, which stands for a period of virtual time; it holds the other end of
// heartbeats and the fakes of the platform too.
func TestRoleProcessorTime(t *testing.T) {
	tests := []struct {
		name string
		// start starts the role and returns a check that it has worked in the period, nil
		// for none.
		start func(t *testing.T, ctx context.Context) func()
	}{
		{name: "entry", start: func(t *testing.T, ctx context.Context) func() {
			e := startLargeEntry(t, ctx, newPipeNetwork(ctx), platformstandin.NewLog())
			return func() { requireWatchedEndpoints(t, e) }
		}},
		{name: "entry with changes of the configuration", start: func(t *testing.T, ctx context.Context) func() {
			log := platformstandin.NewLog()
			e := startLargeEntry(t, ctx, newPipeNetwork(ctx), log)
			go func() {
				for revision := 1; timer.Sleep(ctx, designChangeInterval) == nil; revision++ {
					appendPublication(t, ctx, log, int64(revision-1), revision)
				}
			}()
			return func() {
				requireWatchedEndpoints(t, e)
				require.Greater(t, e.Metrics()["config_version"], int64(controlPeriod/designChangeInterval))
			}
		}},
		{name: "home", start: func(t *testing.T, ctx context.Context) func() { largeHome(t)(ctx); return nil }},
		{name: "service", start: func(t *testing.T, ctx context.Context) func() { largeService(t)(ctx); return nil }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				check := test.start(t, ctx)
				time.Sleep(settlingPeriod)
				before := cpuTime()
				time.Sleep(controlPeriod)
				used := cpuTime() - before
				if check != nil {
					check()
				}
				cancel()
				cores := used.Seconds() / controlPeriod.Seconds()
				t.Logf("%.2f%% of a core", 100*cores)
				if !raceDetector {
					require.LessOrEqual(t, cores, maxControlCores)
				}
			})
		})
	}
}

// requireWatchedEndpoints checks that an entry has heard of endpoints and that no
// heartbeat was lost.
func requireWatchedEndpoints(t *testing.T, e *entry.Entry) {
	t.Helper()
	alive := 0
	for _, member := range e.Members() {
		if member.State() == membership.Alive {
			alive++
		}
	}
	require.Positive(t, alive)
	require.Zero(t, e.Metrics()["heartbeats_lost"])
}

// reportIdleCost reports the heap retained by the result of start, and the
// processor time of this idle process as a fraction of a core.
func reportIdleCost(b *testing.B, start func(ctx context.Context) any) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bytes := retainedBytes(func() any { return start(ctx) })
	time.Sleep(idlePeriod)
	cpuBefore, startedAt := cpuTime(), time.Now()
	time.Sleep(idlePeriod)
	b.ReportMetric(bytes/(1<<20), "MB")
	b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/time.Since(startedAt).Seconds(), "%-of-a-core")
}

// entryNetwork connects an entry to the endpoints that it sends heartbeats to.
type entryNetwork struct {
	// dial connects to an address; nil stands for plain TCP.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// addressOf returns the address of an endpoint.
	addressOf func(name string) string
}

// newTCPNetwork returns a network in which one server answers for all endpoints.
func newTCPNetwork(tb testing.TB, ctx context.Context) entryNetwork {
	tb.Helper()
	address := startHeartbeatServer(tb, ctx)
	return entryNetwork{addressOf: func(string) string { return address }}
}

// newPipeNetwork returns a network within this process, which works in virtual time.
// Each endpoint has a connection of its own.
func newPipeNetwork(ctx context.Context) entryNetwork {
	listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	go func() { _ = peer.NewServer(peer.ServerConfig{HeartbeatHandler: busyEndpoint{}}).Serve(ctx, listener) }()
	return entryNetwork{dial: listener.dial, addressOf: func(name string) string { return name }}
}

// pipeListener is a net.Listener of connections within this process.
type pipeListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *pipeListener) dial(ctx context.Context, _ string) (net.Conn, error) {
	local, remote := net.Pipe()
	select {
	case l.conns <- remote:
		return local, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept and further dials.
func (l *pipeListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address of no meaning.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe", Net: "pipe"} }

// largeEntry returns a function that starts an entry at design size, which reaches its
// endpoints over TCP.
func largeEntry(tb testing.TB) func(ctx context.Context) any {
	tb.Helper()
	return func(ctx context.Context) any {
		return startLargeEntry(tb, ctx, newTCPNetwork(tb, ctx), platformstandin.NewLog())
	}
}

// startLargeEntry starts an entry at design size and returns it once it knows all
// instances.
func startLargeEntry(tb testing.TB, ctx context.Context, network entryNetwork, log *platformstandin.Log) *entry.Entry {
	tb.Helper()
	instances := platformstandin.NewInstanceList(0)
	for i := range designEntries {
		instances.Add(fleet.NewInstance(fleet.InstanceConfig{Name: fmt.Sprintf("entry-%d", i), Role: fleet.EntryRole}))
	}
	for _, instance := range newInstances(designEndpoints) {
		instances.Add(fleet.NewInstance(fleet.InstanceConfig{
			Name: instance.Name(), Address: network.addressOf(instance.Name()), Domain: instance.Domain(), Role: instance.Role(),
		}))
	}
	appendPublication(tb, ctx, log, configuration.NoVersion, 0)
	members := membership.NewTable()
	pool := peer.NewPool(peer.PoolConfig{InstanceName: "entry-7", Dial: network.dial})
	context.AfterFunc(ctx, pool.Close)
	e := entry.New(entry.Config{
		Name: "entry-7", HomeClient: peer.NewHomeClient(pool, memberDirectory{members}), Log: log, InstanceLister: instances, PublicationCodec: record.PublicationCodec{},
		Configurations: configuration.NewStore(inifile.ParseConfiguration), Members: members, StreamCount: 64,
	})
	go e.Run(ctx)
	for members.CountByRole(fleet.EngineRole) < designEndpoints {
		time.Sleep(10 * time.Millisecond)
	}
	return e
}

// appendPublication appends a configuration at design size, made from version base, to
// the log. Each revision has another text.
func appendPublication(tb testing.TB, ctx context.Context, log *platformstandin.Log, base int64, revision int) {
	tb.Helper()
	text := fmt.Sprintf("%s# revision %d\n", configurationText(designClasses), revision)
	data, err := record.PublicationCodec{}.Encode(entry.Publication{Base: base, Text: text})
	require.NoError(tb, err)
	_, err = log.Append(ctx, entry.ConfigurationStream, data)
	require.NoError(tb, err)
}

// memberDirectory looks up addresses in a membership table.
type memberDirectory struct{ members *membership.Table }

// Address returns the address of an instance, and false if it is not a member.
func (d memberDirectory) Address(instance string) (string, bool) {
	member, ok := d.members.Member(instance, time.Now())
	return member.Instance().Address(), ok
}

// largeHome returns a function that starts a home with 2,000 idle programs and 300
// running ones. Every tenth program has a history of 80,000 bytes, the others
// have a twentieth of that.
func largeHome(tb testing.TB) func(ctx context.Context) any {
	tb.Helper()
	const idlePrograms, runningPrograms, largeHistoryBytes = 2000, 300, 80_000
	store := newRelayStore(tb)
	return func(ctx context.Context) any {
		return startLoadedHome(tb, ctx, store, idlePrograms, runningPrograms, func(i int) int {
			if i%10 == 0 {
				return largeHistoryBytes
			}
			return largeHistoryBytes / 20
		})
	}
}

// startLoadedHome returns a home with idle and running programs.
// messageBytes returns the size of the first message of program i.
func startLoadedHome(tb testing.TB, ctx context.Context, store *configuration.Store, idlePrograms, runningPrograms int, messageBytes func(i int) int) *home.Home {
	tb.Helper()
	engine := &blockingEngine{ctx: ctx}
	h := home.New(home.Config{Name: "model-1", Engine: engine, Journal: noopBackend{}, Services: noopBackend{}, Configurations: store, Slots: 4096})
	context.AfterFunc(ctx, func() { go h.Close() })
	for i := range idlePrograms + runningPrograms {
		engine.blockCalls.Store(i >= idlePrograms)
		makeFirstCall(tb, ctx, h, i, messageBytes(i), i >= idlePrograms)
	}
	for h.Load().Running() < int64(runningPrograms) {
		runtime.Gosched()
	}
	return h
}

// makeFirstCall starts a program and makes its first call; in a goroutine if the
// engine blocks it.
func makeFirstCall(tb testing.TB, ctx context.Context, h *home.Home, i, messageBytes int, blocked bool) {
	tb.Helper()
	s, err := h.Start(ctx, home.StartRequest{Caller: "c", Key: fmt.Sprint(i), Class: "relay"})
	require.NoError(tb, err)
	call, err := program.NewCall(program.CallConfig{
		Number: 1, MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleUser, strings.Repeat("x", messageBytes))},
	})
	require.NoError(tb, err)
	if blocked {
		go func() { _, _ = h.Call(ctx, s.Handle(), call, func([]byte) error { return nil }) }()
		return
	}
	_, err = h.Call(ctx, s.Handle(), call, func([]byte) error { return nil })
	require.NoError(tb, err)
}

// largeService returns a function that returns a ledger of 86,400 orders: one per
// second for a day.
func largeService(tb testing.TB) func(ctx context.Context) any {
	tb.Helper()
	return func(context.Context) any { return newFilledLedger(tb, 86_400) }
}

// newFilledLedger returns a ledger with n completed orders.
func newFilledLedger(tb testing.TB, n int) *order.Ledger {
	tb.Helper()
	l := order.NewLedger(1)
	for i := range n {
		r := order.NewRequest(order.RequestConfig{Key: order.NewKey(program.NewID("c", fmt.Sprint(i)), 1, 1), Incarnation: 1})
		_, err := l.Run(context.Background(), r, func(context.Context) ([]byte, error) {
			return []byte(`{"service":"payment","method":"pay","receipt":"payment-000001"}`), nil
		})
		require.NoError(tb, err)
	}
	return l
}

// blockingEngine answers calls at once or, while blockCalls is set, holds them
// until ctx or the context of the call is canceled.
type blockingEngine struct {
	noopBackend
	ctx        context.Context
	blockCalls atomic.Bool
}

// Complete answers at once, or blocks and returns an error of kind
// program.KindCanceled.
func (e *blockingEngine) Complete(ctx context.Context, p home.Prompt, emit func([]byte)) (home.Completion, error) {
	if !e.blockCalls.Load() {
		return e.noopBackend.Complete(ctx, p, emit)
	}
	select {
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	return home.Completion{}, program.Errorf("engine", program.KindCanceled, "stopped")
}
