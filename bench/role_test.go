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
	platformlog "github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
	platformstandin "github.com/lavendervale/lavendervale/standin/platform"
)

const (
	largeEntries   = 760
	largeEndpoints = 10_000
	largeClasses   = 780
	restTime       = 4 * time.Second
	// controlMemory and controlCore are what a daemon may spend on control.
	controlMemory = 256 << 20
	controlCore   = 0.019
)

// BenchmarkRoleAtRest runs one entry and one home with the state of the size to
// design for, and reports what they spend at rest.
func BenchmarkRoleAtRest(b *testing.B) {
	b.Run("entry", func(b *testing.B) {
		for b.Loop() {
			reportRest(b, largeEntry(b))
		}
	})
	b.Run("home", func(b *testing.B) {
		for b.Loop() {
			reportRest(b, largeHome(b))
		}
	})
	b.Run("service", func(b *testing.B) {
		for b.Loop() {
			reportRest(b, largeService(b))
		}
	})
}

// TestRoleMemory bounds the heap of the two roles by the limit for control.
func TestRoleMemory(t *testing.T) {
	for name, role := range map[string]func(tb testing.TB) func(ctx context.Context) any{"entry": largeEntry, "home": largeHome, "service": largeService} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			run := role(t)
			bytes := heapOf(func() any { return run(ctx) })
			t.Logf("%.1f MB", bytes/(1<<20))
			require.LessOrEqual(t, bytes, float64(controlMemory))
		})
	}
}

func reportRest(b *testing.B, run func(ctx context.Context) any) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bytes := heapOf(func() any { return run(ctx) })
	time.Sleep(restTime)
	begun, at := cpuTime(), time.Now()
	time.Sleep(restTime)
	b.ReportMetric(bytes/(1<<20), "MB")
	b.ReportMetric(100*(cpuTime()-begun).Seconds()/time.Since(at).Seconds(), "%-of-a-core")
}

// largeEntry returns a function that starts an entry among all instances; the
// endpoints it watches are one process of this test.
func largeEntry(tb testing.TB) func(ctx context.Context) any {
	tb.Helper()
	text := configurationText(largeClasses)
	return func(ctx context.Context) any {
		address := beatServer(tb, ctx)
		list := platformstandin.NewInstanceList(0)
		for i := range largeEntries {
			list.Add(platformlog.NewInstance(platformlog.InstanceConfig{Name: fmt.Sprintf("entry-%d", i), Role: platformlog.EntryRole}))
		}
		for _, i := range manyInstances(largeEndpoints) {
			list.Add(platformlog.NewInstance(platformlog.InstanceConfig{Name: i.Name(), Address: address, Domain: i.Domain(), Role: i.Role()}))
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
			Name: "entry-7", HomeClient: peer.NewHomeClient(pool, tableDirectory{members}), Log: log, InstanceLister: list, PublicationCodec: record.PublicationCodec{},
			Configurations: configuration.NewStore(inifile.ParseConfiguration), Members: members, StreamCount: 64,
		})
		go e.Run(ctx)
		for members.CountByRole(platformlog.EngineRole) < largeEndpoints {
			time.Sleep(10 * time.Millisecond)
		}
		return e
	}
}

type tableDirectory struct{ members *membership.Table }

// Address returns the address of an instance.
func (d tableDirectory) Address(instance string) (string, bool) {
	m, ok := d.members.Member(instance, time.Now())
	return m.Instance().Address(), ok
}

// largeHome returns a function that starts a home with 2,000 programs at rest
// and 300 running, each with a history in the middle.
func largeHome(tb testing.TB) func(ctx context.Context) any {
	tb.Helper()
	const atRest, running, history = 2000, 300, 80_000
	store := relayStore(tb)
	return func(ctx context.Context) any {
		return homeOf(tb, ctx, store, atRest, running, func(i int) int {
			if i%10 == 0 {
				return history
			}
			return history / 20
		})
	}
}

// homeOf returns a home with programs at rest and running ones, whose first
// message has the given size in bytes.
func homeOf(tb testing.TB, ctx context.Context, store *configuration.Store, atRest, running int, size func(i int) int) *home.Home {
	tb.Helper()
	stuck := &stuckEngine{ctx: ctx}
	h := home.New(home.Config{Name: "model-1", Engine: stuck, Journal: idle{}, Services: idle{}, Configurations: store, Slots: 4096})
	context.AfterFunc(ctx, func() { go h.Close() })
	for i := range atRest + running {
		stuck.hold.Store(i >= atRest)
		firstCall(tb, ctx, h, i, size(i), i >= atRest)
	}
	for h.Load().Running() < int64(running) {
		runtime.Gosched()
	}
	return h
}

// firstCall starts a program and makes its first call, in the background when
// the engine holds it.
func firstCall(tb testing.TB, ctx context.Context, h *home.Home, i, size int, held bool) {
	tb.Helper()
	s, err := h.Start(ctx, home.StartRequest{Caller: "c", Key: fmt.Sprint(i), Class: "relay"})
	require.NoError(tb, err)
	call, err := program.NewCall(program.CallConfig{
		Number: 1, MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleUser, strings.Repeat("x", size))},
	})
	require.NoError(tb, err)
	if held {
		go func() { _, _ = h.Call(ctx, s.Handle(), call, func([]byte) error { return nil }) }()
		return
	}
	_, err = h.Call(ctx, s.Handle(), call, func([]byte) error { return nil })
	require.NoError(tb, err)
}

// largeService returns a function that makes the ledger of a day at one order a second.
func largeService(tb testing.TB) func(ctx context.Context) any {
	tb.Helper()
	return func(context.Context) any { return ledgerOf(tb, 86_400) }
}

// ledgerOf returns a ledger with n orders that have run.
func ledgerOf(tb testing.TB, n int) *order.Ledger {
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

// stuckEngine answers at once, or holds calls until ctx ends.
type stuckEngine struct {
	idle
	ctx  context.Context
	hold atomic.Bool
}

// Complete answers at once, or waits.
func (e *stuckEngine) Complete(ctx context.Context, p home.Prompt, emit func([]byte)) (home.Completion, error) {
	if !e.hold.Load() {
		return e.idle.Complete(ctx, p, emit)
	}
	select {
	case <-ctx.Done():
	case <-e.ctx.Done():
	}
	return home.Completion{}, program.Errorf("engine", program.KindCanceled, "stopped")
}
