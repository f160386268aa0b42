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
	CallerAddress string
	// Ready is where the platform asks whether the front is ready.
	ReadyAddress string
	// Peers is where other fronts are listened to, over TCP and UDP.
	PeerAddress string
	// Metrics is where metrics are served, empty for nowhere.
	MetricsAddress string
	// Store is the IP address and port of the platform's store.
	StoreAddress string
	// Shards is the number of parts of a topic of the store.
	Shards int
	// Writes is the number of writing calls a second that the store takes from all
	// instances, 0 for unknown.
	StoreWriteRate float64
	// Memory is what the process may use, in MB.
	MemoryMB int64
	// Processors is the processor share of the instance.
	Processors float64
	// Grace is the time from a request to stop to the end of the process.
	GracePeriod time.Duration
	// Logger takes what the process reports.
	Logger *zap.Logger
}

const (
	// memoryShare is the part of the memory that the garbage collector aims at; the
	// rest is for buffers of the kernel that count as well.
	memoryLimitRatio = 0.7
	// writeShare is the part of the store's rate that the records of turns may take.
	recordWriteRatio = 0.75
	// graceMargin is the share of the grace that is kept for the end of the process; the
	// platform excuses requests that are cut off in the last sixth.
	exitReserveRatio = 1.0 / 8
)

// Front serves the callers of a platform.
type Front struct {
	config       FrontConfig
	routes       *route.Store
	directory    *endpoint.Directory
	store        *platform.Store
	mesh         *mesh.Mesh
	homes        *turn.Homes
	workers      *platform.Workers
	storeWatch   *platform.Watch
	gateway      *gateway.Gateway
	listeners    listeners
	ingress      *platform.Ingress
	registry     *prometheus.Registry
	shardsLoaded bool
	mu           sync.Mutex
	leaving      bool
	incarnation  uint64
}

// NewFront opens the listeners of a front.
func NewFront(c FrontConfig) (*Front, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	c.Logger = c.Logger.With(zap.String("instance", c.Name))
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(c.MemoryMB) * (1 << 20)))
	}
	f := &Front{
		config: c, routes: &route.Store{}, directory: endpoint.NewDirectory(), registry: prometheus.NewRegistry(), incarnation: newIncarnation(),
	}
	opened, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	f.listeners = opened
	f.mesh, err = mesh.New(mesh.Config{
		Name: c.Name, Domain: c.Domain, Incarnation: f.incarnation, Weight: max(0.01, c.Processors), Address: c.PeerAddress, Shards: c.Shards,
		Directory: f.directory, Logger: c.Logger, StoreUnreachableFor: func() time.Duration { return f.store.Away() },
	})
	if err != nil {
		opened.close()
		return nil, err
	}
	f.initComponents()
	return f, nil
}

// CallersAddress returns where the front listens to callers.
func (f *Front) CallersAddress() string { return f.listeners.callers.Addr().String() }

// ReadyAddress returns where the front answers whether it is ready.
func (f *Front) ReadyAddress() string { return f.listeners.ready.Addr().String() }

// assemble joins the parts of the process.
func (f *Front) initComponents() {
	c := f.config
	f.store = platform.NewStore(platform.StoreConfig{Address: c.StoreAddress, Relay: f.mesh, Metrics: f.registry, Logger: c.Logger})
	f.homes = turn.New(turn.Config{
		Writer: rand.Uint64(), Shards: c.Shards, Log: f.store.Turns(), Keeper: f.mesh, Find: f.mesh.Find, Logger: c.Logger,
		Gap: minAppendInterval(c), Linger: turn.DefaultLinger, Timeout: turn.DefaultTimeout, KeepAfter: turn.DefaultKeepAfter, OutageAfter: turn.DefaultOutageAfter, Home: f.mesh.IsHome, Incumbency: turn.DefaultIncumbency,
	})
	f.mesh.SetHandlers(f.homes, f.store)
	f.workers = platform.NewWorkers(f.registry)
	f.storeWatch = platform.NewWatch(platform.WatchConfig{Store: f.store, Routes: f.routes, Directory: f.directory, Peers: f.mesh.AddFront, Logger: c.Logger})
	f.gateway = gateway.New(gateway.Config{
		Domain: c.Domain, Routes: f.routes, Directory: f.directory, Queue: dispatch.New(f.directory), Endpoints: f.workers,
		Ledger: f.mesh, Suspects: f.mesh, Metrics: gateway.NewMetrics(f.registry), Logger: c.Logger,
	})
	f.ingress = platform.NewIngress(platform.IngressConfig{Listener: f.listeners.callers, Handler: f.gateway, Routes: f.routes, Logger: c.Logger})
}

// gap returns the time between two appends of a shard by which all shards
// together stay within the rate of the store.
func minAppendInterval(c FrontConfig) time.Duration {
	if c.StoreWriteRate <= 0 {
		return 0
	}
	return time.Duration(float64(c.Shards) / (recordWriteRatio * c.StoreWriteRate) * float64(time.Second))
}

// Run serves until ctx ends, then lets the requests under way end.
func (f *Front) Run(ctx context.Context) error {
	c := f.config
	c.Logger.Info("front starts", zap.String("domain", c.Domain), zap.String("callers", c.CallerAddress), zap.String("peers", c.PeerAddress),
		zap.String("store", c.StoreAddress), zap.Int("shards", c.Shards), zap.Int64("memory", c.MemoryMB), zap.Int("processors", runtime.GOMAXPROCS(0)),
		zap.Uint64("incarnation", f.incarnation), zap.Int("pid", os.Getpid()))
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	serveErrs := make(chan error, 3)
	wg.Go(func() { f.mesh.Run(workCtx) })
	wg.Go(func() { f.storeWatch.Run(workCtx) })
	wg.Go(func() { f.workers.Run(workCtx) })
	wg.Go(func() { f.homes.Run(workCtx) })
	wg.Go(func() { f.register(workCtx) })
	wg.Go(func() { f.loadOwnShards(workCtx) })
	wg.Go(func() { serveErrs <- f.ingress.Serve() })
	httpServers := []*http.Server{serveHTTP(f.listeners.ready, f.readyHandler(), serveErrs)}
	if metricsListener := f.listeners.metrics; metricsListener != nil {
		httpServers = append(httpServers, serveHTTP(metricsListener, promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{}), serveErrs))
	}
	var err error
	select {
	case <-ctx.Done():
		f.drain()
	case err = <-serveErrs:
		c.Logger.Error("front fails", zap.Error(err))
		closeCtx, cancelClose := context.WithTimeout(context.Background(), f.exitReserve())
		f.ingress.Close(closeCtx)
		cancelClose()
	}
	cancel()
	for _, s := range httpServers {
		_ = s.Close()
	}
	wg.Wait()
	c.Logger.Info("front has stopped", zap.Error(err))
	return err
}

const (
	// DefaultGrace is the time from a request to stop to the end of the process.
	DefaultGracePeriod = 8 * time.Second
	// DefaultShards is the number of parts of a topic of the store.
	DefaultShards = 12
)
