package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale"
	"github.com/lavendervale/lavendervale/adapter/caller"
	"github.com/lavendervale/lavendervale/adapter/engine"
	"github.com/lavendervale/lavendervale/adapter/peer"
	platformadapter "github.com/lavendervale/lavendervale/adapter/platform"
	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/home"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/placement"
)

const (
	// JournalPrefix is the prefix of the names of the streams that hold the journal.
	JournalPrefix = "programs"
	// crashPollInterval is the time between two reads of the quarantine stream.
	crashPollInterval = time.Second
	// drainPollInterval is the time between two checks for calls in progress while the process
	// stops.
	drainPollInterval = 20 * time.Millisecond
)

// endpointProcess is a process beside a model engine or a plain service. The fields from
// platform to home are set only in the engine role, runner only in the service role.
type endpointProcess struct {
	config         Config
	incarnation    uint64
	members        *membership.Table
	configurations *configuration.Store
	pool           *peer.Pool
	platform       *platformadapter.Client
	committer      *history.Committer
	codec          *record.Codec
	crashes        *crashTracker
	engine         *engine.Client
	home           *home.Home
	runner         *serviceRunner
	server         *peer.Server
	peerListener   net.Listener
	adminServer    *httpServer

	// mu guards versionsByEntry.
	mu sync.Mutex
	// versionsByEntry holds the versions of the tables last received from each entry.
	versionsByEntry map[string]tableVersions
	owners          streamOwners
}

// tableVersions holds the versions of the tables that an entry sent last; a heartbeat
// contains a table only when its version has changed.
type tableVersions struct {
	instances  uint64
	committers uint64
}

// newEndpointProcess opens the listeners of a process of the engine or the service role.
func newEndpointProcess(c Config) (*endpointProcess, error) {
	operatorKeys, err := caller.NewKeyring(c.OperatorKeys)
	if err != nil {
		return nil, err
	}
	listeners, err := listen(c.PeerAddress, c.AdminAddress)
	if err != nil {
		return nil, err
	}
	p := &endpointProcess{
		config: c, incarnation: newIncarnation(), members: membership.NewTable(),
		configurations: configuration.NewStore(c.Parse), pool: peer.NewPool(peer.PoolConfig{InstanceName: c.Name, Dial: tlsDialer(c.Certificates)}),
		peerListener: wrapTLS(listeners[0], c.Certificates, true), versionsByEntry: map[string]tableVersions{}, owners: streamOwners{self: c.Name},
	}
	serverConfig := peer.ServerConfig{HeartbeatHandler: p, Logger: c.Logger}
	if c.Role == fleet.EngineRole {
		p.initHome()
		serverConfig.Home = p.home
		serverConfig.Committer = p.committer
		serverConfig.Codec = p.codec
	} else {
		p.runner = newServiceRunner(c.Service, p.incarnation)
		serverConfig.ServiceRunner = p.runner
	}
	p.server = peer.NewServer(serverConfig)
	p.adminServer = newHTTPServer(wrapTLS(listeners[1], c.Certificates, false), p.adminHandler(operatorKeys), c.Logger)
	return p, nil
}

// initHome creates the home of the programs that run on the engine, and its dependencies.
func (p *endpointProcess) initHome() {
	c := p.config
	p.platform = platformadapter.New(platformadapter.Config{Address: c.PlatformAddress})
	p.engine = engine.New(engine.Config{Address: c.Engine.Address})
	p.codec = record.NewCodec()
	p.committer = history.NewCommitter(history.CommitterConfig{Log: p.platform, Codec: p.codec, StreamPrefix: JournalPrefix})
	router := history.NewRouter(history.RouterConfig{Local: p.committer, Remote: peer.NewCommitterClient(p.pool, p.codec), Owners: &p.owners})
	p.crashes = newCrashTracker(p.platform, c.Logger)
	p.home = home.New(home.Config{
		Name: c.Name, Incarnation: p.incarnation, Engine: p.engine, Journal: router, Codec: p.codec, Crashes: p.crashes,
		Services: peer.NewServiceClient(p.pool, directory{members: p.members}), Configurations: p.configurations,
		Slots: c.Engine.Slots, CacheTokens: c.Engine.CacheTokens, Logger: c.Logger,
	})
}

func (p *endpointProcess) adminHandler(operatorKeys *caller.Keyring) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(lavendervalev1connect.NewDumpServiceHandler(caller.NewDumpService(p.dump, operatorKeys)))
	mux.Handle("GET /debug/vars", expvarHandler(p.metrics, p.config.DroppedLines))
	return mux
}

// Addresses returns the addresses that the process listens on.
func (p *endpointProcess) Addresses() Addresses {
	return Addresses{Peers: p.peerListener.Addr().String(), Admin: p.adminServer.address()}
}

// Beat applies a heartbeat of an entry, with the tables and configurations that it
// carries, and returns the load of this process. It implements peer.HeartbeatHandler.
func (p *endpointProcess) Beat(entryName string, beat membership.Heartbeat) membership.HeartbeatReply {
	for _, record := range beat.Records() {
		if err := p.configurations.Install(record); err != nil {
			p.config.Logger.Error("installing a published configuration failed", zap.Int64("version", record.Version()), zap.Error(err))
		}
	}
	if len(beat.Records()) > 0 && p.home != nil {
		p.home.Reconfigure()
	}
	p.members.Update(beat.Instances(), time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	received := p.versionsByEntry[entryName]
	if len(beat.Instances()) > 0 {
		received.instances = beat.InstancesVersion()
	}
	if len(beat.Committers()) > 0 {
		received.committers = beat.CommittersVersion()
		p.owners.set(beat.Committers())
	}
	p.versionsByEntry[entryName] = received
	answer := membership.HeartbeatReplyConfig{
		ConfigVersion: p.configurations.Version(), InstancesVersion: received.instances, CommittersVersion: received.committers, Load: p.load(),
	}
	if current := p.configurations.Record(); beat.ConfigVersion() < answer.ConfigVersion {
		answer.Record = &current
	}
	return membership.NewHeartbeatReply(answer)
}

func (p *endpointProcess) load() placement.Load {
	if p.home != nil {
		return p.home.Load()
	}
	return placement.NewLoad(placement.LoadConfig{
		Incarnation: p.incarnation, Leaving: p.runner.leaving.Load(), Running: p.runner.activeCalls.Load(),
	})
}

// Run serves until ctx ends or a listener fails, then refuses new calls and waits up to
// Config.StopTimeout for those in progress.
func (p *endpointProcess) Run(ctx context.Context) error {
	p.config.Logger.Info("endpoint process started", zap.String("version", lavendervale.Version), zap.String("revision", revision()), zap.Int("pid", os.Getpid()), zap.Stringer("role", p.config.Role), zap.Stringer("peers", p.peerListener.Addr()), zap.String("admin", p.adminServer.address()))
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	if p.committer != nil {
		wg.Go(func() { p.committer.Run(workCtx) })
		wg.Go(func() { p.crashes.follow(workCtx, crashPollInterval) })
	}
	if p.runner != nil {
		wg.Go(func() { p.runner.expireOrders(workCtx) })
	}
	serveCtx, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	serveErrs := make(chan error, 2)
	wg.Go(func() {
		serveErrs <- p.server.Serve(serveCtx, retryingListener{Listener: p.peerListener, log: p.config.Logger})
	})
	wg.Go(func() { serveErrs <- p.adminServer.serve() })
	var err error
	select {
	case <-ctx.Done():
		p.config.Logger.Info("endpoint process stops", zap.NamedError("cause", context.Cause(ctx)))
	case err = <-serveErrs:
		p.config.Logger.Error("serving a listener of the endpoint process failed", zap.Error(err))
	}
	p.drain()
	stopServing()
	p.server.Wait()
	p.close(cancel)
	wg.Wait()
	p.config.Logger.Info("endpoint process stopped", zap.Error(err))
	return err
}

// drain refuses new calls and waits up to Config.StopTimeout for those in progress.
func (p *endpointProcess) drain() {
	if p.home != nil {
		p.home.Leave()
	}
	if p.runner != nil {
		p.runner.leaving.Store(true)
	}
	deadline := time.Now().Add(p.config.StopTimeout)
	for time.Now().Before(deadline) && !p.idle() {
		time.Sleep(drainPollInterval)
	}
}

// idle reports whether no call is in progress.
func (p *endpointProcess) idle() bool {
	if p.runner != nil {
		return p.runner.activeCalls.Load() == 0
	}
	return p.home.Idle()
}

// close ends the work of the process with cancel and closes its connections.
func (p *endpointProcess) close(cancel context.CancelFunc) {
	if p.home != nil {
		p.home.Close()
		p.engine.Close()
	}
	cancel()
	ctx, cancelStop := context.WithTimeout(context.Background(), time.Second)
	defer cancelStop()
	p.adminServer.stop(ctx)
	p.pool.Close()
	if p.platform != nil {
		p.platform.Close()
	}
	if p.runner != nil {
		p.runner.client.Close()
	}
}

func (p *endpointProcess) metrics() map[string]any {
	if p.runner != nil {
		return p.runner.metrics()
	}
	values := p.home.Metrics()
	stats := p.committer.Stats()
	values["journal_appends"] = stats.Appends
	values["journal_records"] = stats.Records
	values["journal_bytes"] = stats.Bytes
	values["journal_superseded"] = stats.Superseded
	values["journal_retries"] = stats.Retries
	values["journal_corrupt"] = stats.Corrupt
	values["journal_programs"] = stats.Programs
	values["journal_waiting"] = stats.Waiting
	return values
}

// endpointDump is the state of an endpoint process as JSON, for operators.
type endpointDump struct {
	Name          string         `json:"name"`
	Role          string         `json:"role"`
	Domain        string         `json:"domain"`
	Incarnation   uint64         `json:"incarnation"`
	ConfigVersion int64          `json:"config_version"`
	Home          *home.Dump     `json:"home,omitempty"`
	Metrics       map[string]any `json:"metrics"`
}

func (p *endpointProcess) dump() any {
	d := endpointDump{
		Name: p.config.Name, Role: p.config.Role.String(), Domain: p.config.Domain, Incarnation: p.incarnation,
		ConfigVersion: p.configurations.Version(), Metrics: p.metrics(),
	}
	if p.home != nil {
		state := p.home.Dump()
		d.Home = &state
	}
	return d
}
