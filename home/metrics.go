package home

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// histogramMaxMicros is the largest duration recorded, one hour.
	histogramMaxMicros = 3_600_000_000
	// histogramDigits is the number of significant decimal digits kept.
	histogramDigits = 2
)

// metrics counts events of a home since its start.
type metrics struct {
	// These count programs started, finished, canceled, taken over (adopted)
	// and lost to another home; calls replayed, orders in doubt and
	// preemptions; caches evicted; handles that carried records; and snapshots
	// written.
	started, finished, canceled, adopted, lost, replayed, inDoubt, preempted, evicted, carried, snapshots atomic.Int64
	// callsByType counts answered calls by program.CallType.
	callsByType [3]atomic.Int64
	// refusalsByKind maps the name of an error kind to an *atomic.Int64 that
	// counts the failed calls of that kind.
	refusalsByKind sync.Map
	// mu guards the histograms, which are nil before the first answered call.
	mu sync.Mutex
	// queueMicros holds the waiting times of calls, in microseconds.
	queueMicros *hdrhistogram.Histogram
	// callMicros holds the durations of calls from arrival to answer, in
	// microseconds.
	callMicros *hdrhistogram.Histogram
}

// countRefusal counts a refused or failed call by the kind of its error.
func (m *metrics) countRefusal(err error) {
	kind := program.KindOf(err).String()
	n, _ := m.refusalsByKind.LoadOrStore(kind, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

// countCall counts an answered call and records its durations.
func (m *metrics) countCall(callType program.CallType, queueTime, totalTime time.Duration) {
	m.callsByType[callType].Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queueMicros == nil {
		m.queueMicros = hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
		m.callMicros = hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	}
	_ = m.queueMicros.RecordValue(min(histogramMaxMicros, max(1, queueTime.Microseconds())))
	_ = m.callMicros.RecordValue(min(histogramMaxMicros, max(1, totalTime.Microseconds())))
}

// Metrics returns the counters by name, and the median and 95th percentile of
// the durations in microseconds once a call has been answered.
func (h *Home) Metrics() map[string]any {
	m := &h.metrics
	out := map[string]any{
		"programs_started": m.started.Load(), "programs_finished": m.finished.Load(),
		"programs_canceled": m.canceled.Load(), "programs_adopted": m.adopted.Load(),
		"programs_lost": m.lost.Load(), "calls_replayed": m.replayed.Load(), "orders_in_doubt": m.inDoubt.Load(),
		"calls_model": m.callsByType[program.ModelCall].Load(), "calls_idempotent": m.callsByType[program.IdempotentCall].Load(),
		"calls_preempted": m.preempted.Load(), "caches_evicted": m.evicted.Load(),
		"handles_carrying": m.carried.Load(), "snapshots": m.snapshots.Load(),
		"calls_order": m.callsByType[program.OrderCall].Load(),
	}
	m.refusalsByKind.Range(func(kind, n any) bool {
		out["refused_"+kind.(string)] = n.(*atomic.Int64).Load()
		return true
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queueMicros != nil {
		out["queue_us_p50"] = m.queueMicros.ValueAtQuantile(50)
		out["queue_us_p95"] = m.queueMicros.ValueAtQuantile(95)
		out["call_us_p50"] = m.callMicros.ValueAtQuantile(50)
		out["call_us_p95"] = m.callMicros.ValueAtQuantile(95)
	}
	return out
}
