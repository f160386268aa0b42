package dev

import (
	"context"
	"fmt"
	"net"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/adapter/inifile"
	"github.com/lavendervale/lavendervale/daemon"
	"github.com/lavendervale/lavendervale/fleet"
	"github.com/lavendervale/lavendervale/standin/engine"
	"github.com/lavendervale/lavendervale/standin/service"
	"github.com/lavendervale/lavendervale/standin/wire"
)

func (s *Site) startEngine(i int) error {
	e := engine.New(s.config.Engine)
	address, err := s.serve(e.Serve)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("model-%d", i+1)
	s.engines[name] = e
	return s.startProcess(daemon.Config{
		Name: name, Domain: s.domain(i), Role: fleet.EngineRole, Engine: daemon.EngineConfig{Address: address, Slots: s.config.Slots},
	})
}

func (s *Site) startService(i int, name string) error {
	v := service.New(service.Config{Name: name})
	address, err := s.serve(v.Serve)
	if err != nil {
		return err
	}
	s.services[name] = v
	return s.startProcess(daemon.Config{
		Name: name + "-1", Domain: s.domain(i), Role: fleet.ServiceRole,
		Service: daemon.ServiceConfig{Name: name, Address: address},
	})
}

func (s *Site) startEntry(i int) error {
	return s.startProcess(daemon.Config{
		Name: entryName(i), Domain: s.domain(i), Role: fleet.EntryRole,
		HandleKey: s.handleKey, CallerKeys: map[string]string{Caller: s.callerKey, OtherCaller: s.otherKey},
	})
}

// startProcess starts a process of the system and puts it on the list.
func (s *Site) startProcess(c daemon.Config) error {
	c.PlatformAddress = s.platform
	c.AdminAddress, c.CallerAddress = loopback, loopback
	if c.PeerAddress == "" {
		c.PeerAddress = loopback
	}
	c.OperatorKeys = map[string]string{Operator: s.operatorKey}
	c.Logger = s.config.Logger
	c.Parse = inifile.ParseConfiguration
	c.Certificates = s.config.Certificates
	p, err := daemon.New(c)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	n := &node{process: p, config: c, cancel: cancel, done: make(chan struct{})}
	address := p.Addresses().Peers
	if s.config.Wires && address != "" {
		if n.wire, err = wire.New(address); err != nil {
			cancel()
			return trace.Wrap(err)
		}
		address = n.wire.Address()
	}
	s.processes[c.Name] = n
	go func() {
		defer close(n.done)
		n.err = p.Run(ctx)
	}()
	s.instances.Add(fleet.NewInstance(fleet.InstanceConfig{
		Name: c.Name, Address: address, Domain: c.Domain, Role: c.Role, Service: c.Service.Name,
	}))
	return nil
}

// serve runs a stand-in on a listener of its own and returns its address.
func (s *Site) serve(f func(ctx context.Context, l net.Listener) error) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", trace.Wrap(err)
	}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		if err := f(s.ctx, l); err != nil {
			s.config.Logger.Error("stand-in has stopped", zap.Error(err))
		}
	}()
	return l.Addr().String(), nil
}

// Stop stops one process as its stop signal would, and waits for it.
func (s *Site) Stop(name string) error {
	n, ok := s.processes[name]
	if !ok {
		return trace.NotFound("no process %q", name)
	}
	n.cancel()
	<-n.done
	s.instances.Remove(name)
	return n.err
}
