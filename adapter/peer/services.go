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
	// locateTimeout bounds the question whether a process beside a service is up.
	locateTimeout = time.Second
)

// Members lists the instances beside services.
type Members interface {
	Directory
	// Services returns the instances beside a service, the surest first.
	Services(service string) []string
}

// Services reaches the processes beside plain services.
type Services struct {
	homes   *Homes
	members Members
}

// NewServices returns Services that finds instances in a list of members.
func NewServices(p *Pool, m Members) *Services {
	return &Services{homes: NewHomes(p, m), members: m}
}

// Locate returns an instance beside a service that answers now, and the life
// of its ledger.
func (s *Services) Locate(service string) (string, uint64, error) {
	const op = "locate service"
	var last error
	for _, name := range s.members.Services(service) {
		incarnation, err := s.ping(name)
		if err == nil {
			return name, incarnation, nil
		}
		last = err
	}
	if last != nil {
		return "", 0, order.Errorf(op, order.KindNotRun, "no instance beside service %q answers: %w", service, last)
	}
	return "", 0, order.Errorf(op, order.KindNotRun, "no instance stands beside service %q", service)
}

func (s *Services) ping(name string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	answer, err := s.homes.Beat(ctx, name, membership.NewHeartbeat(membership.HeartbeatConfig{ConfigVersion: math.MaxInt64}))
	if err != nil {
		return 0, err
	}
	return answer.Load().Incarnation(), nil
}

// Run makes a call at an instance.
func (s *Services) Run(ctx context.Context, instance string, r order.Request) (order.Reply, error) {
	return s.serve(ctx, instance, r, false)
}

// Query asks the ledger of an instance for the outcome of an order.
func (s *Services) Query(ctx context.Context, instance string, r order.Request) (order.Reply, error) {
	return s.serve(ctx, instance, r, true)
}

func (s *Services) serve(ctx context.Context, instance string, r order.Request, query bool) (order.Reply, error) {
	const op = "reach service"
	address, ok := s.members.Address(instance)
	if !ok {
		return order.Reply{}, order.Errorf(op, order.KindIncarnationMismatch, "instance %q is gone", instance)
	}
	x, err := s.homes.pool.open(ctx, address, &peerpb.Request{Body: &peerpb.Request_Serve{Serve: fromServe(r, query)}})
	if err != nil {
		return order.Reply{}, serveLinkError(op, err, query)
	}
	defer x.close()
	reply := &peerpb.Reply{}
	if err := x.reader.Read(reply); err != nil {
		return order.Reply{}, order.Errorf(op, order.KindInDoubt, "%w", err)
	}
	if f := reply.GetFault(); f != nil {
		return order.Reply{}, serveFault(f)
	}
	return order.NewReply(reply.GetServe().GetPayload(), reply.GetServe().GetReplayed()), nil
}

// serveLinkError tells what a failure to send proves: a call that was not
// sent did not run, but an unanswered question proves nothing.
func serveLinkError(op string, err error, query bool) error {
	if !query && program.AsError(err).Outcome() == program.NotRun {
		return order.Errorf(op, order.KindNotRun, "%w", err)
	}
	return order.Errorf(op, order.KindInDoubt, "%w", err)
}
