package dev

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/client"
)

const (
	// readyPollInterval is the time between two checks in WaitReady.
	readyPollInterval = 25 * time.Millisecond
)

// URL returns the base URL of an entry's caller interface.
func (c *Cluster) URL(entry string) string { return c.scheme() + c.Addresses(entry).Callers }

// scheme returns the URL scheme of all listeners, with "://".
func (c *Cluster) scheme() string {
	if c.config.Certificates != nil {
		return "https://"
	}
	return "http://"
}

// Client returns a client that calls an entry as CallerName.
func (c *Cluster) Client(entry string) *client.Client {
	return client.New(client.Config{URL: c.URL(entry), Key: c.callerKey, HTTP: c.config.HTTPClient})
}

// OperatorClient returns a client of an entry's operator interface. Its requests need
// Authorize.
func (c *Cluster) OperatorClient(entry string) lavendervalev1connect.OperatorServiceClient {
	return lavendervalev1connect.NewOperatorServiceClient(c.config.HTTPClient, c.scheme()+c.Addresses(entry).Admin)
}

// Authorize adds the operator's key to a request.
func (c *Cluster) Authorize(r connect.AnyRequest) {
	r.Header().Set("Authorization", "Bearer "+c.operatorKey)
}

// WaitReady waits until every entry sees all endpoints alive and with a configuration in
// force. It returns the error of ctx when that ends first.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for i := range max(1, c.config.Entries) {
		if err := c.waitEntryReady(ctx, entryName(i)); err != nil {
			return err
		}
	}
	return nil
}

// waitEntryReady polls one entry until enough endpoints are ready.
func (c *Cluster) waitEntryReady(ctx context.Context, name string) error {
	operatorClient := c.OperatorClient(name)
	wantEndpoints := c.config.Engines + len(c.config.Services)
	for {
		r := connect.NewRequest(&pb.EndpointsRequest{})
		c.Authorize(r)
		reply, err := operatorClient.Endpoints(ctx, r)
		if err == nil && countReadyEndpoints(reply.Msg.GetEndpoints()) >= wantEndpoints {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "cluster did not become ready")
		}
	}
}

// countReadyEndpoints returns the number of endpoints that are alive and have a published
// configuration in force.
func countReadyEndpoints(endpoints []*pb.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		if e.GetRole() != "entry" && e.GetState() == "alive" && e.GetConfigVersion() >= 0 {
			n++
		}
	}
	return n
}
