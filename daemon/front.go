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

	"github.com/lavendervale/lavendervale"
	"github.com/lavendervale/lavendervale/adapter/mesh"
	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/gateway"
	"github.com/lavendervale/lavendervale/memory"
	"github.com/lavendervale/lavendervale/overload"
	"github.com/lavendervale/lavendervale/platform"
	"github.com/lavendervale/lavendervale/route"
	"github.com/lavendervale/lavendervale/share"
	"github.com/lavendervale/lavendervale/turn"
)

// FrontConfig describes a front: a process that serves the callers of a platform.
type FrontConfig struct {
	// Name is unique among the live instances.
	Name string
	// Domain is the failure domain of the front.
	Domain string
	// CallerAddress is the address to listen on for callers.
	CallerAddress string
	// ReadyAddress is the address to listen on for the platform's readiness checks.
	ReadyAddress string
	// PeerAddress is the address to listen on for other fronts, over TCP and UDP.
	PeerAddress string
	// MetricsAddress is the address to serve metrics on; empty for none.
	MetricsAddress string
	// StoreAddress is the IP address and port of the platform's store.
	StoreAddress string
	// Shards is the number of partitions of the topic of the store that holds the log.
	Shards int
	// StoreWriteRate is the number of writes per second that the store accepts from all
	// instances together; 0 is unknown, and the front does not limit its own then.
	StoreWriteRate float64
	// MaxRecordBytes is the size of the longest record that the store's log takes; 0 is no limit.
	MaxRecordBytes int
	// MemoryMB is the memory that the process may use, in MiB; 0 sets no limit.
	MemoryMB int64
	// Processors is the number of processors that the instance may use, fractions too.
	Processors float64
	// GracePeriod is the time from a request to stop to the end of the process.
	GracePeriod time.Duration
	// QuotaSpan is the length of the spans in which quotas of customers hold; 0 is
	// DefaultQuotaSpan.
	QuotaSpan time.Duration
	// DrainTime and HeartbeatInterval are those of endpoint.DirectoryConfig.
	DrainTime         time.Duration
	HeartbeatInterval time.Duration
	// RefuseWhenFull refuses programs that begin while engines are full; otherwise they wait.
	RefuseWhenFull bool
	// AdmissionLoad is the ratio of running requests to the slots of engines from which on programs
	// wait to begin, with RefuseWhenFull; 0 is overload.DefaultLoad.
	AdmissionLoad float64
	// FairShares refuses first programs of customers over their fair share, with RefuseWhenFull.
	FairShares bool
	// Logger receives what the process reports; nil discards it.
	Logger *zap.Logger
	// DroppedLines returns the number of lines that the log has lost; nil if that is not known.
	DroppedLines func() int64
}

const (
	// memoryLimitRatio is the part of FrontConfig.MemoryMB that is set as the limit of
	// the Go runtime. The rest is for kernel buffers, which count as well.
	memoryLimitRatio = 0.7
	// recordWriteRatio is the part of FrontConfig.StoreWriteRate that appends of turn
	// records may use.
	recordWriteRatio = 0.75
	// bufferRatio is the part of FrontConfig.MemoryMB that requests in progress may hold in buffers.
	bufferRatio = 0.15
	// connectionRatio is the part of FrontConfig.MemoryMB that connections of callers and the parsed
	// heads of their requests may hold.
	connectionRatio = 0.2
	// metricsInFlight bounds the metrics requests served at once: each takes about 1 MB while its answer is
	// compressed and written.
	metricsInFlight = 4
	// exitReserveRatio is the part of the grace period that is reserved for closing. The
	// platform does not count a request as failed when it is cut off in the last sixth of
	// the grace period.
	exitReserveRatio = 1.0 / 8
)

// Front is a process that serves the callers of a platform.
type Front struct {
	config    FrontConfig
	routes    *route.Store
	directory *endpoint.Directory
	// shares is nil if customers have no shares.
	shares         *share.Ledger
	store          *platform.Store
	mesh           *mesh.Mesh
	shardSet       *turn.ShardSet
	endpointClient *platform.EndpointClient
	storeWatch     *platform.Watcher
	versionHistory *platform.VersionHistory
	gateway        *gateway.Gateway
	listeners      listeners
	ingress        *platform.Ingress
	registry       *prometheus.Registry
	// parts holds what runs until its context ends.
	parts []func(context.Context)
	// started is set once the front has loaded its own shards and knows the routes and the
	// endpoints; guarded by mu.
	started bool
	mu      sync.Mutex
	// leaving is set once the front was asked to stop; guarded by mu.
	leaving     bool
	incarnation uint64
}

// NewFront opens the listeners of a front. It also sets the memory limit of the Go
// runtime when FrontConfig.MemoryMB is given.
func NewFront(c FrontConfig) (*Front, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.QuotaSpan == 0 {
		c.QuotaSpan = DefaultQuotaSpan
	}
	c.Logger = c.Logger.With(zap.String("instance", c.Name))
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(c.MemoryMB) * (1 << 20)))
	}
	f := &Front{
		config: c, routes: &route.Store{}, directory: endpoint.NewDirectoryWith(endpoint.DirectoryConfig{DrainTime: c.DrainTime, HeartbeatInterval: c.HeartbeatInterval}),
		registry: prometheus.NewRegistry(), incarnation: newIncarnation(),
	}
	var shares mesh.ShareLedger
	if c.RefuseWhenFull && c.FairShares {
		f.shares = share.New(share.Config{Self: c.Name})
		shares = f.shares
	}
	opened, err := openListeners(c)
	if err != nil {
		return nil, err
	}
	f.listeners = opened
	f.mesh, err = mesh.New(mesh.Config{
		Name: c.Name, Domain: c.Domain, Incarnation: f.incarnation, Weight: max(0.01, c.Processors), Address: c.PeerAddress, Shards: c.Shards,
		Directory: f.directory, Shares: shares, Logger: c.Logger, StoreUnreachableFor: func() time.Duration { return f.store.UnavailableFor() },
	})
	if err != nil {
		opened.close()
		return nil, err
	}
	f.mesh.AwaitPeers()
	f.initComponents()
	if c.DroppedLines != nil {
		f.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lavendervale_log_lines_dropped_total", Help: "Lines of the log that were dropped: above the rate limits, not read in time or not written.",
		}, func() float64 { return float64(c.DroppedLines()) }))
	}
	return f, nil
}

// CallerAddress returns the address that the front listens on for callers.
func (f *Front) CallerAddress() string { return f.listeners.callers.Addr().String() }

// ReadyAddress returns the address that the front listens on for readiness checks.
func (f *Front) ReadyAddress() string { return f.listeners.ready.Addr().String() }

// initComponents creates the parts of the process and connects them.
func (f *Front) initComponents() {
	c := f.config
	f.store = platform.NewStore(platform.StoreConfig{Address: c.StoreAddress, Relay: f.mesh, Metrics: f.registry, Logger: c.Logger})
	f.shardSet = turn.New(turn.Config{
		WriterID: rand.Uint64(), ShardCount: c.Shards, Log: f.store.TurnLog(), Replicator: f.mesh, FindElsewhere: f.mesh.Find, FindInMemoryElsewhere: f.mesh.FindInMemory, Logger: c.Logger,
		MinAppendInterval: minAppendInterval(c), Linger: turn.DefaultLinger, LogTimeout: turn.DefaultLogTimeout, ReadTimeout: turn.DefaultReadTimeout, MaxRecordBytes: c.MaxRecordBytes, ReplicateBeginsAfter: turn.DefaultReplicateBeginsAfter, ReplicateEndsAfter: turn.DefaultReplicateEndsAfter, IsHome: f.mesh.IsSteadyHome, MaxStaleness: turn.DefaultMaxStaleness,
	})
	f.mesh.SetHandlers(f.shardSet, f.store)
	f.endpointClient = platform.NewEndpointClient(f.registry)
	f.storeWatch = platform.NewWatcher(platform.WatcherConfig{Store: f.store, Routes: f.routes, Directory: f.directory, AddPeer: f.mesh.AddFront, Logger: c.Logger})
	f.versionHistory = platform.NewVersionHistory(platform.VersionHistoryConfig{Store: f.store, Directory: f.directory, IsRecorder: f.mesh.IsRecorder, Logger: c.Logger})
	f.gateway = gateway.New(gateway.Config{
		Domain: c.Domain, Routes: f.routes, Directory: f.directory, Queue: dispatch.New(f.directory), Transport: f.endpointClient, Registrations: f.storeWatch,
		TurnTracker: f.mesh, Overload: f.newOverload(), CrashTracker: f.mesh, Permits: f.mesh, Origins: f.mesh, Transcripts: f.mesh, Quotas: f.mesh, QuotaSpan: c.QuotaSpan, Shares: f.useRecorder(), Metrics: gateway.NewMetrics(f.registry), Logger: c.Logger,
	})
	f.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lavendervale_endpoint_speed_ratio", Help: "Ratio of the time of the slowest endpoint to that of the fastest, of the service where it is greatest; 1 if none is known.",
	}, f.directory.SpeedSpread))
	f.ingress = platform.NewIngress(platform.IngressConfig{
		Listener: f.listeners.callers, Handler: f.gateway, Routes: f.routes, Memory: f.newLimiter(),
		Connections: memory.NewBudget(memory.BudgetConfig{CapacityBytes: int64(connectionRatio * float64(c.MemoryMB) * (1 << 20)), ConnectionBytes: platform.ConnectionBytes}),
		Metrics:     f.registry, Logger: c.Logger,
	})
	f.parts = []func(context.Context){f.mesh.Run, f.storeWatch.Run, f.versionHistory.Run, f.endpointClient.Run, f.shardSet.Run, f.register, f.start}
}

// newOverload returns the admission control of programs, with its metric, or nil if it is off.
func (f *Front) newOverload() *overload.Controller {
	if !f.config.RefuseWhenFull {
		return nil
	}
	config := overload.Config{Load: f.config.AdmissionLoad, Directory: f.directory}
	if f.shares != nil {
		config.Shares = f.shares
	}
	controller := overload.New(config)
	f.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "lavendervale_engine_load_ratio", Help: "Greatest ratio of running requests to slots among the services where programs began lately.",
	}, func() float64 { return controller.LoadRatio(time.Now()) }))
	return controller
}

// useRecorder returns the record of what customers use, or nil if they have no shares.
func (f *Front) useRecorder() gateway.UseRecorder {
	if f.shares == nil {
		return nil
	}
	return f.shares
}

// newLimiter returns the limiter of the buffers of requests in progress, with its metrics.
func (f *Front) newLimiter() *memory.Limiter {
	limiter := memory.New(memory.Config{CapacityBytes: int64(bufferRatio * float64(f.config.MemoryMB) * (1 << 20))})
	f.registry.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "lavendervale_buffered_bytes", Help: "Bytes that requests in progress hold in buffers.",
		}, func() float64 { return float64(limiter.UsedBytes()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "lavendervale_memory_evictions_total", Help: "Requests ended because they held most of the memory for buffers when it was used up.",
		}, func() float64 { return float64(limiter.Evictions()) }),
	)
	return limiter
}

// minAppendInterval returns the least time between two appends of a shard with which all
// shards together use at most recordWriteRatio of the store's write rate.
func minAppendInterval(c FrontConfig) time.Duration {
	if c.StoreWriteRate <= 0 {
		return 0
	}
	return time.Duration(float64(c.Shards) / (recordWriteRatio * c.StoreWriteRate) * float64(time.Second))
}

// Run serves until ctx ends, then waits up to the grace period for the requests in
// progress. When a listener fails, Run stops without draining and returns its error. It
// returns within the grace period, also if a part of the front does not end.
func (f *Front) Run(ctx context.Context) error {
	c := f.config
	c.Logger.Info("front starts", zap.String("version", lavendervale.Version), zap.String("revision", revision()), zap.String("domain", c.Domain),
		zap.String("callers", f.CallerAddress()), zap.String("ready", f.ReadyAddress()), zap.String("peers", f.mesh.Address()), zap.String("metrics", c.MetricsAddress),
		zap.String("store", c.StoreAddress), zap.Int("shards", c.Shards), zap.Int64("memory", c.MemoryMB), zap.Int("processors", runtime.GOMAXPROCS(0)),
		zap.Duration("grace", c.GracePeriod), zap.Uint64("incarnation", f.incarnation), zap.Int("pid", os.Getpid()))
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	serveErrs := make(chan error, 3)
	for _, part := range f.parts {
		wg.Go(func() { part(workCtx) })
	}
	wg.Go(func() { serveErrs <- f.ingress.Serve() })
	httpServers := []*http.Server{serveHTTP(f.listeners.ready, f.readyHandler(), c.Logger, serveErrs)}
	if metricsListener := f.listeners.metrics; metricsListener != nil {
		httpServers = append(httpServers, serveHTTP(metricsListener, promhttp.HandlerFor(f.registry, promhttp.HandlerOpts{MaxRequestsInFlight: metricsInFlight}), c.Logger, serveErrs))
	}
	var err error
	drains, ended := false, make(chan struct{})
	select {
	case <-ctx.Done():
		drains = true
	case err = <-serveErrs:
		c.Logger.Error("serving a listener of the front failed", zap.Error(err))
	}
	go func() {
		defer close(ended)
		if drains {
			f.drain(context.Cause(ctx))
		} else {
			closeCtx, cancelClose := context.WithTimeout(context.Background(), f.exitReserve())
			defer cancelClose()
			f.ingress.Close(closeCtx)
		}
		cancel()
		for _, s := range httpServers {
			_ = s.Close()
		}
		wg.Wait()
	}()
	f.awaitEnd(ended)
	c.Logger.Info("front has stopped", zap.Error(err))
	return err
}

const (
	// DefaultGracePeriod is the default of FrontConfig.GracePeriod in settings.
	DefaultGracePeriod = 8 * time.Second
	// DefaultQuotaSpan is the default of FrontConfig.QuotaSpan.
	DefaultQuotaSpan = 5 * time.Second
	// DefaultRecordBytes is the default of FrontConfig.MaxRecordBytes in settings.
	DefaultRecordBytes = 256 << 10
	// DefaultShards is the default of FrontConfig.Shards in settings.
	DefaultShards = 12
)
