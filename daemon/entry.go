package daemon

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/caller"
	"github.com/lavendervale/lavendervale/adapter/peer"
	platformadapter "github.com/lavendervale/lavendervale/adapter/platform"
	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/adapter/seal"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/history"
	"github.com/lavendervale/lavendervale/membership"
)

const (
	// maxRequestBytes bounds one request of a caller or operator.
	maxRequestBytes = 8 << 20
	// minCompressBytes is the least size of an answer that is compressed; the
	// pieces of a stream are far smaller.
	minCompressBytes = 4 << 10
)

// entryProcess is a process of the entry role.
type entryProcess struct {
	config   Config
	entry    *entry.Entry
	store    *configuration.Store
	pool     *peer.Pool
	platform *platformadapter.Client
	callers  *web
	admin    *web
}

func newEntryProcess(c Config) (*entryProcess, error) {
	sealer, err := seal.New(seal.Config{Key: c.HandleKey, Previous: c.PreviousHandleKey})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	callerKeys, err := caller.NewKeyring(c.CallerKeys)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	operatorKeys, err := caller.NewKeyring(c.OperatorKeys)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	listeners, err := listen(c.Callers, c.Admin)
	if err != nil {
		return nil, err
	}
	p := &entryProcess{
		config: c, pool: peer.NewPool(peer.PoolConfig{Name: c.Name, Dial: dialer(c.Certificates)}), store: configuration.NewStore(c.Parse),
		platform: platformadapter.New(platformadapter.Config{Address: c.Platform}),
	}
	members := membership.NewTable()
	p.entry = entry.New(entry.Config{
		Name: c.Name, Homes: peer.NewHomes(p.pool, directory{members: members}), Sealer: sealer, Log: p.platform,
		Lister: p.platform, Records: record.Publications{}, Configurations: p.store, Members: members, Streams: history.DefaultStreams, Logger: c.Logger,
	})
	p.callers = newWeb(secure(listeners[0], c.Certificates, false), p.callerHandler(callerKeys), c.Logger)
	p.admin = newWeb(secure(listeners[1], c.Certificates, false), p.adminHandler(operatorKeys), c.Logger)
	return p, nil
}

func (p *entryProcess) callerHandler(k *caller.Keyring) http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(minCompressBytes))
	programs := caller.NewPrograms(p.entry, k)
	mux.Handle(lavendervalev1connect.NewProgramServiceHandler(programs, limit))
	return programs.WithLines(programs.WithStreams(mux))
}

func (p *entryProcess) adminHandler(k *caller.Keyring) http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxRequestBytes)
	mux.Handle(lavendervalev1connect.NewOperatorServiceHandler(caller.NewOperators(p.entry, p.store, k), limit))
	mux.Handle(lavendervalev1connect.NewDumpServiceHandler(caller.NewDumps(p.dump, k), limit))
	mux.Handle("GET /debug/vars", variables(p.entry.Metrics))
	return mux
}

// Addresses returns where the process listens.
func (p *entryProcess) Addresses() Addresses {
	return Addresses{Callers: p.callers.address(), Admin: p.admin.address()}
}

// Run serves until ctx ends, then lets the requests in progress end.
func (p *entryProcess) Run(ctx context.Context) error {
	p.config.Logger.Info("entry is up", zap.String("callers", p.callers.address()), zap.String("admin", p.admin.address()))
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() { p.entry.Run(inner) })
	failed := make(chan error, 2)
	work.Go(func() { failed <- p.callers.serve() })
	work.Go(func() { failed <- p.admin.serve() })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	p.stop()
	cancel()
	work.Wait()
	p.pool.Close()
	p.platform.Close()
	p.config.Logger.Info("entry has stopped")
	return err
}

func (p *entryProcess) stop() {
	p.entry.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), p.config.StopTimeout)
	defer cancel()
	p.callers.stop(ctx)
	p.admin.stop(ctx)
}

// entryDump is the state of an entry, for people.
type entryDump struct {
	Name          string         `json:"name"`
	Role          string         `json:"role"`
	Domain        string         `json:"domain"`
	ConfigVersion int64          `json:"config_version"`
	Sessions      int            `json:"peer_sessions"`
	Members       []memberDump   `json:"members"`
	Metrics       map[string]any `json:"metrics"`
}

type memberDump struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	Domain        string `json:"domain"`
	Role          string `json:"role"`
	State         string `json:"state"`
	Leaving       bool   `json:"leaving"`
	Programs      int64  `json:"programs"`
	Running       int64  `json:"running"`
	ConfigVersion int64  `json:"config_version"`
}

func (p *entryProcess) dump() any {
	d := entryDump{
		Name: p.config.Name, Role: p.config.Role.String(), Domain: p.config.Domain,
		ConfigVersion: p.store.Version(), Sessions: p.pool.Sessions(), Metrics: p.entry.Metrics(),
	}
	for _, m := range p.entry.Members() {
		i := m.Instance()
		d.Members = append(d.Members, memberDump{
			Name: i.Name(), Address: i.Address(), Domain: i.Domain(), Role: i.Role().String(), State: m.State().String(),
			Leaving: m.Leaving(), Programs: m.Load().Programs(), Running: m.Load().Running(), ConfigVersion: m.ConfigVersion(),
		})
	}
	return d
}
