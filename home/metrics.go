package home

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lavendervale/lavendervale/program"
)

const (
	// histogramMax is the largest latency recorded, in microseconds: one hour.
	histogramMax    = 3_600_000_000
	histogramDigits = 2
)

// metrics counts what the home decides and how calls end.
type metrics struct {
	started, finished, canceled, adopted, lost, replayed, inDoubt, preempted, evicted, carried, snapshots atomic.Int64
	calls                                                                                                 [3]atomic.Int64
	refusals                                                                                              sync.Map
	mu                                                                                                    sync.Mutex
	queue                                                                                                 *hdrhistogram.Histogram
	total                                                                                                 *hdrhistogram.Histogram
}

func (m *metrics) refuse(err error) {
	kind := program.KindOf(err).String()
	n, _ := m.refusals.LoadOrStore(kind, new(atomic.Int64))
	n.(*atomic.Int64).Add(1)
}

func (m *metrics) ran(w program.CallType, queued, total time.Duration) {
	m.calls[w].Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queue == nil {
		m.queue = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.total = hdrhistogram.New(1, histogramMax, histogramDigits)
	}
	_ = m.queue.RecordValue(min(histogramMax, max(1, queued.Microseconds())))
	_ = m.total.RecordValue(min(histogramMax, max(1, total.Microseconds())))
}

// Metrics returns counters and latencies by name.
func (h *Home) Metrics() map[string]any {
	m := &h.metrics
	out := map[string]any{
		"programs_started": m.started.Load(), "programs_finished": m.finished.Load(),
		"programs_canceled": m.canceled.Load(), "programs_adopted": m.adopted.Load(),
		"programs_lost": m.lost.Load(), "calls_replayed": m.replayed.Load(), "orders_in_doubt": m.inDoubt.Load(),
		"calls_model": m.calls[program.ModelCall].Load(), "calls_idempotent": m.calls[program.IdempotentCall].Load(),
		"calls_preempted": m.preempted.Load(), "caches_evicted": m.evicted.Load(),
		"handles_carrying": m.carried.Load(), "snapshots": m.snapshots.Load(),
		"calls_order": m.calls[program.OrderCall].Load(),
	}
	m.refusals.Range(func(kind, n any) bool {
		out["refused_"+kind.(string)] = n.(*atomic.Int64).Load()
		return true
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.queue != nil {
		out["queue_us_p50"] = m.queue.ValueAtQuantile(50)
		out["queue_us_p95"] = m.queue.ValueAtQuantile(95)
		out["call_us_p50"] = m.total.ValueAtQuantile(50)
		out["call_us_p95"] = m.total.ValueAtQuantile(95)
	}
	return out
}
