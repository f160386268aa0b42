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
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/placement"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/queue"
)

// retainedBytes returns the growth of the heap by what build returns. It runs
// the garbage collector twice before each reading, because pools and finalizers
// delay the release of memory by a cycle.
func retainedBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	retained := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(retained)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// microsecondsPerRun returns the mean duration of f in the fastest of several
// rounds, which is the least affected by other load on the machine.
func microsecondsPerRun(rounds, runs int, f func()) float64 {
	shortest := time.Hour
	for range rounds {
		startedAt := time.Now()
		for range runs {
			f()
		}
		shortest = min(shortest, time.Since(startedAt)/time.Duration(runs))
	}
	return float64(shortest.Nanoseconds()) / 1000
}

// measureSeries measures the cost at each of the sizes.
func measureSeries(name, variable, unit string, sizes []float64, measure func(n int) float64) *costSeries {
	s := &costSeries{name: name, variable: variable, unit: unit, sizes: sizes}
	for _, n := range sizes {
		s.costs = append(s.costs, measure(int(n)))
	}
	return s
}

// measureAllSeries measures the cost of every component as its size grows.
func measureAllSeries(tb testing.TB) []*costSeries {
	return []*costSeries{
		measureSeries("program at rest, without its history", "program", "B", []float64{500, 1000, 2000, 4000}, func(n int) float64 { return programsBytes(tb, n, 0) }),
		measureSeries("program running, without its history", "program", "B", []float64{100, 200, 400, 800}, func(n int) float64 {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			store := newRelayStore(tb)
			return retainedBytes(func() any { return startLoadedHome(tb, ctx, store, 0, n, func(int) int { return 1 }) })
		}),
		measureSeries("history of 1,000 programs", "byte of history each", "B", []float64{1000, 4000, 8000, 16000}, func(n int) float64 { return programsBytes(tb, 1000, n) }),
		measureSeries("waiting call in the queue", "call", "B", []float64{1000, 2500, 5000, 10000}, waitingCallsBytes),
		measureSeries("decision of the queue", "doubling of waiting calls", "µs", []float64{10, 12, 14, 16}, queueDecisionTime),
		measureSeries("instance known to an entry", "instance", "B", []float64{1000, 2500, 5000, 10000}, memberTableBytes),
		measureSeries("choice of an endpoint", "endpoint", "µs", []float64{16, 32, 64, 128}, endpointChoiceTime),
		measureSeries("subset of an entry", "endpoint, 760 entries", "µs", []float64{1000, 2500, 5000, 10000}, subsetTime),
		measureSeries("configuration in memory", "class", "B", []float64{100, 200, 400, 800}, func(n int) float64 { return configurationBytes(tb, n) }),
		measureSeries("configuration parsed", "class", "µs", []float64{100, 200, 400, 800}, func(n int) float64 { return configurationParseTime(tb, n) }),
		measureSeries("configuration on the wire", "class", "B", []float64{100, 200, 400, 800}, func(n int) float64 { return float64(len(configurationText(n))) }),
		measureSeries("session between processes, both ends", "session", "B", []float64{8, 16, 32, 64}, func(n int) float64 { return sessionsBytes(tb, n) }),
		measureSeries("heartbeats, processor time of both ends", "heartbeat", "µs", []float64{500, 1000, 2000, 4000}, func(n int) float64 { return sendHeartbeats(tb, n).cpuMicroseconds }),
		measureSeries("heartbeats, bytes both ways", "heartbeat", "B", []float64{500, 1000, 2000, 4000}, func(n int) float64 { return sendHeartbeats(tb, n).bytes }),
		measureSeries("append of turns, 400 bytes of text each", "record", "B", []float64{1, 8, 64, 256}, func(n int) float64 { return float64(len(encodeTurns(tb, n))) }),
		measureSeries("append encoded", "record", "µs", []float64{1, 8, 64, 256}, func(n int) float64 { return microsecondsPerRun(5, 20, func() { encodeTurns(tb, n) }) }),
		measureSeries("order remembered by a ledger", "order", "B", []float64{5000, 10000, 20000, 40000}, func(n int) float64 {
			return retainedBytes(func() any { return newFilledLedger(tb, n) })
		}),
		measureSeries("program known to a committer", "program", "B", []float64{1000, 2500, 5000, 10000}, func(n int) float64 { return committerBytes(tb, n) }),
		measureSeries("recovery of a program", "turn", "µs", []float64{4, 8, 16, 32}, func(n int) float64 { return recoveryTime(tb, n) }),
	}
}

// BenchmarkSlope prints the marginal cost of each component as a table, and writes
// it with plots to the directory of -report.
func BenchmarkSlope(b *testing.B) {
	var series []*costSeries
	for b.Loop() {
		series = measureAllSeries(b)
	}
	require.NoError(b, writeSlopes(os.Stdout, series))
	if *reportFlag != "" {
		require.NoError(b, writeSlopeReport(*reportFlag, series))
	}
}

// TestSlopeBounds bounds the memory per item by what the memory limit of 256 MB
// allows at design size.
func TestSlopeBounds(t *testing.T) {
	const megabyte = 1 << 20
	tests := []struct {
		name    string
		bound   float64
		sizes   []float64
		measure func(n int) float64
	}{
		// 4,000 programs at a home, without their histories, fit into a fifth of 256 MB.
		{name: "program at rest", bound: 256 * megabyte / 5 / 4000, sizes: []float64{500, 1000, 2000, 4000}, measure: func(n int) float64 { return programsBytes(t, n, 0) }},
		// 10,760 instances fit into a tenth of 256 MB.
		{name: "instance known to an entry", bound: 256 * megabyte / 10 / 10_760, sizes: []float64{1000, 2500, 5000, 10000}, measure: memberTableBytes},
		// 10,000 waiting calls fit into a tenth of 256 MB.
		{name: "waiting call", bound: 256 * megabyte / 10 / 10_000, sizes: []float64{1000, 2500, 5000, 10000}, measure: waitingCallsBytes},
		// 500 sessions of an endpoint fit into half of 256 MB.
		{name: "session", bound: 256 * megabyte / 2 / 500, sizes: []float64{8, 16, 32, 64}, measure: func(n int) float64 { return sessionsBytes(t, n) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			slope, _, _ := measureSeries(test.name, "", "B", test.sizes, test.measure).fit()
			t.Logf("%.0f bytes per item, limit %.0f", slope, test.bound)
			require.LessOrEqual(t, slope, test.bound)
		})
	}
}

// TestTimeSlopes guards against operations whose time grows with the square of
// their size instead of linearly. It compares the time at a size
// with the time at eight times that size in the same run, so that the bound does
// not depend on the speed of the machine.
func TestTimeSlopes(t *testing.T) {
	// growth is the ratio of the sizes; slack is the factor by which the time may
	// exceed the expected growth.
	const growth, slack = 8, 5
	tests := []struct {
		name  string
		small func() float64
		large func() float64
		bound float64
	}{
		{
			name: "choice of an endpoint, linear", bound: slack * growth,
			small: func() float64 { return endpointChoiceTime(16) }, large: func() float64 { return endpointChoiceTime(16 * growth) },
		},
		{
			name: "subset of an entry, linear", bound: slack * growth,
			small: func() float64 { return subsetTime(1250) }, large: func() float64 { return subsetTime(1250 * growth) },
		},
		{
			name: "configuration parsed, linear", bound: slack * growth,
			small: func() float64 { return configurationParseTime(t, 100) }, large: func() float64 { return configurationParseTime(t, 100*growth) },
		},
		{
			name: "recovery of a program, linear", bound: slack * growth,
			small: func() float64 { return recoveryTime(t, 4) }, large: func() float64 { return recoveryTime(t, 4*growth) },
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ratio := test.large() / test.small()
			t.Logf("time grew by a factor of %.1f", ratio)
			require.LessOrEqual(t, ratio, test.bound)
		})
	}
}

// noopBackend implements the engine, the journal and the services of a home
// without side effects.
type noopBackend struct{}

func (noopBackend) Complete(_ context.Context, p home.Prompt, emit func([]byte)) (home.Completion, error) {
	emit([]byte("answer"))
	return home.NewCompletion(program.NewUsage(program.UsageConfig{PromptTokens: 10, OutputTokens: 1}), program.FinishStop), nil
}

func (noopBackend) Release(context.Context, program.ID) error { return nil }

func (noopBackend) Commit(context.Context, history.Record) (history.Position, error) { return 0, nil }

func (noopBackend) Load(context.Context, program.ID) (*history.LoadedProgram, error) {
	return nil, history.Errorf("load", history.KindNotFound, "journal holds no programs")
}

func (noopBackend) Locate(string) (string, uint64, error) { return "", 0, nil }

func (noopBackend) Run(context.Context, string, order.Request) (order.Reply, error) {
	return order.Reply{}, nil
}

func (noopBackend) Query(context.Context, string, order.Request) (order.Reply, error) {
	return order.Reply{}, nil
}

// newRelayStore returns a store with relayConfiguration in force.
func newRelayStore(tb testing.TB) *configuration.Store {
	tb.Helper()
	store := configuration.NewStore(inifile.ParseConfiguration)
	require.NoError(tb, store.Apply(configuration.NewRecord(configuration.RecordConfig{Base: configuration.NoVersion, Text: relayConfiguration})))
	return store
}

// programsBytes returns the heap of a home with n programs after one turn each,
// with a message of historyBytes+1 bytes.
func programsBytes(tb testing.TB, n, historyBytes int) float64 {
	tb.Helper()
	store := newRelayStore(tb)
	var h *home.Home
	bytes := retainedBytes(func() any {
		h = home.New(home.Config{Name: "model-1", Engine: noopBackend{}, Journal: noopBackend{}, Services: noopBackend{}, Configurations: store, Slots: 4096})
		for i := range n {
			s, err := h.Start(context.Background(), home.StartRequest{Caller: "c", Key: fmt.Sprint(i), Class: "relay"})
			require.NoError(tb, err)
			call, err := program.NewCall(program.CallConfig{
				Number: 1, MaxTokens: 5, Messages: []program.Message{program.NewMessage(program.RoleUser, strings.Repeat("x", historyBytes+1))},
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

// waitingCallsBytes returns the heap of a queue with n waiting calls.
func waitingCallsBytes(n int) float64 {
	return retainedBytes(func() any {
		q := queue.New[int](queue.Floors{})
		for i := range n {
			q.Push(queue.NewItem(queue.ItemConfig{AttainedService: time.Duration(i), StartedAt: time.Unix(0, 0)}, i))
		}
		return q
	})
}

// queueDecisionTime returns the time to pop and push a call, in microseconds, with
// 2^doublings waiting calls.
func queueDecisionTime(doublings int) float64 {
	q := queue.New[int](queue.Floors{})
	n := 1 << doublings
	for i := range n {
		q.Push(queue.NewItem(queue.ItemConfig{AttainedService: time.Duration(i * 7919 % n), StartedAt: time.Unix(0, 0)}, i))
	}
	return microsecondsPerRun(5, 2000, func() { q.Push(q.Pop()) })
}

// newInstances returns n endpoints.
func newInstances(n int) []fleet.Instance {
	instances := make([]fleet.Instance, 0, n)
	for i := range n {
		instances = append(instances, fleet.NewInstance(fleet.InstanceConfig{
			Name: fmt.Sprintf("model-%d", i), Address: fmt.Sprintf("10.%d.%d.1:7410", i/250, i%250), Domain: "domain-a", Role: fleet.EngineRole,
		}))
	}
	return instances
}

// memberTableBytes returns the heap of a membership table with n instances.
func memberTableBytes(n int) float64 {
	return retainedBytes(func() any {
		table := membership.NewTable()
		table.Update(newInstances(n), time.Unix(0, 0))
		return table
	})
}

// endpointChoiceTime returns the time to choose among n endpoints, in microseconds.
func endpointChoiceTime(n int) float64 {
	loads, names := placement.NewTable(), []string{}
	now := time.Unix(0, 0)
	for _, instance := range newInstances(n) {
		loads.Update(instance.Name(), placement.NewLoad(placement.LoadConfig{Limit: 16, DecodeRate: 50}), now)
		names = append(names, instance.Name())
	}
	random := newGenerator(omuti(), 1, 1).random
	return microsecondsPerRun(5, 500, func() { loads.Choose(names, placement.Request{ExpectedService: time.Second}, now, random) })
}

// subsetTime returns the time to compute the subset of one of 760 entries among n
// endpoints, in microseconds.
func subsetTime(n int) float64 {
	instances, entries := newInstances(n), []string{}
	for i := range 760 {
		entries = append(entries, fmt.Sprintf("entry-%d", i))
	}
	return microsecondsPerRun(3, 1, func() { membership.Subset("entry-7", entries, instances) })
}

// configurationText returns a configuration with n classes.
func configurationText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[class \"class-%d\"]\nrank = urgent\ntarget = 20s\nworth = 3\nbudget = 20000\nmax-turns = 60\n\n", i)
	}
	return b.String()
}

// configurationBytes returns the heap of a parsed configuration with n classes.
func configurationBytes(tb testing.TB, n int) float64 {
	tb.Helper()
	text := configurationText(n)
	bytes := retainedBytes(func() any {
		c, err := inifile.ParseConfiguration(text)
		require.NoError(tb, err)
		return c
	})
	runtime.KeepAlive(text)
	return bytes
}

// configurationParseTime returns the time to parse a configuration with n classes,
// in microseconds.
func configurationParseTime(tb testing.TB, n int) float64 {
	tb.Helper()
	text := configurationText(n)
	return microsecondsPerRun(3, 2, func() {
		_, err := inifile.ParseConfiguration(text)
		require.NoError(tb, err)
	})
}

// sessionsBytes returns the heap of n sessions, both ends of which are in this
// process.
func sessionsBytes(tb testing.TB, n int) float64 {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addresses := staticDirectory{}
	server := peer.NewServer(peer.ServerConfig{HeartbeatHandler: emptyEndpoint{}})
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(tb, err)
		addresses[fmt.Sprint(i)] = listener.Addr().String()
		go func() { _ = server.Serve(ctx, listener) }()
	}
	var pool *peer.Pool
	bytes := retainedBytes(func() any {
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

// staticDirectory maps the names of instances to their addresses.
type staticDirectory map[string]string

// Address returns the address of an instance, and false if it is unknown.
func (d staticDirectory) Address(instance string) (string, bool) {
	a, ok := d[instance]
	return a, ok
}

// emptyEndpoint answers heartbeats with a zero load.
type emptyEndpoint struct{}

// Beat returns the zero answer.
func (emptyEndpoint) Beat(string, membership.Heartbeat) membership.HeartbeatReply {
	return membership.NewHeartbeatReply(membership.HeartbeatReplyConfig{})
}
