package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts what happens to requests.
type Metrics struct {
	requests *prometheus.CounterVec
	failures *prometheus.CounterVec
	duration     *prometheus.HistogramVec
	queueTime   *prometheus.HistogramVec
	firstEventTime    prometheus.Histogram
	hedges   prometheus.Counter
}

// latencyBuckets spans what a request may take, in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 2, 12)

// NewMetrics returns the counters of a gateway, registered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavendervale_requests_total", Help: "Requests by outcome, status and rank.",
		}, []string{"outcome", "status", "rank"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "lavendervale_endpoint_failures_total", Help: "Attempts at endpoints without a good answer, by kind.",
		}, []string{"kind"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lavendervale_request_seconds", Help: "Time from the head of a request to the end of its answer.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		queueTime: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "lavendervale_queue_seconds", Help: "Time that requests wait for an endpoint.", Buckets: latencyBuckets,
		}, []string{"rank"}),
		firstEventTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "lavendervale_first_event_seconds", Help: "Time to the first event of a stream.", Buckets: latencyBuckets,
		}),
	}
	m.hedges = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lavendervale_hedges_total", Help: "Idempotent requests sent to a second endpoint because their answer was overdue.",
	})
	r.MustRegister(m.requests, m.failures, m.duration, m.queueTime, m.firstEventTime, m.hedges)
	return m
}

func (m *Metrics) observe(c *call, outcome string, status int) {
	rank := ""
	if c.route != nil {
		rank = strconv.Itoa(c.route.Rank())
		m.queueTime.WithLabelValues(rank).Observe(c.queueTime.Seconds())
	}
	m.requests.WithLabelValues(outcome, strconv.Itoa(status), rank).Inc()
	m.duration.WithLabelValues(outcome).Observe(time.Since(c.request.ReceivedAt).Seconds())
	if c.eventCount > 0 {
		m.firstEventTime.Observe(c.firstEventTime.Seconds())
	}
}

func (m *Metrics) observeAnswered(c *call, status int) { m.observe(c, "answered", status) }
func (m *Metrics) observeRefused(c *call, r Refusal) { m.observe(c, "refused", r.Status) }
func (m *Metrics) observeCallerLeft(c *call)               { m.observe(c, "left", 0) }
func (m *Metrics) observeBroken(c *call)             { m.observe(c, "broken", 0) }

var kindNames = [...]string{"unknown", "not-sent", "unreachable", "broken", "reset"}

func kindName(k Kind) string { return kindNames[k] }
