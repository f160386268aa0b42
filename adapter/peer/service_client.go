package peer

import (
	"context"
	"math"
	"time"

	peerpb "github.com/lavendervale/lavendervale/api/peer/v1"
	"github.com/lavendervale/lavendervale/membership"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

const (
	// pingTimeout bounds the check whether the process beside a service responds.
	pingTimeout = time.Second
)

// ServiceDirectory lists the instances of plain services.
type ServiceDirectory interface {
	Directory
	// Services returns the names of the instances of a service, those most likely to
	// respond first.
	Services(service string) []string
}

// ServiceClient sends requests to the processes beside plain services. Its errors are of
// type *order.Error.
type ServiceClient struct {
	// homes sends the pings, which are heartbeats; all requests use its pool.
	homes     *HomeClient
	directory ServiceDirectory
}

// NewServiceClient returns a client that looks up instances in d.
func NewServiceClient(p *Pool, d ServiceDirectory) *ServiceClient {
	return &ServiceClient{homes: NewHomeClient(p, d), directory: d}
}

// Locate returns the name of the first instance of a service that responds to a ping, and
// the incarnation of its ledger. It fails with order.KindNotRun when none responds.
func (c *ServiceClient) Locate(service string) (string, uint64, error) {
	const op = "locate service"
	var lastErr error
	for _, name := range c.directory.Services(service) {
		incarnation, err := c.ping(name)
		if err == nil {
			return name, incarnation, nil
		}
		lastErr = err
	}
	if lastErr != nil {
		return "", 0, order.Errorf(op, order.KindNotRun, "no instance of service %q responds: %w", service, lastErr)
	}
	return "", 0, order.Errorf(op, order.KindNotRun, "no instance of service %q is available", service)
}

// ping returns the incarnation of an instance. It sends an empty heartbeat, which
// changes nothing at the instance. With the highest configuration version the reply
// does not carry the configuration of the instance.
func (c *ServiceClient) ping(name string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	reply, err := c.homes.Beat(ctx, name, membership.NewHeartbeat(membership.HeartbeatConfig{ConfigVersion: math.MaxInt64}))
	if err != nil {
		return 0, err
	}
	return reply.Load().Incarnation(), nil
}

// Run makes a service call on an instance. It fails with order.KindIncarnationMismatch
// when the instance is unknown, with order.KindNotRun when the request was not sent, with
// order.KindInDoubt when the connection failed later or the reply is invalid, and with the
// error that the instance reports.
func (c *ServiceClient) Run(ctx context.Context, instance string, r order.Request) (order.Reply, error) {
	return c.call(ctx, instance, r, false)
}

// Query asks the ledger of an instance for the reply to an order, without running it. An
// order that has not run is refused there from then on, and Query fails with
// order.KindNotRun. A connection failure is of order.KindInDoubt.
func (c *ServiceClient) Query(ctx context.Context, instance string, r order.Request) (order.Reply, error) {
	return c.call(ctx, instance, r, true)
}

func (c *ServiceClient) call(ctx context.Context, instance string, r order.Request, query bool) (order.Reply, error) {
	const op = "send request to service"
	address, ok := c.directory.Address(instance)
	if !ok {
		return order.Reply{}, order.Errorf(op, order.KindIncarnationMismatch, "instance %q is no longer known", instance)
	}
	x, err := c.homes.pool.openExchange(ctx, address, &peerpb.Request{Body: &peerpb.Request_Serve{Serve: serviceRequestToProto(r, query)}})
	if err != nil {
		return order.Reply{}, serviceSendError(op, err, query)
	}
	defer x.close()
	reply := &peerpb.Reply{}
	if err := x.reader.Read(reply); err != nil {
		return order.Reply{}, order.Errorf(op, order.KindInDoubt, "%w", err)
	}
	if fault := reply.GetFault(); fault != nil {
		return order.Reply{}, serviceErrorFromFault(fault)
	}
	if reply.GetServe() == nil {
		return order.Reply{}, order.Errorf(op, order.KindInDoubt, "%w", errMissingBody)
	}
	return order.NewReply(reply.GetServe().GetPayload(), reply.GetServe().GetReplayed()), nil
}

// serviceSendError returns the error for a failure to send a request. A call that was not
// sent did not run. A query that was not sent leaves the outcome of its order in doubt.
func serviceSendError(op string, err error, query bool) error {
	if !query && program.AsError(err).Outcome() == program.NotRun {
		return order.Errorf(op, order.KindNotRun, "%w", err)
	}
	return order.Errorf(op, order.KindInDoubt, "%w", err)
}
