package entry

import (
	"sync"
	"sync/atomic"

	"github.com/lavendervale/lavendervale/program"
)

// metrics holds the counters of an entry.
type metrics struct {
	// started and ended count programs, calls the calls received, retries the repeated
	// requests to homes, moves the changes of a request's target to another endpoint, which
	// takes over the program, and heartbeatsLost the heartbeats without a reply.
	started, calls, ended, retries, moves, heartbeatsLost atomic.Int64
	// refusalsByKind maps the name of a program.Kind to an *atomic.Int64.
	refusalsByKind sync.Map
}

// countRefusal counts a request that failed with err under the kind of the error.
func (m *metrics) countRefusal(err error) {
	n, _ := m.refusalsByKind.LoadOrStore(program.KindOf(err).String(), new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// Metrics returns the counters of the entry and the version of its configuration, by
// metric name.
func (e *Entry) Metrics() map[string]any {
	m := &e.metrics
	counters := map[string]any{
		"programs_started": m.started.Load(), "calls": m.calls.Load(), "programs_ended": m.ended.Load(),
		"retries": m.retries.Load(), "moves": m.moves.Load(), "heartbeats_lost": m.heartbeatsLost.Load(),
		"config_version": e.config.Configurations.Version(),
	}
	m.refusalsByKind.Range(func(kind, n any) bool {
		counters["refused_"+kind.(string)] = n.(*atomic.Int64).Load()
		return true
	})
	return counters
}
