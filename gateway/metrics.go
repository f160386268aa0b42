package gateway

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lavendervale/lavendervale/endpoint"
)

// Metrics holds the metrics of a Gateway.
type Metrics struct {
	requests       *prometheus.CounterVec
	failures       *prometheus.CounterVec
	duration       *prometheus.HistogramVec
	queueTime      *prometheus.HistogramVec
	firstEventTime prometheus.Histogram
	hedges         prometheus.Counter
	permits        *prometheus.CounterVec
	// admissions counts the turns that begin their programs by admissionResult.
	admissions *prometheus.CounterVec
	// leavingResponses counts responses of endpoints that say they leave.
	leavingResponses prometheus.Counter
	// unconfirmed counts streams at endpoints whose version was not confirmed: begun there, or not
	// resumed there.
	unconfirmed *prometheus.CounterVec
	// shareRefusals counts requests refused because their customer was above its fair share.
	shareRefusals prometheus.Counter
	// connectionEnds counts responses that ended with the last connection that their endpoint accepts.
	connectionEnds *prometheus.CounterVec
}

// latencyBuckets are the histogram bounds in seconds, from 2 ms to about 4 s.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 2, 12)

// NewMetrics creates the metrics of a gateway and registers them with r; it panics if one
// of their names is registered already.
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
	m.permits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lavendervale_permits_total", Help: "Permits asked for at endpoints that name a rate limit, by result.",
	}, []string{"result"})
	m.admissions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lavendervale_admission_total", Help: "Turns that begin their programs, by what admission control made of them.",
	}, []string{"result"})
	m.leavingResponses = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lavendervale_leaving_responses_total", Help: "Responses of endpoints that say they leave.",
	})
	m.unconfirmed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lavendervale_unconfirmed_versions_total", Help: "Streams begun, or not resumed, at an endpoint of which it was not confirmed that it still has the version of its entry.",
	}, []string{"stream"})
	m.shareRefusals = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "lavendervale_share_refusals_total", Help: "Requests refused because their customer was above its fair share while the engines were full.",
	})
	m.connectionEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "lavendervale_connection_ends_total", Help: "Responses without framing that ended while their endpoint accepted no connection, by the closure of the endpoint and whether they were taken for whole.",
	}, []string{"closure", "whole"})
	r.MustRegister(m.connectionEnds, m.admissions, m.shareRefusals, m.unconfirmed, m.requests, m.failures, m.duration, m.queueTime, m.firstEventTime, m.hedges, m.permits, m.leavingResponses)
	return m
}

// observe records a request that has ended; status is 0 if the caller got no complete
// response.
func (m *Metrics) observe(c *call, outcome string, status int) {
	rank := ""
	if c.route != nil {
		rank = strconv.Itoa(c.rank())
		m.queueTime.WithLabelValues(rank).Observe(c.queueTime.Seconds())
	}
	m.requests.WithLabelValues(outcome, strconv.Itoa(status), rank).Inc()
	m.duration.WithLabelValues(outcome).Observe(time.Since(c.request.ReceivedAt).Seconds())
	if c.eventCount > 0 {
		m.firstEventTime.Observe(c.firstEventTime.Seconds())
	}
}

// observeConnectionEnd records a response that ended with the last connection that its endpoint accepts.
func (m *Metrics) observeConnectionEnd(closure endpoint.Closure, whole bool) {
	m.connectionEnds.WithLabelValues(closure.String(), strconv.FormatBool(whole)).Inc()
}

func (m *Metrics) observeAnswered(c *call, status int) { m.observe(c, "answered", status) }
func (m *Metrics) observeRefused(c *call, r Refusal)   { m.observe(c, "refused", r.Status) }
func (m *Metrics) observeCallerLeft(c *call)           { m.observe(c, "left", 0) }
func (m *Metrics) observeBroken(c *call)               { m.observe(c, "broken", 0) }

// kindNames are the values of the kind label, by Kind.
var kindNames = [...]string{"unknown", "not-sent", "unreachable", "broken", "reset"}

func kindName(k Kind) string { return kindNames[k] }
