package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/lavendervale/lavendervale/adapter/service"
	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/queue"
)

const (
	// ledgerInterval is the time between two searches for orders to forget.
	ledgerExpiryInterval = time.Minute
)

// runner makes the calls of the service beside the process.
type serviceRunner struct {
	client         *service.Client
	ledger         *order.Ledger
	semaphore      *queue.Semaphore
	activeCalls    atomic.Int64
	sentOrders     atomic.Int64
	replayedOrders atomic.Int64
	leaving        atomic.Bool
}

func newServiceRunner(c ServiceConfig, incarnation uint64) *serviceRunner {
	limit := queue.NewLimit(queue.LimitConfig{First: c.Slots})
	return &serviceRunner{
		client:    service.New(service.Config{Address: c.Address, Timeout: c.Timeout}),
		ledger:    order.NewLedger(incarnation),
		semaphore: queue.NewSemaphore(queue.NewSlots[chan struct{}](queue.SlotsConfig{Limit: limit})),
	}
}

// Run makes a call; an order goes through the ledger.
func (r *serviceRunner) Run(ctx context.Context, request order.Request) (order.Reply, error) {
	r.activeCalls.Add(1)
	defer r.activeCalls.Add(-1)
	if r.leaving.Load() {
		return order.Reply{}, order.Errorf("run call", order.KindNotRun, "this instance is leaving")
	}
	if request.Idempotent() {
		payload, err := r.send(ctx, request)
		return order.NewReply(payload, false), err
	}
	reply, err := r.ledger.Run(ctx, request, func(ctx context.Context) ([]byte, error) {
		r.sentOrders.Add(1)
		return r.send(ctx, request)
	})
	if reply.Replayed() {
		r.replayedOrders.Add(1)
	}
	return reply, err
}

// send makes a call when a slot is free: urgent ones first, then those whose
// program must finish soonest.
func (r *serviceRunner) send(ctx context.Context, request order.Request) ([]byte, error) {
	release, err := r.semaphore.Acquire(ctx, queue.ItemConfig{Rank: request.Rank(), Started: request.Deadline()})
	if err != nil {
		return nil, order.Errorf("wait for service", order.KindNotRun, "%w", err)
	}
	defer release()
	return r.client.Do(ctx, request)
}

// Query asks the ledger for the outcome of an order.
func (r *serviceRunner) Query(ctx context.Context, request order.Request) (order.Reply, error) {
	return r.ledger.Query(ctx, request)
}

// clean forgets old orders until ctx ends.
func (r *serviceRunner) expireOrders(ctx context.Context) {
	ticker := time.NewTicker(ledgerExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.ledger.Expire(now.Add(-order.DefaultKeep))
		}
	}
}

func (r *serviceRunner) metrics() map[string]any {
	running, waiting := r.semaphore.Counts()
	return map[string]any{
		"service_calls_active": r.activeCalls.Load(), "service_calls_running": running, "service_calls_waiting": waiting,
		"orders_sent": r.sentOrders.Load(), "orders_repeated": r.replayedOrders.Load(),
		"ledger_entries": r.ledger.Len(), "ledger_incarnation": r.ledger.Incarnation(),
	}
}
