package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

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
	// JournalPrefix starts the names of the streams of the journal.
	JournalPrefix = "programs"
	// crashInterval is the time between two reads of the quarantine stream.
	crashInterval = time.Second
	// quietPoll is the time between two looks for calls in progress at a stop.
	quietPoll = 20 * time.Millisecond
)

// endpointProcess is a process beside a model engine or a plain service.
type endpointProcess struct {
	config      Config
	incarnation uint64
	members     *membership.Table
	store       *configuration.Store
	pool        *peer.Pool
	platform    *platformadapter.Client
	committer   *history.Committer
	codec       *record.Codec
	crashes     *crashes
	engine      *engine.Client
	home        *home.Home
	runner      *runner
	server      *peer.Server
	peers       net.Listener
	admin       *web

	mu        sync.Mutex
	instances map[string]versions
	owners    owners
}

// versions is what an entry has told this process last.
type versions struct {
	instances  uint64
	committers uint64
}

func newEndpointProcess(c Config) (*endpointProcess, error) {
	keys, err := caller.NewKeyring(c.OperatorKeys)
	if err != nil {
		return nil, err
	}
	listeners, err := listen(c.Peers, c.Admin)
	if err != nil {
		return nil, err
	}
	p := &endpointProcess{
		config: c, incarnation: newIncarnation(), members: membership.NewTable(),
		store: configuration.NewStore(c.Parse), pool: peer.NewPool(peer.PoolConfig{Name: c.Name, Dial: dialer(c.Certificates)}),
		peers: secure(listeners[0], c.Certificates, true), instances: map[string]versions{}, owners: owners{self: c.Name},
	}
	server := peer.ServerConfig{Beats: p, Log: c.Logger}
	if c.Role == fleet.EngineRole {
		p.addHome()
		server.Home = p.home
		server.Committer = p.committer
		server.Codec = p.codec
	} else {
		p.runner = newRunner(c.Service, p.incarnation)
		server.Runner = p.runner
	}
	p.server = peer.NewServer(server)
	p.admin = newWeb(secure(listeners[1], c.Certificates, false), p.adminHandler(keys), c.Logger)
	return p, nil
}

// addHome makes the home of the engine beside the process.
func (p *endpointProcess) addHome() {
	c := p.config
	p.platform = platformadapter.New(platformadapter.Config{Address: c.Platform})
	p.engine = engine.New(engine.Config{Address: c.Engine.Address})
	p.codec = record.NewCodec()
	p.committer = history.NewCommitter(history.CommitterConfig{Log: p.platform, Codec: p.codec, Prefix: JournalPrefix})
	router := history.NewRouter(history.RouterConfig{Local: p.committer, Remote: peer.NewCommitters(p.pool, p.codec), Owners: &p.owners})
	p.crashes = newCrashes(p.platform, c.Logger)
	p.home = home.New(home.Config{
		Name: c.Name, Incarnation: p.incarnation, Engine: p.engine, Journal: router, Codec: p.codec, Crashes: p.crashes,
		Services: peer.NewServices(p.pool, directory{members: p.members}), Configurations: p.store,
		Slots: c.Engine.Slots, CacheTokens: c.Engine.Memory, Logger: c.Logger,
	})
}

func (p *endpointProcess) adminHandler(k *caller.Keyring) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(lavendervalev1connect.NewDumpServiceHandler(caller.NewDumps(p.dump, k)))
	mux.Handle("GET /debug/vars", variables(p.metrics))
	return mux
}

// Addresses returns where the process listens.
func (p *endpointProcess) Addresses() Addresses {
	return Addresses{Peers: p.peers.Addr().String(), Admin: p.admin.address()}
}

// Beat takes over the news of an entry and reports the load; it is peer.Beats.
func (p *endpointProcess) Beat(from string, b membership.Beat) membership.Answer {
	for _, r := range b.Records() {
		if err := p.store.Adopt(r); err != nil {
			p.config.Logger.Error("configuration can't be read", zap.Int64("version", r.Version()), zap.Error(err))
		}
	}
	if len(b.Records()) > 0 && p.home != nil {
		p.home.Reconfigure()
	}
	p.members.Update(b.Instances(), time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.instances[from]
	if len(b.Instances()) > 0 {
		known.instances = b.InstancesVersion()
	}
	if len(b.Committers()) > 0 {
		known.committers = b.CommittersVersion()
		p.owners.set(b.Committers())
	}
	p.instances[from] = known
	answer := membership.AnswerConfig{
		ConfigVersion: p.store.Version(), InstancesVersion: known.instances, CommittersVersion: known.committers, Load: p.load(),
	}
	if record := p.store.Record(); b.ConfigVersion() < answer.ConfigVersion {
		answer.Record = &record
	}
	return membership.NewAnswer(answer)
}

func (p *endpointProcess) load() placement.Load {
	if p.home != nil {
		return p.home.Load()
	}
	return placement.NewLoad(placement.LoadConfig{
		Incarnation: p.incarnation, Leaving: p.runner.leaving.Load(), Running: p.runner.active.Load(),
	})
}

// Run serves until ctx ends, then lets the calls in progress end.
func (p *endpointProcess) Run(ctx context.Context) error {
	p.config.Logger.Info("endpoint is up", zap.Stringer("role", p.config.Role), zap.Stringer("peers", p.peers.Addr()), zap.String("admin", p.admin.address()))
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	var work sync.WaitGroup
	if p.committer != nil {
		work.Go(func() { p.committer.Run(inner) })
		work.Go(func() { p.crashes.follow(inner, crashInterval) })
	}
	if p.runner != nil {
		work.Go(func() { p.runner.clean(inner) })
	}
	serving, stopServing := context.WithCancel(context.Background())
	defer stopServing()
	failed := make(chan error, 2)
	work.Go(func() { failed <- p.server.Serve(serving, p.peers) })
	work.Go(func() { failed <- p.admin.serve() })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	p.quiesce()
	stopServing()
	p.server.Wait()
	p.close(cancel)
	work.Wait()
	p.config.Logger.Info("endpoint has stopped")
	return err
}

// quiesce refuses new work and waits for the calls in progress.
func (p *endpointProcess) quiesce() {
	if p.home != nil {
		p.home.Leave()
	}
	if p.runner != nil {
		p.runner.leaving.Store(true)
	}
	deadline := time.Now().Add(p.config.StopTimeout)
	for time.Now().Before(deadline) && !p.quiet() {
		time.Sleep(quietPoll)
	}
}

func (p *endpointProcess) quiet() bool {
	if p.runner != nil {
		return p.runner.active.Load() == 0
	}
	return p.home.Idle()
}

func (p *endpointProcess) close(cancel context.CancelFunc) {
	if p.home != nil {
		p.home.Close()
		p.engine.Close()
	}
	cancel()
	ctx, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	p.admin.stop(ctx)
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
	out := p.home.Metrics()
	s := p.committer.Stats()
	out["journal_appends"] = s.Appends
	out["journal_records"] = s.Records
	out["journal_bytes"] = s.Bytes
	out["journal_superseded"] = s.Superseded
	out["journal_retries"] = s.Retries
	out["journal_corrupt"] = s.Corrupt
	out["journal_programs"] = s.Programs
	out["journal_waiting"] = s.Waiting
	return out
}

// endpointDump is the state of an endpoint, for people.
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
		ConfigVersion: p.store.Version(), Metrics: p.metrics(),
	}
	if p.home != nil {
		state := p.home.Dump()
		d.Home = &state
	}
	return d
}
