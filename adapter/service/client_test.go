package service_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lavendervale/lavendervale/adapter/service"
	"github.com/lavendervale/lavendervale/order/ordertest"
	standin "github.com/lavendervale/lavendervale/standin/service"
)

func TestClientMeetsServiceContract(t *testing.T) {
	ordertest.TestService(t, func(t *testing.T) ordertest.Subject {
		s := standin.New(standin.Config{Name: "payment"})
		server := httptest.NewServer(s.Handler())
		t.Cleanup(server.Close)
		c := service.New(service.Config{Address: server.Listener.Addr().String()})
		t.Cleanup(c.Close)
		return ordertest.Subject{
			Service: c, Stop: server.Close,
			EffectCount: func(key string) int { return s.Effects()[key] },
			SetRefusing: func(on bool) {
				status := 0
				if on {
					status = http.StatusConflict
				}
				s.SetFaults(standin.Faults{RefuseStatus: status})
			},
			SetDropResponses: func(on bool) { s.SetFaults(standin.Faults{LoseResponses: on}) },
		}
	})
}
