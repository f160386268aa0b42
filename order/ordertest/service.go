package ordertest

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/order"
	"github.com/lavendervale/lavendervale/program"
)

// Service is the interface that TestService checks.
type Service interface {
	// Do makes one call and never repeats it. It returns the payload of the answer. The
	// error is of order.KindRefused when the service refused the call, of
	// order.KindNotRun when the call certainly did not reach the service, of
	// order.KindOverloaded when the service accepts no more work, and of
	// order.KindInDoubt when the call may have run.
	Do(ctx context.Context, r order.Request) ([]byte, error)
}

// Subject is an adapter under test, with functions that control the fake service behind it.
type Subject struct {
	// Service is the adapter under test.
	Service Service
	// EffectCount returns how often calls with an idempotency key have had an effect.
	EffectCount func(key string) int
	// SetRefusing sets whether the service refuses every call.
	SetRefusing func(refusing bool)
	// SetDropAnswers sets whether calls take effect without an answer.
	SetDropAnswers func(drop bool)
	// Stop stops the service.
	Stop func()
}

// TestService checks that an adapter reports the outcome of a call correctly and never
// repeats a call. newSubject is called once for each case.
func TestService(t *testing.T, newSubject func(t *testing.T) Subject) {
	tests := []struct {
		name        string
		prepare     func(s Subject)
		payload     string
		wantErr     bool
		wantKind    order.Kind
		wantEffects int
	}{
		{name: "a call has one effect", prepare: func(Subject) {}, payload: "{}", wantEffects: 1},
		{name: "an empty payload has one effect", prepare: func(Subject) {}, wantEffects: 1},
		{name: "a refusal has no effect", prepare: func(s Subject) { s.SetRefusing(true) }, wantErr: true, wantKind: order.KindRefused},
		{name: "a lost answer is in doubt and not repeated", prepare: func(s Subject) { s.SetDropAnswers(true) }, wantErr: true, wantKind: order.KindInDoubt, wantEffects: 1},
		{name: "a lost answer without payload is not repeated", prepare: func(s Subject) { s.SetDropAnswers(true) }, wantErr: true, wantKind: order.KindInDoubt, wantEffects: 1},
		{name: "a stopped service runs nothing", prepare: func(s Subject) { s.Stop() }, wantErr: true, wantKind: order.KindNotRun},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSubject(t)
			// The first call leaves an idle connection. An HTTP client may repeat a
			// request when such a connection breaks.
			_, err := s.Service.Do(context.Background(), newRequest(0, "{}"))
			require.NoError(t, err)
			test.prepare(s)
			r := newRequest(uint32(i+1), test.payload)
			_, err = s.Service.Do(context.Background(), r)
			require.Equal(t, test.wantErr, err != nil)
			if test.wantErr {
				require.Equal(t, test.wantKind, order.KindOf(err))
			}
			require.Equal(t, test.wantEffects, s.EffectCount(r.Key().String()))
		})
	}
}

func newRequest(number uint32, payload string) order.Request {
	return order.NewRequest(order.RequestConfig{
		Key: order.NewKey(program.NewID("caller", "key"), number, 1), Service: "payment", Method: "pay", Payload: []byte(payload),
	})
}
