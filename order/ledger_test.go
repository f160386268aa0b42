package order_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

const incarnation = 7

func newRequest(number, attempt uint32, epoch uint64) order.Request {
	return order.NewRequest(order.RequestConfig{
		Key: order.NewKey(program.NewID("caller", "key"), number, attempt), Epoch: epoch, Incarnation: incarnation,
	})
}

// callCounter counts the calls sent to a service that takes a second for each.
type callCounter struct{ calls int }

func (c *callCounter) send(context.Context) ([]byte, error) {
	c.calls++
	time.Sleep(time.Second)
	return []byte("receipt"), nil
}

// TestLedgerRunsOrderAtMostOnce guards against an order that runs twice, or after a query
// has refused it.
func TestLedgerRunsOrderAtMostOnce(t *testing.T) {
	tests := []struct {
		name      string
		steps     func(l *order.Ledger, c *callCounter) error
		wantKind  order.Kind
		wantErr   bool
		wantCalls int
	}{
		{
			name: "a repeat gets the answer", wantCalls: 1,
			steps: func(l *order.Ledger, c *callCounter) error {
				_, _ = l.Run(context.Background(), newRequest(1, 1, 0), c.send)
				_, err := l.Run(context.Background(), newRequest(1, 1, 0), c.send)
				return err
			},
		},
		{
			name: "a concurrent repeat waits for the same call", wantCalls: 1,
			steps: func(l *order.Ledger, c *callCounter) error {
				go func() { _, _ = l.Run(context.Background(), newRequest(1, 1, 0), c.send) }()
				synctest.Wait()
				_, err := l.Run(context.Background(), newRequest(1, 1, 0), c.send)
				return err
			},
		},
		{
			name: "a query waits for the outcome", wantCalls: 1,
			steps: func(l *order.Ledger, c *callCounter) error {
				go func() { _, _ = l.Run(context.Background(), newRequest(1, 1, 0), c.send) }()
				synctest.Wait()
				_, err := l.Query(context.Background(), newRequest(1, 1, 1))
				return err
			},
		},
		{
			name: "an order that arrives after its query does not run", wantErr: true, wantKind: order.KindNotRun,
			steps: func(l *order.Ledger, c *callCounter) error {
				_, err := l.Query(context.Background(), newRequest(1, 1, 0))
				if order.KindOf(err) != order.KindNotRun {
					return err
				}
				_, err = l.Run(context.Background(), newRequest(1, 1, 0), c.send)
				return err
			},
		},
		{
			name: "the next attempt runs", wantCalls: 1,
			steps: func(l *order.Ledger, c *callCounter) error {
				_, _ = l.Query(context.Background(), newRequest(1, 1, 0))
				_, err := l.Run(context.Background(), newRequest(1, 2, 0), c.send)
				return err
			},
		},
		{
			name: "an older epoch is fenced", wantErr: true, wantKind: order.KindFenced,
			steps: func(l *order.Ledger, c *callCounter) error {
				_, _ = l.Query(context.Background(), newRequest(1, 1, 3))
				_, err := l.Run(context.Background(), newRequest(2, 1, 2), c.send)
				return err
			},
		},
		{
			name: "another incarnation of the ledger", wantErr: true, wantKind: order.KindIncarnationMismatch,
			steps: func(_ *order.Ledger, c *callCounter) error {
				_, err := order.NewLedger(incarnation+1).Run(context.Background(), newRequest(1, 1, 0), c.send)
				return err
			},
		},
		{
			name: "the call continues when its home has gone", wantCalls: 1,
			steps: func(l *order.Ledger, c *callCounter) error {
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				defer cancel()
				_, _ = l.Run(ctx, newRequest(1, 1, 0), c.send)
				_, err := l.Query(context.Background(), newRequest(1, 1, 1))
				return err
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &callCounter{}
				err := test.steps(order.NewLedger(incarnation), c)
				require.Equal(t, test.wantErr, err != nil, "%v", err)
				if test.wantErr {
					require.Equal(t, test.wantKind, order.KindOf(err))
				}
				time.Sleep(time.Minute)
				require.Equal(t, test.wantCalls, c.calls)
			})
		})
	}
}

// TestLedgerExpiresOldAttempts checks that an attempt is deleted only when it is older than
// the time given to Expire.
func TestLedgerExpiresOldAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, c := order.NewLedger(incarnation), &callCounter{}
		_, err := l.Run(context.Background(), newRequest(1, 1, 0), c.send)
		require.NoError(t, err)
		require.Zero(t, l.Expire(time.Now().Add(-time.Hour)))
		time.Sleep(2 * time.Hour)
		require.Equal(t, 1, l.Expire(time.Now().Add(-time.Hour)))
		require.Zero(t, l.Len())
	})
}

// TestExpiryKeepsProgramFenced checks that a replaced home stays fenced when the orders of
// its successor have expired.
func TestExpiryKeepsProgramFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, c := order.NewLedger(incarnation), &callCounter{}
		_, err := l.Run(context.Background(), newRequest(1, 1, 3), c.send)
		require.NoError(t, err)
		time.Sleep(2 * order.DefaultRetention)
		_, err = l.Run(context.Background(), newRequest(2, 1, 3), c.send)
		require.NoError(t, err)
		require.Equal(t, 1, l.Expire(time.Now().Add(-order.DefaultRetention)))
		_, err = l.Run(context.Background(), newRequest(3, 1, 2), c.send)
		require.Error(t, err)
		require.Equal(t, order.KindFenced, order.KindOf(err))
		require.Equal(t, 2, c.calls)
	})
}

// TestExpiredAttemptDoesNotRunAgain checks that expiry of an attempt neither lets it run a
// second time nor proves that it did not run.
func TestExpiredAttemptDoesNotRunAgain(t *testing.T) {
	tests := []struct {
		name      string
		step      func(l *order.Ledger, c *callCounter) error
		wantErr   bool
		wantKind  order.Kind
		wantFinal bool
		wantCalls int
	}{
		{
			name: "it is queried", wantErr: true, wantKind: order.KindInDoubt, wantFinal: true, wantCalls: 1,
			step: func(l *order.Ledger, _ *callCounter) error {
				_, err := l.Query(context.Background(), newRequest(2, 2, 4))
				return err
			},
		},
		{
			name: "it is sent again", wantErr: true, wantKind: order.KindInDoubt, wantFinal: true, wantCalls: 1,
			step: func(l *order.Ledger, c *callCounter) error {
				_, err := l.Run(context.Background(), newRequest(2, 2, 3), c.send)
				return err
			},
		},
		{
			name: "an earlier attempt is sent", wantErr: true, wantKind: order.KindInDoubt, wantFinal: true, wantCalls: 1,
			step: func(l *order.Ledger, c *callCounter) error {
				_, err := l.Run(context.Background(), newRequest(2, 1, 3), c.send)
				return err
			},
		},
		{
			name: "the next attempt is sent", wantCalls: 2,
			step: func(l *order.Ledger, c *callCounter) error {
				_, err := l.Run(context.Background(), newRequest(2, 3, 3), c.send)
				return err
			},
		},
		{
			name: "the next order is sent", wantCalls: 2,
			step: func(l *order.Ledger, c *callCounter) error {
				_, err := l.Run(context.Background(), newRequest(3, 1, 3), c.send)
				return err
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l, c := order.NewLedger(incarnation), &callCounter{}
				_, err := l.Run(context.Background(), newRequest(2, 2, 3), c.send)
				require.NoError(t, err)
				time.Sleep(order.DefaultRetention)
				require.Equal(t, 1, l.Expire(time.Now().Add(-order.DefaultRetention).Add(time.Second)))
				err = test.step(l, c)
				require.Equal(t, test.wantErr, err != nil, "%v", err)
				if test.wantErr {
					require.Equal(t, test.wantKind, order.KindOf(err), "%v", err)
					var orderErr *order.Error
					require.ErrorAs(t, err, &orderErr)
					require.Equal(t, test.wantFinal, orderErr.Final())
				}
				time.Sleep(time.Minute)
				require.Equal(t, test.wantCalls, c.calls)
			})
		})
	}
}
