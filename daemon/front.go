package daemon

import (
	"context"
	"math/rand/v2"
	"net"
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
	// leaveServe is how long after a request to stop new requests are taken as before:
	// the platform goes on sending callers for two to three seconds.
	leaveServe = 3 * time.Second
	// maxLeave bounds how long a process without requests waits for callers that
	// still have a connection; the platform stops sending new ones in two seconds.
	maxLeave = 5 * time.Second
	// warmTimeout bounds the load of the own shards before a front is ready.
	warmTimeout = 4 * time.Second
	// peersTimeout bounds the wait for the list of other fronts at the start, and
	// peersPause and peersWait bound the wait until half of them are heard of: a front
	// that knows no other would take all shards for its own.
	peersTimeout = 2 * time.Second
	peersPause   = 150 * time.Millisecond
	peersWait    = 1500 * time.Millisecond
	// readyCheck is the time between two looks whether the front is ready.
	readyCheck = 50 * time.Millisecond
	// isolated is how long neither the store nor another front may answer before the
	// front asks for no new callers.
	isolated = 1500 * time.Millisecond
	// readHeaderTimeout bounds the head of a question for readiness or metrics.
	readHeaderTimeout = 2 * time.Second
	// registerTimeout bounds the entry at the end of the process.
	registerTimeout = 500 * time.Millisecond
)

// Front serves the callers of a platform.
type Front struct {
	config    FrontConfig
	routes    *route.Store
	directory *endpoint.Directory
	store     *platform.Store
	mesh      *mesh.Mesh
	homes     *turn.Homes
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

// listeners are the sockets that a front takes connections on.
type listeners struct {
	callers net.Listener
	ready   net.Listener
	// metrics is nil when metrics are served nowhere.
	metrics net.Listener
}

// openListeners opens the sockets of a front, all or none.
func openListeners(c FrontConfig) (listeners, error) {
	addresses := []string{c.Callers, c.Ready}
	if c.Metrics != "" {
		addresses = append(addresses, c.Metrics)
	}
	open, err := listen(addresses...)
	if err != nil {
		return listeners{}, err
	}
	l := listeners{callers: open[0], ready: open[1]}
	if c.Metrics != "" {
		l.metrics = open[2]
	}
	return l, nil
}

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.ready, l.metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
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
		Writer: rand.Uint64(), Shards: c.Shards, Log: f.store.Turns(), Keeper: f.mesh, Find: f.mesh.Find, Logger: c.Logger,
		Gap: gap(c), Linger: turn.DefaultLinger, Timeout: turn.DefaultTimeout, KeepAfter: turn.DefaultKeepAfter, OutageAfter: turn.DefaultOutageAfter, Home: f.mesh.Home, Incumbency: turn.DefaultIncumbency,
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

func serveHTTP(l net.Listener, h http.Handler, failed chan<- error) *http.Server {
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		if err := s.Serve(l); err != http.ErrServerClosed {
			failed <- err
		}
	}()
	return s
}

// register makes the front known to the others.
func (f *Front) register(ctx context.Context) {
	if err := f.store.Register(ctx, f.config.Name, f.mesh.Address(), f.number); err != nil {
		f.config.Logger.Warn("front not registered", zap.Error(err))
	}
}

// prepare loads the own shards, after which the front is ready.
func (f *Front) prepare(ctx context.Context) {
	started := time.Now()
	select {
	case <-ctx.Done():
		return
	case <-f.watch.PeersKnown():
	case <-time.After(peersTimeout):
		f.config.Logger.Warn("front starts without knowing the others", zap.Duration("waited", peersTimeout))
	}
	for waited := time.Duration(0); waited < peersPause || (waited < peersWait && 2*f.mesh.Alive() < f.mesh.Known()); waited += readyCheck {
		time.Sleep(readyCheck)
	}
	for f.routes.Table() == nil || f.directory.Len() == 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(readyCheck):
		}
	}
	load, cancel := context.WithTimeout(ctx, warmTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, shard := range f.mesh.Own() {
		all.Go(func() {
			if err := f.homes.Load(load, shard); err != nil {
				f.config.Logger.Warn("shard not loaded", zap.Int("shard", shard), zap.Error(err))
			}
		})
	}
	all.Wait()
	f.mesh.Started()
	f.mu.Lock()
	f.warm = true
	f.mu.Unlock()
	f.config.Logger.Info("front is ready", zap.Duration("took", time.Since(started)), zap.Int("endpoints", f.directory.Len()), zap.Int("fronts", f.mesh.Alive()))
}

// ready reports whether new callers should come.
func (f *Front) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.warm || f.leaving {
		return false
	}
	return f.store.Away() < isolated || f.mesh.Alive() > 0
}

func (f *Front) readyHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !f.ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}

// margin is what is kept of the grace for the end of the process.
func (f *Front) margin() time.Duration {
	return time.Duration(graceMargin * float64(f.config.Grace))
}

// leave lets callers go elsewhere and serves on until none is left or the grace ends.
func (f *Front) leave() {
	started := time.Now()
	grace := f.config.Grace - f.margin()
	f.gateway.Leave(started.Add(leaveServe), started.Add(grace))
	f.mu.Lock()
	f.leaving = true
	f.mu.Unlock()
	f.config.Logger.Info("front stops", zap.Int64("active", f.ingress.Active()))
	f.mesh.Leave()
	f.ingress.Leave()
	unregister, cancel := context.WithTimeout(context.Background(), registerTimeout)
	go func() {
		defer cancel()
		if err := f.store.Unregister(unregister, f.config.Name); err != nil {
			f.config.Logger.Warn("front not unregistered", zap.Error(err))
		}
	}()
	for time.Since(started) < grace {
		if time.Since(started) > min(maxLeave, grace) && f.ingress.Active() == 0 {
			break
		}
		time.Sleep(readyCheck)
	}
	stop, done := context.WithTimeout(context.Background(), max(0, grace-time.Since(started))+f.margin()/3)
	defer done()
	f.ingress.Close(stop)
	f.homes.Flush(stop)
}

const (
	// DefaultGrace is the time from a request to stop to the end of the process.
	DefaultGrace = 8 * time.Second
	// DefaultShards is the number of parts of a topic of the store.
	DefaultShards = 12
)
