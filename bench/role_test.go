package bench

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
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

// largeEntry returns a function that starts an entry at design size. One server of
// this process answers the heartbeats for all its endpoints.
func largeEntry(tb testing.TB) func(ctx context.Context) any {
	tb.Helper()
	text := configurationText(designClasses)
	return func(ctx context.Context) any {
		address := startHeartbeatServer(tb, ctx)
		instances := platformstandin.NewInstanceList(0)
		for i := range designEntries {
			instances.Add(fleet.NewInstance(fleet.InstanceConfig{Name: fmt.Sprintf("entry-%d", i), Role: fleet.EntryRole}))
		}
		for _, instance := range newInstances(designEndpoints) {
			instances.Add(fleet.NewInstance(fleet.InstanceConfig{Name: instance.Name(), Address: address, Domain: instance.Domain(), Role: instance.Role()}))
		}
		log := platformstandin.NewLog()
		data, err := record.PublicationCodec{}.Encode(entry.Publication{Base: configuration.NoVersion, Text: text})
		require.NoError(tb, err)
		_, err = log.Append(ctx, entry.ConfigurationStream, data)
		require.NoError(tb, err)
		members := membership.NewTable()
		pool := peer.NewPool(peer.PoolConfig{InstanceName: "entry-7"})
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
