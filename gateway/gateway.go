package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lavendervale/lavendervale/dispatch"
	"github.com/lavendervale/lavendervale/endpoint"
	"github.com/lavendervale/lavendervale/route"
)

// Config describes a Gateway.
type Config struct {
	// Domain is the failure domain of this instance.
	Domain string
	// Routes is the table in force.
	Routes *route.Store
	// Directory knows the endpoints.
	Directory *endpoint.Directory
	// Queue orders requests that wait for endpoints.
	Queue *dispatch.Queue
	// Endpoints sends requests.
	Endpoints Endpoints
	// Ledger admits and settles turns.
	Ledger Ledger
	// Suspects knows requests that crash endpoints.
	Suspects Suspects
	// Metrics counts what happens.
	Metrics *Metrics
	// Logger takes a line for each decision.
	Logger *zap.Logger
}

// Gateway serves the requests of callers.
type Gateway struct {
	Config
	departure atomic.Pointer[departure]
	hedges    hedgeBudget
}

// departure is when an instance that stops refuses what it could not bring to an end.
type departure struct {
	refuse time.Time
	end    time.Time
}

const (
	// defaultDeadline bounds a request whose caller and route name no bound.
	defaultDeadline = 60 * time.Second
	// crashProbe bounds the look whether an endpoint has ended with a request.
	crashProbe = 300 * time.Millisecond
	// answerMargin is kept of a route's timeout for the answer's own way.
	answerMargin = 5 * time.Millisecond
	// callsPause is when a caller may come back after a refusal without a forecast.
	callsPause = 150 * time.Millisecond
	// departurePause is when a caller may come back that another instance will serve.
	departurePause = 10 * time.Millisecond
)

// New returns a gateway.
func New(c Config) *Gateway { return &Gateway{Config: c} }

// Leave refuses, from one time on, the requests whose deadline is beyond the end of
// the process: they would be cut off in the middle.
func (g *Gateway) Leave(refuse, end time.Time) {
	g.departure.Store(&departure{refuse: refuse, end: end})
}

// outlasts reports whether a request may still run when the process ends.
func (g *Gateway) outlasts(deadline time.Time) bool {
	d := g.departure.Load()
	return d != nil && time.Now().After(d.refuse) && deadline.After(d.end)
}

// call is one request under way.
type call struct {
	*Gateway
	request  *Request
	route    *route.Route
	table    *route.Table
	service  string
	deadline time.Time
	avoid    map[string]bool
	attempts int
	digest   uint64
	sent     bool
	target   endpoint.Target
	// holder is the endpoint that holds the conversation, as far as its home knows.
	holder string
	queued time.Duration
	first  time.Duration
	begun  bool
	events int
}

// Serve answers a request.
func (g *Gateway) Serve(ctx context.Context, r *Request, w Responder) {
	table := g.Routes.Table()
	if table == nil {
		g.refuse(&call{Gateway: g, request: r}, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: callsPause, Reason: "no configuration is known yet"})
		return
	}
	found := table.Match(r.Host, r.Path)
	if found == nil {
		g.refuse(&call{Gateway: g, request: r, table: table}, w, Refusal{Status: http.StatusNotFound, Reason: "no route for the host and path"})
		return
	}
	c := &call{
		Gateway: g, request: r, route: found, table: table, service: found.PickService(rand.Float64()),
		deadline: deadline(r, found), digest: digest(r),
	}
	if g.Suspects.Banned(c.digest) {
		g.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, Reason: "the request has crashed several endpoints"})
		return
	}
	if g.outlasts(c.deadline) {
		g.refuse(c, w, Refusal{Status: http.StatusServiceUnavailable, RetryAfter: departurePause, Reason: "the instance stops before the request's deadline"})
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if found.Streaming() {
		c.stream(ctx, w)
		return
	}
	c.plain(ctx, w)
}

// deadline returns when a request must have its answer.
func deadline(r *Request, found *route.Route) time.Time {
	d := r.Arrived.Add(defaultDeadline)
	if !r.Deadline.IsZero() && r.Deadline.Before(d) {
		d = r.Deadline
	}
	if t := found.Timeout(); t > 0 {
		if limit := r.Arrived.Add(t - answerMargin); limit.Before(d) {
			d = limit
		}
	}
	return d
}

// digest identifies what a caller asks for, over its attempts; requests without a
// body are told apart by their program.
func digest(r *Request) uint64 {
	h := xxhash.New()
	caller := ""
	if len(r.Body) == 0 {
		caller = r.Program + "/" + r.Session
	}
	for _, part := range []string{r.Method, r.Host, r.Target, caller} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// refuse sends an answer of the system's own and leaves its line.
func (g *Gateway) refuse(c *call, w Responder, r Refusal) {
	w.Refuse(r)
	g.Metrics.refused(c, r)
	c.log("refused", r.Status, r.Reason)
}

// acquire waits for an endpoint of the service.
func (c *call) acquire(ctx context.Context, q endpoint.Query, o dispatch.Priority) error {
	started := time.Now()
	t, err := c.Queue.Acquire(ctx, o, q)
	c.queued += time.Since(started)
	if err != nil {
		return err
	}
	c.target = t
	return nil
}

// order returns how the request is ordered among those that wait.
func (c *call) order() dispatch.Priority {
	slack := c.request.ProgramDeadline
	if slack.IsZero() {
		slack = c.request.Arrived.Add(c.route.LatencyTarget())
	}
	return dispatch.Priority{Rank: c.route.Rank(), StartBy: slack}
}

// exclude keeps the request from the endpoint it was just sent to.
func (c *call) exclude() {
	if c.avoid == nil {
		c.avoid = map[string]bool{}
	}
	c.avoid[c.target.ID()] = true
}

// failed notes that an endpoint gave no good answer.
func (c *call) failed(err error) {
	now := time.Now()
	kind := KindOf(err)
	c.Directory.Failed(c.target, kind == KindUnreachable || kind == KindReset, now)
	c.Metrics.failures.WithLabelValues(kindName(kind)).Inc()
	if kind == KindReset || kind == KindBroken {
		go c.suspect(c.target)
	}
	c.Logger.Warn("endpoint failed", zap.String("request", c.request.ID), zap.String("endpoint", c.target.ID()),
		zap.String("address", c.target.Address()), zap.Int("events", c.events), zap.Error(err))
}

// suspect looks whether the endpoint that broke off has ended with the request; a
// connection that was lost alone says nothing against it.
func (c *call) suspect(target endpoint.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbe)
	defer cancel()
	if c.Endpoints.Alive(ctx, target) {
		return
	}
	c.Suspects.Crashed(c.digest, xxhash.Sum64String(c.request.ID))
	c.Logger.Warn("request may have crashed its endpoint", zap.String("request", c.request.ID), zap.Uint64("digest", c.digest),
		zap.String("endpoint", target.ID()))
}

// log leaves the line of a request.
func (c *call) log(outcome string, status int, reason string) {
	r := c.request
	fields := []zap.Field{
		zap.String("request", r.ID), zap.String("outcome", outcome), zap.Int("status", status),
		zap.Duration("took", time.Since(r.Arrived)),
	}
	if reason != "" {
		fields = append(fields, zap.String("reason", reason))
	}
	if r.Program != "" {
		fields = append(fields, zap.String("program", r.Program))
	}
	if r.Previous != "" {
		fields = append(fields, zap.String("previous", r.Previous))
	}
	if c.table != nil {
		fields = append(fields, zap.Int64("routes", c.table.Version()))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name()), zap.Int("rank", c.route.Rank()),
			zap.Duration("left", time.Until(c.deadline)), zap.Int("attempts", c.attempts), zap.Duration("queued", c.queued))
	}
	if !c.target.Zero() {
		fields = append(fields, zap.String("endpoint", c.target.ID()))
	}
	if c.holder != "" {
		fields = append(fields, zap.String("holder", c.holder))
	}
	if c.events > 0 {
		fields = append(fields, zap.Int("events", c.events), zap.Duration("first", c.first))
	}
	c.Logger.Info("request", fields...)
}
