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
	// Caller and Operator are the names that the site's keys belong to.
	Caller      = "dev"
	OtherCaller = "other"
	Operator    = "operator"
	// keyBytes is the length of the keys made for callers and operators.
	keyBytes = 24
	loopback = "127.0.0.1:0"
)

// Config describes a site.
type Config struct {
	// Configuration is the first configuration, as operators publish it.
	Configuration string
	// Engines is the number of model endpoints, one for each failure domain in turn.
	Engines int
	// Domains is the number of failure domains.
	Domains int
	// Services names the plain services.
	Services []string
	// Entries is the number of entries, 1 when 0.
	Entries int
	// Slots is the number of calls an engine gets at once, the home's default when 0.
	Slots int
	// Engine describes the stand-in engines.
	Engine engine.Config
	// ListLag is the lag of the stand-in instance list.
	ListLag time.Duration
	// Certificates makes all processes speak TLS; nil for plain.
	Certificates *certificate.Store
	// HTTP is what clients of the site use, http.DefaultClient when nil.
	HTTP *http.Client
	// Wires puts a relay that can be cut before each endpoint process.
	Wires bool
	// Logger takes what the processes report.
	Logger *zap.Logger
}

// Site is a running system with its stand-ins.
type Site struct {
	config      Config
	log         *platformstandin.Log
	instances   *platformstandin.InstanceList
	engines     map[string]*engine.Engine
	services    map[string]*service.Service
	processes   map[string]*node
	platform    string
	handleKey   []byte
	callerKey   string
	operatorKey string
	otherKey    string
	ctx         context.Context
	cancel      context.CancelFunc
	work        sync.WaitGroup
}

// node is one process of the system.
type node struct {
	process daemon.Process
	wire    *wire.Relay
	config  daemon.Config
	cancel  context.CancelFunc
	done    chan struct{}
	err     error
}

// Start starts a site; Close ends it.
func Start(c Config) (*Site, error) {
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.HTTP == nil {
		c.HTTP = http.DefaultClient
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{
		config: c, log: platformstandin.NewLog(), instances: platformstandin.NewInstanceList(c.ListLag),
		engines: map[string]*engine.Engine{}, services: map[string]*service.Service{}, processes: map[string]*node{},
		handleKey: randomBytes(seal.KeyBytes), callerKey: randomKey(), operatorKey: randomKey(), otherKey: randomKey(), ctx: ctx, cancel: cancel,
	}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	address, err := s.serve(platformstandin.NewServer(s.log, s.instances).Serve)
	if err != nil {
		return err
	}
	s.platform = address
	if err := s.publishFirst(); err != nil {
		return err
	}
	for i := range s.config.Engines {
		if err := s.startEngine(i); err != nil {
			return err
		}
	}
	for i, name := range s.config.Services {
		if err := s.startService(i, name); err != nil {
			return err
		}
	}
	for i := range max(1, s.config.Entries) {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	return nil
}

// publishFirst puts the first configuration on the log.
func (s *Site) publishFirst() error {
	data, err := record.PublicationCodec{}.Encode(entry.Publication{
		Base: configuration.NoVersion, Author: Operator, Text: s.config.Configuration,
	})
	if err != nil {
		return err
	}
	_, err = s.log.Append(s.ctx, entry.ConfigurationStream, data)
	return trace.Wrap(err)
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i+1) }

func (s *Site) domain(i int) string {
	return fmt.Sprintf("domain-%c", 'a'+rune(i%max(1, s.config.Domains)))
}

// Close stops all processes and stand-ins.
func (s *Site) Close() {
	for _, n := range s.processes {
		n.cancel()
	}
	for _, n := range s.processes {
		<-n.done
		if n.wire != nil {
			n.wire.Close()
		}
	}
	s.cancel()
	s.work.Wait()
}

// Wire returns the relay before a process, or nil.
func (s *Site) Wire(name string) *wire.Relay {
	if n, ok := s.processes[name]; ok {
		return n.wire
	}
	return nil
}

// Log returns the stand-in log.
func (s *Site) Log() *platformstandin.Log { return s.log }

// Instances returns the stand-in instance list.
func (s *Site) Instances() *platformstandin.InstanceList { return s.instances }

// Engine returns the stand-in engine beside an endpoint.
func (s *Site) Engine(name string) *engine.Engine { return s.engines[name] }

// EngineAddress returns where the engine beside an endpoint listens.
func (s *Site) EngineAddress(name string) string {
	n, ok := s.processes[name]
	if !ok {
		return ""
	}
	return n.config.Engine.Address
}

// Service returns the stand-in service with a name.
func (s *Site) Service(name string) *service.Service { return s.services[name] }

// Addresses returns where a process listens.
func (s *Site) Addresses(name string) daemon.Addresses {
	n, ok := s.processes[name]
	if !ok {
		return daemon.Addresses{}
	}
	return n.process.Addresses()
}

// CallerKey returns the key of the site's caller.
func (s *Site) CallerKey() string { return s.callerKey }

// OtherCallerKey returns the key of a second caller.
func (s *Site) OtherCallerKey() string { return s.otherKey }

// OperatorKey returns the key of the site's operator.
func (s *Site) OperatorKey() string { return s.operatorKey }

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return b
}

func randomKey() string { return hex.EncodeToString(randomBytes(keyBytes)) }
