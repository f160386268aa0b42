package daemon

import (
	"context"
	"net/http"
	"os"
	"sync"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale"
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
	// maxRequestBytes bounds the size of one request of a caller or operator.
	maxRequestBytes = 8 << 20
	// minCompressBytes is the least size of a response that is compressed. The messages
	// of a stream are far smaller, so they are sent uncompressed.
	minCompressBytes = 4 << 10
)

// entryProcess is a process of the entry role: it serves callers and operators and
// forwards their requests to the homes of programs.
type entryProcess struct {
	config         Config
	entry          *entry.Entry
	configurations *configuration.Store
	pool           *peer.Pool
	platform       *platformadapter.Client
	callerServer   *httpServer
	adminServer    *httpServer
}

// newEntryProcess opens the listeners of a process of the entry role.
func newEntryProcess(c Config) (*entryProcess, error) {
	sealer, err := seal.New(seal.Config{Key: c.HandleKey, PreviousKey: c.PreviousHandleKey})
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
	listeners, err := listen(c.CallerAddress, c.AdminAddress)
	if err != nil {
		return nil, err
	}
	p := &entryProcess{
		config: c, pool: peer.NewPool(peer.PoolConfig{InstanceName: c.Name, Dial: tlsDialer(c.Certificates)}), configurations: configuration.NewStore(c.Parse),
		platform: platformadapter.New(platformadapter.Config{Address: c.PlatformAddress}),
	}
	members := membership.NewTable()
	p.entry = entry.New(entry.Config{
		Name: c.Name, HomeClient: peer.NewHomeClient(p.pool, directory{members: members}), Sealer: sealer, Log: p.platform,
		InstanceLister: p.platform, PublicationCodec: record.PublicationCodec{}, Configurations: p.configurations, Members: members, StreamCount: history.DefaultStreamCount, Logger: c.Logger,
	})
	p.callerServer = newHTTPServer(wrapTLS(listeners[0], c.Certificates, false), p.callerHandler(callerKeys), c.Logger)
	p.adminServer = newHTTPServer(wrapTLS(listeners[1], c.Certificates, false), p.adminHandler(operatorKeys), c.Logger)
	return p, nil
}

func (p *entryProcess) callerHandler(callerKeys *caller.Keyring) http.Handler {
	mux := http.NewServeMux()
	options := connect.WithHandlerOptions(connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(minCompressBytes))
	programs := caller.NewProgramService(p.entry, callerKeys)
	mux.Handle(lavendervalev1connect.NewProgramServiceHandler(programs, options))
	return programs.WithNDJSON(programs.WithBinaryStreams(mux))
}

func (p *entryProcess) adminHandler(operatorKeys *caller.Keyring) http.Handler {
	mux := http.NewServeMux()
	options := connect.WithReadMaxBytes(maxRequestBytes)
	mux.Handle(lavendervalev1connect.NewOperatorServiceHandler(caller.NewOperatorService(p.entry, p.configurations, operatorKeys), options))
	mux.Handle(lavendervalev1connect.NewDumpServiceHandler(caller.NewDumpService(p.dump, operatorKeys), options))
	mux.Handle("GET /debug/vars", expvarHandler(p.entry.Metrics, p.config.DroppedLines))
	return mux
}

// Addresses returns the addresses that the process listens on.
func (p *entryProcess) Addresses() Addresses {
	return Addresses{Callers: p.callerServer.address(), Admin: p.adminServer.address()}
}

// Run serves until ctx ends or a listener fails, then waits up to Config.StopTimeout for
// the requests in progress.
func (p *entryProcess) Run(ctx context.Context) error {
	p.config.Logger.Info("entry process started", zap.String("version", lavendervale.Version), zap.String("revision", revision()), zap.Int("pid", os.Getpid()), zap.String("callers", p.callerServer.address()), zap.String("admin", p.adminServer.address()))
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { p.entry.Run(workCtx) })
	serveErrs := make(chan error, 2)
	wg.Go(func() { serveErrs <- p.callerServer.serve() })
	wg.Go(func() { serveErrs <- p.adminServer.serve() })
	var err error
	select {
	case <-ctx.Done():
		p.config.Logger.Info("entry process stops", zap.NamedError("cause", context.Cause(ctx)))
	case err = <-serveErrs:
		p.config.Logger.Error("serving a listener of the entry process failed", zap.Error(err))
	}
	p.stop()
	cancel()
	wg.Wait()
	p.pool.Close()
	p.platform.Close()
	p.config.Logger.Info("entry process stopped", zap.Error(err))
	return err
}

// stop announces that the entry leaves and waits up to Config.StopTimeout for the
// requests in progress.
func (p *entryProcess) stop() {
	p.entry.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), p.config.StopTimeout)
	defer cancel()
	p.callerServer.stop(ctx)
	p.adminServer.stop(ctx)
}

// entryDump is the state of an entry as JSON, for operators.
type entryDump struct {
	Name          string         `json:"name"`
	Role          string         `json:"role"`
	Domain        string         `json:"domain"`
	ConfigVersion int64          `json:"config_version"`
	Sessions      int            `json:"peer_sessions"`
	Members       []memberDump   `json:"members"`
	Metrics       map[string]any `json:"metrics"`
}

// memberDump is the state of another instance, as the entry knows it.
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
		ConfigVersion: p.configurations.Version(), Sessions: p.pool.SessionCount(), Metrics: p.entry.Metrics(),
	}
	for _, m := range p.entry.Members() {
		instance := m.Instance()
		d.Members = append(d.Members, memberDump{
			Name: instance.Name(), Address: instance.Address(), Domain: instance.Domain(), Role: instance.Role().String(), State: m.State().String(),
			Leaving: m.Leaving(), Programs: m.Load().Programs(), Running: m.Load().Running(), ConfigVersion: m.ConfigVersion(),
		})
	}
	return d
}
