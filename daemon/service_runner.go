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
	// ledgerExpiryInterval is the time between two removals of old orders.
	ledgerExpiryInterval = time.Minute
)

// serviceRunner makes the calls of the service beside the process.
type serviceRunner struct {
	client *service.Client
	ledger *order.Ledger
	// semaphore limits the calls that the service gets at the same time.
	semaphore *queue.Semaphore
	// activeCalls is the number of calls in progress, waiting ones included.
	activeCalls atomic.Int64
	// sentOrders is the number of orders sent to the service, replayedOrders that of
	// orders answered with a recorded outcome.
	sentOrders     atomic.Int64
	replayedOrders atomic.Int64
	// leaving is set when the process refuses new calls.
	leaving atomic.Bool
}

func newServiceRunner(c ServiceConfig, incarnation uint64) *serviceRunner {
	limit := queue.NewLimit(queue.LimitConfig{Initial: c.Slots})
	return &serviceRunner{
		client:    service.New(service.Config{Address: c.Address, Timeout: c.Timeout}),
		ledger:    order.NewLedger(incarnation),
		semaphore: queue.NewSemaphore(queue.NewSlots[chan struct{}](queue.SlotsConfig{Limit: limit})),
	}
}

// Run makes a call. An order goes through the ledger, which runs it at most once. The
// error is of order.KindNotRun when the process is leaving or no slot became free.
func (r *serviceRunner) Run(ctx context.Context, request order.Request) (order.Reply, error) {
	r.activeCalls.Add(1)
	defer r.activeCalls.Add(-1)
	if r.leaving.Load() {
		return order.Reply{}, order.Errorf("run service call", order.KindNotRun, "this instance is stopping")
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

// send waits for a slot and makes a call. Slots go to urgent calls first, then to those
// with the earliest deadline of their program.
func (r *serviceRunner) send(ctx context.Context, request order.Request) ([]byte, error) {
	release, err := r.semaphore.Acquire(ctx, queue.ItemConfig{Rank: request.Rank(), StartedAt: request.Deadline()})
	if err != nil {
		return nil, order.Errorf("wait for a slot of the service", order.KindNotRun, "%w", err)
	}
	defer release()
	return r.client.Do(ctx, request)
}

// Query returns the outcome of an order, as the ledger has it.
func (r *serviceRunner) Query(ctx context.Context, request order.Request) (order.Reply, error) {
	return r.ledger.Query(ctx, request)
}

// expireOrders deletes orders older than order.DefaultRetention from the ledger until
// ctx ends.
func (r *serviceRunner) expireOrders(ctx context.Context) {
	ticker := time.NewTicker(ledgerExpiryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.ledger.Expire(now.Add(-order.DefaultRetention))
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
