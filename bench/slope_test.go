package bench

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/adapter/peer"
	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/configuration"
	platformlog "github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/queue"
	platformstandin "github.com/lavendervale/lavendervale/standin/platform"
)

// heapOf returns the bytes that stay allocated for what make returns.
func heapOf(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// perRun returns the microseconds that f takes, the least of some rounds.
func perRun(rounds, runs int, f func()) float64 {
	least := time.Hour
	for range rounds {
		begun := time.Now()
		for range runs {
			f()
		}
		least = min(least, time.Since(begun)/time.Duration(runs))
	}
	return float64(least.Nanoseconds()) / 1000
}

// sweep measures at each size.
func sweep(name, variable, unit string, sizes []float64, f func(n int) float64) *slope {
	s := &slope{name: name, variable: variable, unit: unit, sizes: sizes}
	for _, n := range sizes {
		s.values = append(s.values, f(int(n)))
	}
	return s
}

func slopes(tb testing.TB) []*slope {
	return []*slope{
		sweep("program at rest, without its history", "program", "B", []float64{500, 1000, 2000, 4000}, func(n int) float64 { return programsHeap(tb, n, 0) }),
		sweep("program running, without its history", "program", "B", []float64{100, 200, 400, 800}, func(n int) float64 {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := relayStore(tb)
			return heapOf(func() any { return homeOf(tb, ctx, store, 0, n, func(int) int { return 1 }) })
		}),
		sweep("history of 1,000 programs", "byte of history each", "B", []float64{1000, 4000, 8000, 16000}, func(n int) float64 { return programsHeap(tb, 1000, n) }),
		sweep("waiting call in the queue", "call", "B", []float64{1000, 2500, 5000, 10000}, waitingHeap),
		sweep("decision of the queue", "doubling of waiting calls", "µs", []float64{10, 12, 14, 16}, decisionTime),
		sweep("instance known to an entry", "instance", "B", []float64{1000, 2500, 5000, 10000}, membersHeap),
		sweep("choice of an endpoint", "endpoint", "µs", []float64{16, 32, 64, 128}, chooseTime),
		sweep("subset of an entry", "endpoint, 760 entries", "µs", []float64{1000, 2500, 5000, 10000}, subsetTime),
		sweep("configuration in memory", "class", "B", []float64{100, 200, 400, 800}, func(n int) float64 { return configurationHeap(tb, n) }),
		sweep("configuration parsed", "class", "µs", []float64{100, 200, 400, 800}, func(n int) float64 { return configurationTime(tb, n) }),
		sweep("configuration on the wire", "class", "B", []float64{100, 200, 400, 800}, func(n int) float64 { return float64(len(configurationText(n))) }),
		sweep("session between processes, both ends", "session", "B", []float64{8, 16, 32, 64}, func(n int) float64 { return sessionsHeap(tb, n) }),
		sweep("heartbeats, processor time of both ends", "heartbeat", "µs", []float64{500, 1000, 2000, 4000}, func(n int) float64 { return beats(tb, n).cpu }),
		sweep("heartbeats, bytes both ways", "heartbeat", "B", []float64{500, 1000, 2000, 4000}, func(n int) float64 { return beats(tb, n).bytes }),
		sweep("append of turns, 400 bytes of text each", "record", "B", []float64{1, 8, 64, 256}, func(n int) float64 { return float64(len(encodeTurns(tb, n))) }),
		sweep("append encoded", "record", "µs", []float64{1, 8, 64, 256}, func(n int) float64 { return perRun(5, 20, func() { encodeTurns(tb, n) }) }),
		sweep("order remembered by a ledger", "order", "B", []float64{5000, 10000, 20000, 40000}, func(n int) float64 {
			return heapOf(func() any { return ledgerOf(tb, n) })
		}),
		sweep("program known to a committer", "program", "B", []float64{1000, 2500, 5000, 10000}, func(n int) float64 { return committerHeap(tb, n) }),
		sweep("recovery of a program", "turn", "µs", []float64{4, 8, 16, 32}, func(n int) float64 { return recoveryTime(tb, n) }),
	}
}

// BenchmarkSlope prints what each role's parts cost as their number grows.
func BenchmarkSlope(b *testing.B) {
	var list []*slope
	for b.Loop() {
		list = slopes(b)
	}
	require.NoError(b, writeSlopes(os.Stdout, list))
	if *reportFlag != "" {
		require.NoError(b, reportSlopes(*reportFlag, list))
	}
}

// TestSlopeBounds bounds the byte slopes by what the design's size allows.
func TestSlopeBounds(t *testing.T) {
	const megabyte = 1 << 20
	tests := []struct {
		name  string
		bound float64
		sizes []float64
		f     func(n int) float64
	}{
		// 4,000 programs of a home in a fifth of 256 MB, without their history.
		{name: "program at rest", bound: 256 * megabyte / 5 / 4000, sizes: []float64{500, 1000, 2000, 4000}, f: func(n int) float64 { return programsHeap(t, n, 0) }},
		// 10,760 instances in a tenth of 256 MB.
		{name: "instance known to an entry", bound: 256 * megabyte / 10 / 10_760, sizes: []float64{1000, 2500, 5000, 10000}, f: membersHeap},
		// 10,000 waiting calls in a tenth of 256 MB.
		{name: "waiting call", bound: 256 * megabyte / 10 / 10_000, sizes: []float64{1000, 2500, 5000, 10000}, f: waitingHeap},
		// 500 sessions of an endpoint in half of 256 MB.
		{name: "session", bound: 256 * megabyte / 2 / 500, sizes: []float64{8, 16, 32, 64}, f: func(n int) float64 { return sessionsHeap(t, n) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			a, _, _ := sweep(test.name, "", "B", test.sizes, test.f).fit()
			t.Logf("%.0f bytes, at most %.0f", a, test.bound)
			require.LessOrEqual(t, a, test.bound)
		})
	}
}

// TestTimeSlopes bounds how much more a step takes when its variable grows by
// eight, against the smaller size in the same run: a step that should grow with
// the logarithm, or linearly, must not grow with the square.
func TestTimeSlopes(t *testing.T) {
	const growth, slack = 8, 5
	tests := []struct {
		name  string
		small func() float64
		large func() float64
		bound float64
	}{
		{
			name: "decision of the queue, logarithmic", bound: slack * 16.0 / 13.0,
			small: func() float64 { return decisionTime(13) }, large: func() float64 { return decisionTime(16) },
		},
		{
			name: "choice of an endpoint, linear", bound: slack * growth,
			small: func() float64 { return chooseTime(16) }, large: func() float64 { return chooseTime(16 * growth) },
		},
		{
			name: "subset of an entry, linear", bound: slack * growth,
			small: func() float64 { return subsetTime(1250) }, large: func() float64 { return subsetTime(1250 * growth) },
		},
		{
			name: "configuration parsed, linear", bound: slack * growth,
			small: func() float64 { return configurationTime(t, 100) }, large: func() float64 { return configurationTime(t, 100*growth) },
		},
		{
			name: "recovery of a program, linear", bound: slack * growth,
			small: func() float64 { return recoveryTime(t, 4) }, large: func() float64 { return recoveryTime(t, 4*growth) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ratio := test.large() / test.small()
			t.Logf("%.1f times", ratio)
			require.LessOrEqual(t, ratio, test.bound)
		})
	}
}

// idle stands for an engine, a journal and services that do nothing.
type idle struct{}

func (idle) Complete(_ context.Context, p home.Prompt, emit func([]byte)) (home.Completion, error) {
	emit([]byte("answer"))
	return home.NewCompletion(program.NewUsage(program.UsageConfig{PromptTokens: 10, OutputTokens: 1}), program.FinishStop), nil
}

func (idle) Release(context.Context, program.ID) error { return nil }

func (idle) Commit(context.Context, history.Record) (history.Position, error) { return 0, nil }

func (idle) Load(context.Context, program.ID) (*history.LoadedProgram, error) {
	return nil, history.Errorf("load", history.KindNotFound, "nothing is kept")
}

func (idle) Locate(string) (string, uint64, error) { return "", 0, nil }

func (idle) Run(context.Context, string, order.Request) (order.Reply, error) {
	return order.Reply{}, nil
}

func (idle) Query(context.Context, string, order.Request) (order.Reply, error) {
	return order.Reply{}, nil
}

func relayStore(tb testing.TB) *configuration.Store {
	tb.Helper()
	store := configuration.NewStore(inifile.ParseConfiguration)
	require.NoError(tb, store.Apply(configuration.NewRecord(configuration.RecordConfig{Base: configuration.NoVersion, Text: relayClass})))
	return store
}

// programsHeap returns the bytes of a home with n programs that have had one
// turn with so many bytes of text.
func programsHeap(tb testing.TB, n, history int) float64 {
	tb.Helper()
	store := relayStore(tb)
	var h *home.Home
	bytes := heapOf(func() any {
		h = home.New(home.Config{Name: "model-1", Engine: idle{}, Journal: idle{}, Services: idle{}, Configurations: store, Slots: 4096})
		for i := range n {
			s, err := h.Start(context.Background(), home.StartRequest{Caller: "c", Key: fmt.Sprint(i), Class: "relay"})
			require.NoError(tb, err)
			call, err := program.NewCall(program.CallConfig{
				Number: 1, MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleUser, strings.Repeat("x", history+1))},
			})
			require.NoError(tb, err)
			_, err = h.Call(context.Background(), s.Handle(), call, func([]byte) error { return nil })
			require.NoError(tb, err)
		}
		return h
	})
	h.Close()
	return bytes
}

func waitingHeap(n int) float64 {
	return heapOf(func() any {
		q := queue.New[int](queue.Floors{})
		for i := range n {
			q.Push(queue.NewItem(queue.ItemConfig{AttainedService: time.Duration(i), StartedAt: time.Unix(0, 0)}, i))
		}
		return q
	})
}

func decisionTime(doublings int) float64 {
	q := queue.New[int](queue.Floors{})
	n := 1 << doublings
	for i := range n {
		q.Push(queue.NewItem(queue.ItemConfig{AttainedService: time.Duration(i * 7919 % n), StartedAt: time.Unix(0, 0)}, i))
	}
	return perRun(5, 2000, func() { q.Push(q.Pop()) })
}

func manyInstances(n int) []platformlog.Instance {
	list := make([]platformlog.Instance, 0, n)
	for i := range n {
		list = append(list, platformlog.NewInstance(platformlog.InstanceConfig{
			Name: fmt.Sprintf("model-%d", i), Address: fmt.Sprintf("10.%d.%d.1:7410", i/250, i%250), Domain: "domain-a", Role: platformlog.EngineRole,
		}))
	}
	return list
}

func membersHeap(n int) float64 {
	return heapOf(func() any {
		t := membership.NewTable()
		t.Update(manyInstances(n), time.Unix(0, 0))
		return t
	})
}

func chooseTime(n int) float64 {
	loads, names := placement.NewTable(), []string{}
	now := time.Unix(0, 0)
	for _, i := range manyInstances(n) {
		loads.Update(i.Name(), placement.NewLoad(placement.LoadConfig{Limit: 16, DecodeRate: 50}), now)
		names = append(names, i.Name())
	}
	random := newGenerator(omuti(), 1, 1).random
	return perRun(5, 500, func() { loads.Choose(names, placement.Request{ExpectedService: time.Second}, now, random) })
}

func subsetTime(n int) float64 {
	list, entries := manyInstances(n), []string{}
	for i := range 760 {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	return perRun(3, 1, func() { membership.Subset("entry-7", entries, list) })
}

func configurationText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[class \"class-%d\"]\nrank = urgent\ntarget = 20s\nworth = 3\nbudget = 20000\nmax-turns = 60\n\n", i)
	}
	return b.String()
}

func configurationHeap(tb testing.TB, n int) float64 {
	tb.Helper()
	text := configurationText(n)
	bytes := heapOf(func() any {
		c, err := inifile.ParseConfiguration(text)
		require.NoError(tb, err)
		return c
	})
	runtime.KeepAlive(text)
	return bytes
}

func configurationTime(tb testing.TB, n int) float64 {
	tb.Helper()
	text := configurationText(n)
	return perRun(3, 2, func() {
		_, err := inifile.ParseConfiguration(text)
		require.NoError(tb, err)
	})
}

// sessionsHeap returns the bytes of n sessions, both ends in this process.
func sessionsHeap(tb testing.TB, n int) float64 {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addresses := directory{}
	server := peer.NewServer(peer.ServerConfig{HeartbeatHandler: nothing{}})
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		addresses[fmt.Sprint(i)] = l.Addr().String()
		go func() { _ = server.Serve(ctx, l) }()
	}
	var pool *peer.Pool
	bytes := heapOf(func() any {
		pool = peer.NewPool(peer.PoolConfig{InstanceName: "bench"})
		homes := peer.NewHomeClient(pool, addresses)
		for i := range n {
			_, err := homes.Beat(ctx, fmt.Sprint(i), membership.NewHeartbeat(membership.HeartbeatConfig{}))
			require.NoError(tb, err)
		}
		return pool
	})
	pool.Close()
	return bytes
}

type directory map[string]string

// Address returns the address of an instance.
func (d directory) Address(instance string) (string, bool) {
	a, ok := d[instance]
	return a, ok
}

type nothing struct{}

// Beat answers with nothing.
func (nothing) Beat(string, membership.Heartbeat) membership.HeartbeatReply {
	return membership.NewHeartbeatReply(membership.HeartbeatReplyConfig{})
}

func turnRecords(tb testing.TB, id program.ID, n int) []history.Record {
	tb.Helper()
	p := program.New(program.Config{Caller: "c", Key: id.String(), Class: "relay", BudgetTokens: 1 << 40})
	list := []history.Record{record1(id, history.RecordID{}, history.Started(p.Config()))}
	for i := range n {
		call, err := program.NewCall(program.CallConfig{
			Number: uint32(i + 1), MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleUser, text(i, 200))},
		})
		require.NoError(tb, err)
		a := program.NewAnswer(program.AnswerConfig{Call: call, Text: text(i+7, 200), Usage: program.NewUsage(program.UsageConfig{PromptTokens: 9, OutputTokens: 9})})
		list = append(list, record1(id, list[i].ID(), history.Turn(call.Messages(), a)))
	}
	return list
}

func record1(id program.ID, previous history.RecordID, b history.Body) history.Record {
	return history.NewRecord(history.RecordConfig{
		ID: history.NewRecordID(), Program: id, Previous: previous, PreviousPosition: history.NoPosition, Home: "model-1", Time: time.Unix(9, 0), Body: b,
	})
}

// text returns words that compress as text does.
func text(seed, n int) string {
	g := newGenerator(omuti(), uint64(seed), 5).random
	var b strings.Builder
	for b.Len() < n {
		fmt.Fprintf(&b, "%s%d ", []string{"lot", "sack", "grade", "rafter", "price", "metre"}[g.IntN(6)], g.IntN(900))
	}
	return b.String()[:n]
}

func encodeTurns(tb testing.TB, n int) []byte {
	tb.Helper()
	data, err := record.NewCodec().Encode(turnRecords(tb, program.NewID("c", "k"), n)[1:])
	require.NoError(tb, err)
	return data
}

func committerHeap(tb testing.TB, n int) float64 {
	tb.Helper()
	l := platformstandin.NewLog()
	codec := record.NewCodec()
	for from := 0; from < n; from += 500 {
		var batch []history.Record
		for i := from; i < from+500; i++ {
			batch = append(batch, turnRecords(tb, program.NewID("c", fmt.Sprint(i)), 0)...)
		}
		data, err := codec.Encode(batch)
		require.NoError(tb, err)
		_, err = l.Append(context.Background(), "p-0", data)
		require.NoError(tb, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	return heapOf(func() any {
		c := history.NewCommitter(history.CommitterConfig{Log: l, Codec: codec, StreamPrefix: "p", StreamCount: 1})
		_, err := c.Locate(ctx, program.NewID("c", "0"))
		require.NoError(tb, err)
		require.Equal(tb, n, c.Stats().Programs)
		return c
	})
}

// recoveryTime returns the time to read a program of n turns from the log.
func recoveryTime(tb testing.TB, n int) float64 {
	tb.Helper()
	l := platformstandin.NewLog()
	c := history.NewCommitter(history.CommitterConfig{Log: l, Codec: record.NewCodec(), StreamPrefix: "p", StreamCount: 1, Linger: time.Microsecond})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	id := program.NewID("c", "k")
	for _, r := range turnRecords(tb, id, n) {
		_, err := c.Commit(ctx, r)
		require.NoError(tb, err)
	}
	return perRun(3, 5, func() {
		loaded, err := c.Load(ctx, id)
		require.NoError(tb, err)
		require.EqualValues(tb, n, loaded.Program().Turn())
	})
}
