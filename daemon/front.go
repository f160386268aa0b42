package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/mesh"
	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/platform"
	"github.com/lavendervale/lavendervale/route"
	"github.com/lavendervale/lavendervale/turn"
)

// FrontConfig describes a front: a process that serves the callers of a platform.
type FrontConfig struct {
	// Name is unique among the live instances.
	Name string
	// Domain is the failure domain.
	Domain string
	// Callers is where callers are listened to.
	Callers string
	// Ready is where the platform asks whether the front is ready.
	Ready string
	// Peers is where other fronts are listened to, over TCP and UDP.
	Peers string
	// Metrics is where metrics are served, empty for nowhere.
	Metrics string
	// Store is the IP address and port of the platform's store.
	Store string
	// Shards is the number of parts of a topic of the store.
	Shards int
	// Writes is the number of writing calls a second that the store takes from all
	// instances, 0 for unknown.
	Writes float64
	// Memory is what the process may use, in MB.
	Memory int64
	// Processors is the processor share of the instance.
	Processors float64
	// Grace is the time from a request to stop to the end of the process.
	Grace time.Duration
	// Logger takes what the process reports.
	Logger *zap.Logger
}

const (
	// memoryShare is the part of the memory that the garbage collector aims at; the
	// rest is for buffers of the kernel that count as well.
	memoryShare = 0.7
	// writeShare is the part of the store's rate that the records of turns may take.
	writeShare = 0.75
	// graceMargin is the share of the grace that is kept for the end of the process; the
	// platform excuses requests that are cut off in the last sixth.
	graceMargin = 1.0 / 8
)

// Front serves the callers of a platform.
type Front struct {
	config    FrontConfig
	routes    *route.Store
	directory *endpoint.Directory
	store     *platform.Store
	mesh      *mesh.Mesh
	homes     *turn.ShardSet
	workers   *platform.Workers
	watch     *platform.Watch
	gateway   *gateway.Gateway
	listeners listeners
	ingress   *platform.Ingress
	registry  *prometheus.Registry
	warm      bool
	mu        sync.Mutex
	leaving   bool
	number    uint64
}

// NewFront opens the listeners of a front.
func NewFront(c FrontConfig) (*Front, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.Logger = c.Logger.With(zap.String("instance", c.Name))
	if c.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(c.Memory) * (1 << 20)))
	}
	f := &Front{
		config: c, routes: &route.Store{}, directory: endpoint.NewDirectory(), registry: prometheus.NewRegistry(), number: newIncarnation(),
	}
	open, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	f.listeners = open
	f.mesh, err = mesh.New(mesh.Config{
		Name: c.Name, Domain: c.Domain, Incarnation: f.number, Weight: max(0.01, c.Processors), Address: c.Peers, Shards: c.Shards,
		Directory: f.directory, Logger: c.Logger, StoreAway: func() time.Duration { return f.store.Away() },
	})
	if err != nil {
		open.close()
		return nil, err
	}
	f.assemble()
	return f, nil
}

// CallersAddress returns where the front listens to callers.
func (f *Front) CallersAddress() string { return f.listeners.callers.Addr().String() }

// ReadyAddress returns where the front answers whether it is ready.
func (f *Front) ReadyAddress() string { return f.listeners.ready.Addr().String() }

// assemble joins the parts of the process.
func (f *Front) assemble() {
	c := f.config
	f.store = platform.NewStore(platform.StoreConfig{Address: c.Store, Relay: f.mesh, Metrics: f.registry, Logger: c.Logger})
	f.homes = turn.New(turn.Config{
		WriterID: rand.Uint64(), ShardCount: c.Shards, Log: f.store.Turns(), Replicator: f.mesh, FindElsewhere: f.mesh.Find, Logger: c.Logger,
		MinAppendInterval: gap(c), Linger: turn.DefaultLinger, LogTimeout: turn.DefaultLogTimeout, ReplicateBeginsAfter: turn.DefaultReplicateBeginsAfter, ReplicateEndsAfter: turn.DefaultReplicateEndsAfter, IsHome: f.mesh.Home, MaxStaleness: turn.DefaultMaxStaleness,
	})
	f.mesh.Attach(f.homes, f.store)
	f.workers = platform.NewWorkers(f.registry)
	f.watch = platform.NewWatch(platform.WatchConfig{Store: f.store, Routes: f.routes, Directory: f.directory, Peers: f.mesh.Learn, Logger: c.Logger})
	f.gateway = gateway.New(gateway.Config{
		Domain: c.Domain, Routes: f.routes, Directory: f.directory, Queue: dispatch.New(f.directory), Endpoints: f.workers,
		Ledger: f.mesh, Suspects: f.mesh, Metrics: gateway.NewMetrics(f.registry), Logger: c.Logger,
	})
	f.ingress = platform.NewIngress(platform.IngressConfig{Listener: f.listeners.callers, Handler: f.gateway, Routes: f.routes, Logger: c.Logger})
}

// gap returns the time between two appends of a shard by which all shards
// together stay within the rate of the store.
func gap(c FrontConfig) time.Duration {
	if c.Writes <= 0 {
		return 0
	}
	return time.Duration(float64(c.Shards) / (writeShare * c.Writes) * float64(time.Second))
}

// Run serves until ctx ends, then lets the requests under way end.
func (f *Front) Run(ctx context.Context) error {
	c := f.config
	c.Logger.Info("front starts", zap.String("domain", c.Domain), zap.String("callers", c.Callers), zap.String("peers", c.Peers),
		zap.String("store", c.Store), zap.Int("shards", c.Shards), zap.Int64("memory", c.Memory), zap.Int("processors", runtime.GOMAXPROCS(0)),
		zap.Uint64("incarnation", f.number), zap.Int("pid", os.Getpid()))
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	var work sync.WaitGroup
	failed := make(chan error, 3)
	work.Go(func() { f.mesh.Run(inner) })
	work.Go(func() { f.watch.Run(inner) })
	work.Go(func() { f.workers.Run(inner) })
	work.Go(func() { f.homes.Run(inner) })
	work.Go(func() { f.register(inner) })
	work.Go(func() { f.prepare(inner) })
	work.Go(func() { failed <- f.ingress.Serve() })
	closers := []*http.Server{serveHTTP(f.listeners.ready, f.readyHandler(), failed)}
	if l := f.listeners.metrics; l != nil {
		closers = append(closers, serveHTTP(l, promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}), failed))
	}
	var err error
	select {
	case <-ctx.Done():
		f.leave()
	case err = <-failed:
		c.Logger.Error("front fails", zap.Error(err))
		stop, done := context.WithTimeout(context.Background(), f.margin())
		f.ingress.Close(stop)
		done()
	}
	cancel()
	for _, s := range closers {
		_ = s.Close()
	}
	work.Wait()
	c.Logger.Info("front has stopped", zap.Error(err))
	return err
}

const (
	// DefaultGrace is the time from a request to stop to the end of the process.
	DefaultGrace = 8 * time.Second
	// DefaultShards is the number of parts of a topic of the store.
	DefaultShards = 12
)
