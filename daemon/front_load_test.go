package daemon_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/lavendervale/lavendervale/standin/store"
)

// TestFrontLoadsItsShardsBeforeItKnowsEndpoints guards against fronts that never start while the
// list of endpoints can't be read, and leave all shards to whoever serves a request.
func TestFrontLoadsItsShardsBeforeItKnowsEndpoints(t *testing.T) {
	t.Parallel()
	s := &platformSite{t: t, store: store.New(), maxAttempts: 2}
	server := httptest.NewServer(s.store)
	t.Cleanup(server.Close)
	s.storeAddress = strings.TrimPrefix(server.URL, "http://")
	core, logs := observer.New(zap.InfoLevel)
	s.logger = zap.New(core)
	f := s.launchFront()
	require.Eventually(t, func() bool { return logs.FilterMessage("shard loaded").Len() == 4 }, eventuallyTimeout, 20*time.Millisecond)
	require.Zero(t, logs.FilterMessage("front is ready").Len())
	s.configure()
	s.startEndpoint("engine-1", "llm", true)
	f.waitUntilReady(t)
}
