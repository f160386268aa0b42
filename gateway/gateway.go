package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/overload"
	"github.com/lavendervale/lavendervale/permit"
	"github.com/lavendervale/lavendervale/quarantine"
	"github.com/lavendervale/lavendervale/route"
)

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Domain is the failure domain of this instance; endpoints in it are preferred.
	Domain string
	// Routes holds the route table in force.
	Routes *route.Store
	// Directory tracks the endpoints and takes the results of requests to them.
	Directory *endpoint.Directory
	// Queue holds requests that wait for an endpoint.
	Queue *dispatch.Queue
	// Overload decides which programs begin while engines are full; nil admits all.
	Overload *overload.Controller
	// Transport sends requests to endpoints.
	Transport Transport
	// Registrations reads the registrations of endpoints when a stream can't wait for it.
	Registrations RegistrationReader
	// TurnTracker admits and records turns.
	TurnTracker TurnTracker
	// Origins remembers the versions that began streams.
	Origins OriginTracker
	// Transcripts remembers what callers have received of streams whose turns are kept. Without it, no
	// such stream can be taken up.
	Transcripts TranscriptTracker
	// CrashTracker remembers requests that crash endpoints.
	CrashTracker CrashTracker
	// Permits issues permits for endpoints that name a rate limit.
	Permits PermitIssuer
	// Quotas keeps customers within their quotas, which hold in every span of the length
	// QuotaSpan.
	Quotas    QuotaTracker
	QuotaSpan time.Duration
	// Shares records the engine time of streams by customer; nil for no record.
	Shares UseRecorder
	// Metrics counts and times requests.
	Metrics *Metrics
	// Logger receives one line per request, and one per failure of an endpoint.
	Logger *zap.Logger
}

// Gateway serves the requests of callers. It is safe for concurrent use.
type Gateway struct {
	Config
	// shutdown is nil until Leave is called.
	shutdown atomic.Pointer[shutdown]
	hedges   hedgeBudget
}

// shutdown holds the times of a graceful shutdown.
type shutdown struct {
	// refuseFrom is when requests whose deadline is after exitAt start to be refused.
	refuseFrom time.Time
	// exitAt is when the process ends.
	exitAt time.Time
}

const (
	// defaultTimeout bounds every request; callers and routes can only shorten it.
	defaultTimeout = 60 * time.Second
	// crashProbeTimeout bounds the connection attempt that tells a crashed endpoint from a
	// lost connection.
	crashProbeTimeout = 300 * time.Millisecond
	// responseMargin is subtracted from a route's timeout, so that the response still
	// reaches the caller in time.
	responseMargin = 5 * time.Millisecond
	// maxRetryAfter is the longest Retry-After of a temporary refusal whose cause lasts for
	// an unknown time.
	maxRetryAfter = 150 * time.Millisecond
	// maxWaitRatio is the part of its time that a request may wait for a service of which
	// endpoints name rate limits; the rest is for the request itself or a retry elsewhere.
	maxWaitRatio = 0.5
	// shutdownRetryAfter is the Retry-After of a refusal during shutdown; it is short
	// because another instance serves the retry.
	shutdownRetryAfter = 10 * time.Millisecond
)

// New returns a Gateway with the given configuration.
func New(c Config) *Gateway { return &Gateway{Config: c} }

// Leave starts a graceful shutdown: from refuseFrom on, requests whose deadline is after
// exitAt are refused, as the end of the process would interrupt them.
func (g *Gateway) Leave(refuseFrom, exitAt time.Time) {
	g.shutdown.Store(&shutdown{refuseFrom: refuseFrom, exitAt: exitAt})
}

// runsPastExit reports whether a request with this deadline has to be refused because it
// may still run when the process ends.
func (g *Gateway) runsPastExit(deadline time.Time) bool {
	s := g.shutdown.Load()
	return s != nil && time.Now().After(s.refuseFrom) && deadline.After(s.exitAt)
}

// call is the state of one request while the gateway serves it.
type call struct {
	*Gateway
	request *Request
	// route is nil if the request matched none.
	route *route.Route
	// table is the route table that the request was matched against, or nil.
	table *route.Table
	// customer is the customer of the caller, the zero value if callers need no key.
	customer route.Customer
	// service is the name of the service that the route chose for this request.
	service  string
	deadline time.Time
	// excludedIDs are the endpoints that failed or refused this request.
	excludedIDs map[string]bool
	// attempts counts the attempts that an endpoint may have run, with those under way.
	attempts int
	// identity identifies the request to CrashTracker.
	identity quarantine.Identity
	// possiblyRan is set once an endpoint may have run the request.
	possiblyRan bool
	// target is the endpoint of the latest attempt.
	target endpoint.Target
	// holder is the endpoint whose cache holds the conversation, according to the home of
	// the program, or empty.
	holder string
	// queueTime is the total time spent in the queue.
	queueTime time.Duration
	// firstEventTime is the time from the request's arrival to its first event.
	firstEventTime time.Duration
	// quotaGrant is set while the request counts towards the quota of its customer.
	quotaGrant *permit.Grant
	// turnBegun is set if TurnTracker.Begin succeeded, so that End has to follow.
	turnBegun bool
	// beginning and admissionResult tell what became of a turn that begins its program; they are not
	// set if it is not subject to admission control.
	beginning       *overload.Beginning
	admissionResult admissionResult
	// overShare is set if the turn was refused because its customer is over its fair share.
	overShare bool
	// eventCount is the number of events passed to the caller, without empty ones.
	eventCount int
	// keptBytes is the length of what the turn added to its conversation, 0 if it was not kept.
	keptBytes int
}

// Serve serves a request and writes the response, or a refusal, to w. It returns when the
// response has been written.
func (g *Gateway) Serve(ctx context.Context, r *Request, w Responder) {
	table := g.Routes.Table()
	if table == nil {
		g.refuse(&call{Gateway: g, request: r}, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: maxRetryAfter, Reason: "no configuration is known yet"})
		return
	}
	matched := table.Match(r.Host, r.Path)
	if matched == nil {
		g.refuse(&call{Gateway: g, request: r, table: table}, w, Refusal{Status: http.StatusNotFound, Reason: "no route for the host and path"})
		return
	}
	customer, ok := table.Customer(matched, r.Key)
	if !ok {
		g.refuse(&call{Gateway: g, request: r, route: matched, table: table}, w, Refusal{Status: http.StatusUnauthorized, Reason: "the key is of no customer"})
		return
	}
	c := &call{
		Gateway: g, request: r, route: matched, table: table, customer: customer, service: matched.PickService(rand.Float64()),
		deadline: deadline(r, matched), identity: identityOf(r, customer),
	}
	if g.CrashTracker.Banned(c.identity) {
		g.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, Reason: "the request has crashed several endpoints"})
		return
	}
	if g.runsPastExit(c.deadline) {
		g.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: shutdownRetryAfter, Reason: "the instance stops before the request's deadline"})
		return
	}
	ctx, evict := context.WithCancelCause(ctx)
	defer evict(nil)
	r.Memory.OnEvict(func() { evict(errEvicted) })
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if c.refuseOverQuota(ctx, w) {
		return
	}
	if matched.Streaming() {
		c.serveStream(ctx, w)
		return
	}
	c.servePlain(ctx, w)
}

// errEvicted is the cause with which the context of a request ends that held more memory than any
// other when the memory for all was used up.
var errEvicted = errors.New("the memory for all requests is used up, and this one held most of it")

// deadline returns when a request must have its response: the earliest of the caller's
// deadline, the route's timeout and defaultTimeout.
func deadline(r *Request, matched *route.Route) time.Time {
	d := r.ReceivedAt.Add(defaultTimeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(d) {
		d = r.Deadline
	}
	if t := matched.Timeout(); t > 0 {
		if limit := r.ReceivedAt.Add(t - responseMargin); limit.Before(d) {
			d = limit
		}
	}
	return d
}

// identityOf returns the identity by which crashes of endpoints are counted. Equal inputs of several
// programs have the same content, and are told apart by their conversation.
func identityOf(r *Request, customer route.Customer) quarantine.Identity {
	content := [][]byte{[]byte(r.Method), []byte(r.Host), []byte(r.Target), []byte(customer.Name), r.Body}
	return quarantine.NewIdentity(content, r.Program, r.Session, r.PreviousTurn)
}

// refuse sends a refusal, counts it and writes the request's log line.
func (g *Gateway) refuse(c *call, w Responder, r Refusal) {
	w.Refuse(r)
	g.Metrics.observeRefused(c, r)
	c.giveBackQuota()
	c.logRequest("refused", r.Status, r.Reason)
}

// acquire waits in the queue for an endpoint and, if that names a rate limit, for a permit, and
// looks for another endpoint if that one has stopped taking requests meanwhile. It stores the
// endpoint in c.target; the caller must release the target.
func (c *call) acquire(ctx context.Context, query endpoint.Query, priority dispatch.Priority) error {
	return c.acquireWithin(ctx, ctx, query, priority)
}

// acquireWithin is acquire with another context for the wait in the queue. The wait for a permit must not
// be cut short by it: an issuer that gives no answer keeps all requests from the endpoint for a while.
func (c *call) acquireWithin(ctx, queueCtx context.Context, query endpoint.Query, priority dispatch.Priority) error {
	started := time.Now()
	defer func() { c.queueTime += time.Since(started) }()
	for {
		t, err := c.Queue.Acquire(queueCtx, priority, query)
		if err != nil {
			return err
		}
		if !c.takePermit(ctx, t) {
			continue
		}
		if c.Directory.Usable(t, time.Now()) {
			c.target = t
			return nil
		}
		c.Directory.Release(t)
	}
}

// rank returns the rank of the request: that of its customer, or else of its route.
func (c *call) rank() int {
	if c.customer.Rank != nil {
		return *c.customer.Rank
	}
	return c.route.Rank()
}

// late reports whether the program of the request is past its deadline.
func (c *call) late() bool {
	due := c.request.ProgramDeadline
	return !due.IsZero() && !due.After(time.Now())
}

// queuePriority returns the priority of the request in the queue: its rank, then whether its
// program is late, then the deadline of that or, if it is unknown, the end of the route's
// latency target.
func (c *call) queuePriority() dispatch.Priority {
	dueAt := c.request.ProgramDeadline
	if dueAt.IsZero() {
		dueAt = c.request.ReceivedAt.Add(c.route.LatencyTarget())
	}
	maxWait := time.Duration(maxWaitRatio * float64(c.deadline.Sub(c.request.ReceivedAt)))
	return dispatch.Priority{Rank: c.rank(), Late: c.late(), DueAt: dueAt, GiveUpAt: c.request.ReceivedAt.Add(maxWait)}
}

// logRequest writes the log line of a request; an empty reason is left out.
func (c *call) logRequest(outcome string, status int, reason string) {
	r := c.request
	fields := []zap.Field{
		zap.String("request", r.ID), zap.String("outcome", outcome), zap.Int("status", status),
		zap.Duration("took", time.Since(r.ReceivedAt)),
	}
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	if r.Program != "" {
		fields = append(fields, zap.String("program", r.Program))
	}
	if c.customer.Name != "" {
		fields = append(fields, zap.String("customer", c.customer.Name))
	}
	if r.PreviousTurn != "" {
		fields = append(fields, zap.String("previous", r.PreviousTurn))
	}
	if c.table != nil {
		fields = append(fields, zap.Int64("routes", c.table.Version()))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name()), zap.Int("rank", c.rank()),
			zap.Duration("left", time.Until(c.deadline)), zap.Int("attempts", c.attempts), zap.Duration("queued", c.queueTime))
	}
	if !c.target.Zero() {
		fields = append(fields, zap.String("endpoint", c.target.ID()))
		if v := c.target.Registration().Version; v != "" {
			fields = append(fields, zap.String("version", v), zap.Int64("started", c.target.Registration().StartedUnixMS))
		}
	}
	if r.LastEventID != "" {
		fields = append(fields, zap.String("after", r.LastEventID), zap.String("resumes", r.Resumes))
	}
	if c.holder != "" {
		fields = append(fields, zap.String("holder", c.holder))
	}
	if c.keptBytes > 0 {
		fields = append(fields, zap.Int("body_bytes", len(r.Body)), zap.Int("kept_bytes", c.keptBytes))
	}
	fields = append(fields, c.admissionFields()...)
	if c.eventCount > 0 {
		fields = append(fields, zap.Int("events", c.eventCount), zap.Duration("first", c.firstEventTime))
	}
	c.Logger.Info("request", fields...)
}
