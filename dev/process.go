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

// startEngine starts a simulated engine and the process beside it, both for endpoint
// model-(i+1).
func (c *Cluster) startEngine(i int) error {
	standin := engine.New(c.config.Engine)
	address, err := c.serveStandin(standin.Serve)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("model-%d", i+1)
	c.enginesByName[name] = standin
	return c.startProcess(daemon.Config{
		Name: name, Domain: c.domainName(i), Role: fleet.EngineRole, Engine: daemon.EngineConfig{Address: address, Slots: c.config.Slots},
	})
}

// startService starts a simulated service and the process beside it, named after the
// service with the suffix -1.
func (c *Cluster) startService(i int, name string) error {
	standin := service.New(service.Config{Name: name})
	address, err := c.serveStandin(standin.Serve)
	if err != nil {
		return err
	}
	c.servicesByName[name] = standin
	return c.startProcess(daemon.Config{
		Name: name + "-1", Domain: c.domainName(i), Role: fleet.ServiceRole,
		Service: daemon.ServiceConfig{Name: name, Address: address},
	})
}

func (c *Cluster) startEntry(i int) error {
	return c.startProcess(daemon.Config{
		Name: entryName(i), Domain: c.domainName(i), Role: fleet.EntryRole,
		HandleKey: c.handleKey, CallerKeys: map[string]string{CallerName: c.callerKey, OtherCallerName: c.otherCallerKey},
	})
}

// startProcess starts a process with the common settings of the cluster and adds it to the
// instance list, with the address of its relay when it has one.
func (c *Cluster) startProcess(config daemon.Config) error {
	config.PlatformAddress = c.platformAddress
	config.AdminAddress, config.CallerAddress = loopbackAddress, loopbackAddress
	if config.PeerAddress == "" {
		config.PeerAddress = loopbackAddress
	}
	config.OperatorKeys = map[string]string{OperatorName: c.operatorKey}
	config.Logger = c.config.Logger
	config.Parse = inifile.ParseConfiguration
	config.Certificates = c.config.Certificates
	daemonProcess, err := daemon.New(config)
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	process := &clusterProcess{daemon: daemonProcess, config: config, cancel: cancel, done: make(chan struct{})}
	address := daemonProcess.Addresses().Peers
	if c.config.Relays && address != "" {
		if process.relay, err = wire.New(address); err != nil {
			cancel()
			return trace.Wrap(err)
		}
		address = process.relay.Address()
	}
	c.processesByName[config.Name] = process
	go func() {
		defer close(process.done)
		process.runErr = daemonProcess.Run(ctx)
	}()
	c.instances.Add(fleet.NewInstance(fleet.InstanceConfig{
		Name: config.Name, Address: address, Domain: config.Domain, Role: config.Role, Service: config.Service.Name,
	}))
	return nil
}

// serveStandin runs a simulated server on its own listener until the cluster closes, and
// returns the address.
func (c *Cluster) serveStandin(serve func(ctx context.Context, l net.Listener) error) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", trace.Wrap(err)
	}
	c.standins.Add(1)
	go func() {
		defer c.standins.Done()
		if err := serve(c.ctx, listener); err != nil {
			c.config.Logger.Error("simulated server failed", zap.Error(err))
		}
	}()
	return listener.Addr().String(), nil
}

// Stop stops one process as a stop signal does, waits for it, removes it from the instance
// list and returns the error that its run ended with. The error is NotFound when there is
// no process with the name.
func (c *Cluster) Stop(name string) error {
	process, ok := c.processesByName[name]
	if !ok {
		return trace.NotFound("cluster has no process %q", name)
	}
	process.cancel()
	<-process.done
	c.instances.Remove(name)
	return process.runErr
}
