package dev

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/certificate"
	"github.com/lavendervale/lavendervale/adapter/record"
	"github.com/lavendervale/lavendervale/adapter/seal"
	"github.com/lavendervale/lavendervale/configuration"
	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/entry"
	"github.com/lavendervale/lavendervale/standin/engine"
	platformstandin "github.com/lavendervale/lavendervale/standin/platform"
	"github.com/lavendervale/lavendervale/standin/service"
	"github.com/lavendervale/lavendervale/standin/wire"
)

const (
	// CallerName is the name of the caller whose key CallerKey returns.
	CallerName = "dev"
	// OtherCallerName is the name of the caller whose key OtherCallerKey returns.
	OtherCallerName = "other"
	// OperatorName is the name of the operator whose key OperatorKey returns.
	OperatorName = "operator"
	// randomKeyBytes is the number of random bytes in a caller's or operator's key.
	randomKeyBytes = 24
	// loopbackAddress makes a listener use any free port on loopback.
	loopbackAddress = "127.0.0.1:0"
)

// Config describes a Cluster.
type Config struct {
	// Configuration is the text of the first published configuration.
	Configuration string
	// Engines is the number of model endpoints, spread evenly over the failure domains.
	Engines int
	// Domains is the number of failure domains, 1 when 0.
	Domains int
	// Services lists the names of the plain services; one endpoint is started for each.
	Services []string
	// Entries is the number of entries, 1 when 0.
	Entries int
	// Slots is the number of calls that an engine runs at once, the home's default when 0.
	Slots int
	// Engine configures the simulated engines.
	Engine engine.Config
	// InstanceListDelay is the time until a change shows in the simulated instance list.
	InstanceListDelay time.Duration
	// Certificates makes all processes use TLS; nil means unencrypted connections.
	Certificates *certificate.Store
	// HTTPClient is used by the clients of the cluster, http.DefaultClient when nil.
	HTTPClient *http.Client
	// Relays puts a TCP relay in front of each process that listens for peers, so that
	// tests can close its connections or discard their data.
	Relays bool
	// Logger receives the log lines of all processes; nil discards them.
	Logger *zap.Logger
}

// Cluster is a running system with simulated platform, engines and services.
type Cluster struct {
	config      Config
	platformLog *platformstandin.Log
	instances   *platformstandin.InstanceList
	// enginesByName is keyed by the name of the endpoint, such as model-1.
	enginesByName map[string]*engine.Engine
	// servicesByName is keyed by the name of the service, such as payment.
	servicesByName  map[string]*service.Service
	processesByName map[string]*clusterProcess
	// platformAddress is where the simulated platform listens.
	platformAddress string
	// handleKey is the key that entries seal handles with.
	handleKey      []byte
	callerKey      string
	operatorKey    string
	otherCallerKey string
	// ctx bounds the lifetime of all processes and simulated servers.
	ctx    context.Context
	cancel context.CancelFunc
	// standins counts the running simulated servers.
	standins sync.WaitGroup
}

// clusterProcess is one process of the system, run as a goroutine.
type clusterProcess struct {
	daemon daemon.Process
	// relay is nil when the process has none.
	relay  *wire.Relay
	config daemon.Config
	cancel context.CancelFunc
	// done is closed when the process has stopped.
	done chan struct{}
	// runErr is the result of the run, valid once done is closed.
	runErr error
}

// Start starts a cluster and returns when all processes listen; WaitReady waits until it
// can serve. Close stops it. When a process can't start, the others are stopped again.
func Start(config Config) (*Cluster, error) {
	if config.Logger == nil {
		config.Logger = zap.NewNop()
	}
	if config.HTTPClient == nil {
		config.HTTPClient = http.DefaultClient
	}
	ctx, cancel := context.WithCancel(context.Background())
	cluster := &Cluster{
		config: config, platformLog: platformstandin.NewLog(), instances: platformstandin.NewInstanceList(config.InstanceListDelay),
		enginesByName: map[string]*engine.Engine{}, servicesByName: map[string]*service.Service{}, processesByName: map[string]*clusterProcess{},
		handleKey: randomBytes(seal.KeyBytes), callerKey: randomKey(), operatorKey: randomKey(), otherCallerKey: randomKey(), ctx: ctx, cancel: cancel,
	}
	if err := cluster.startAll(); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// startAll starts the simulated platform, publishes the first configuration and starts the
// processes.
func (c *Cluster) startAll() error {
	address, err := c.serveStandin(platformstandin.NewServer(c.platformLog, c.instances).Serve)
	if err != nil {
		return err
	}
	c.platformAddress = address
	if err := c.publishInitialConfiguration(); err != nil {
		return err
	}
	for i := range c.config.Engines {
		if err := c.startEngine(i); err != nil {
			return err
		}
	}
	for i, name := range c.config.Services {
		if err := c.startService(i, name); err != nil {
			return err
		}
	}
	for i := range max(1, c.config.Entries) {
		if err := c.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// publishInitialConfiguration appends the first configuration to the platform log.
func (c *Cluster) publishInitialConfiguration() error {
	data, err := record.PublicationCodec{}.Encode(entry.Publication{
		Base: configuration.NoVersion, Author: OperatorName, Text: c.config.Configuration,
	})
	if err != nil {
		return err
	}
	_, err = c.platformLog.Append(c.ctx, entry.ConfigurationStream, data)
	return trace.Wrap(err)
}

// entryName returns the name of the entry with an index from 0.
func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

// domainName returns the failure domain of the i-th process of a kind.
func (c *Cluster) domainName(i int) string {
	return fmt.Sprintf("domain-%c", 'a'+rune(i%max(1, c.config.Domains)))
}

// Close stops all processes, relays and simulated servers and waits for them.
func (c *Cluster) Close() {
	for _, process := range c.processesByName {
		process.cancel()
	}
	for _, process := range c.processesByName {
		<-process.done
		if process.relay != nil {
			process.relay.Close()
		}
	}
	c.cancel()
	c.standins.Wait()
}

// Relay returns the relay in front of a process, or nil when there is none.
func (c *Cluster) Relay(name string) *wire.Relay {
	if process, ok := c.processesByName[name]; ok {
		return process.relay
	}
	return nil
}

// PlatformLog returns the simulated log of the platform.
func (c *Cluster) PlatformLog() *platformstandin.Log { return c.platformLog }

// Instances returns the simulated instance list of the platform.
func (c *Cluster) Instances() *platformstandin.InstanceList { return c.instances }

// Engine returns the simulated engine of an endpoint, or nil.
func (c *Cluster) Engine(name string) *engine.Engine { return c.enginesByName[name] }

// EngineAddress returns the address of the engine of an endpoint, empty when there is none.
func (c *Cluster) EngineAddress(name string) string {
	process, ok := c.processesByName[name]
	if !ok {
		return ""
	}
	return process.config.Engine.Address
}

// Service returns the simulated service with a name, or nil.
func (c *Cluster) Service(name string) *service.Service { return c.servicesByName[name] }

// Addresses returns the addresses that a process listens on, all empty when there is no
// process with the name.
func (c *Cluster) Addresses(name string) daemon.Addresses {
	process, ok := c.processesByName[name]
	if !ok {
		return daemon.Addresses{}
	}
	return process.daemon.Addresses()
}

// CallerKey returns the key of the caller CallerName.
func (c *Cluster) CallerKey() string { return c.callerKey }

// OtherCallerKey returns the key of the caller OtherCallerName.
func (c *Cluster) OtherCallerKey() string { return c.otherCallerKey }

// OperatorKey returns the key of the operator OperatorName.
func (c *Cluster) OperatorKey() string { return c.operatorKey }

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}

func randomKey() string { return hex.EncodeToString(randomBytes(randomKeyBytes)) }
