package engine_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/lavendervale/lavendervale/adapter/engine"
	"github.com/lavendervale/lavendervale/home/hometest"
	"github.com/lavendervale/lavendervale/program"
	standin "github.com/lavendervale/lavendervale/standin/engine"
)

func TestClientMeetsEngineContract(t *testing.T) {
	hometest.TestEngine(t, func(t *testing.T) hometest.EngineUnderTest {
		e := standin.New(standin.Config{TimePerToken: -1, OutputTokens: 8})
		server := httptest.NewServer(e.Handler())
		t.Cleanup(server.Close)
		c := engine.New(engine.Config{Address: server.Listener.Addr().String()})
		t.Cleanup(c.Close)
		return hometest.EngineUnderTest{
			Engine:       c,
			CachedTokens: func(id program.ID) int64 { return e.CachedTokens(id.String()) },
			SetRefusing: func(on bool) {
				e.SetFaults(standin.Faults{RefuseStatus: choose(on, http.StatusTooManyRequests)})
			},
			SetTruncating: func(on bool) { e.SetFaults(standin.Faults{CutAfterTokens: int64(choose(on, 3))}) },
			SetHanging:    func(on bool) { e.SetFaults(standin.Faults{HangAfterTokens: int64(choose(on, 3))}) },
		}
	})
}

func choose(on bool, value int) int {
	if on {
		return value
	}
	return 0
}
