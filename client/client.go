package client

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	pb "github.com/lavendervale/lavendervale/api/lavendervale/v1"
	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/program"
	"github.com/lavendervale/lavendervale/timer"
)

const (
	// DefaultRetryTime is the default of Config.RetryTime.
	DefaultRetryTime = 15 * time.Second
	// firstRetryDelay and maxRetryDelay are the first and the longest delay of the
	// exponential backoff between attempts.
	firstRetryDelay = 50 * time.Millisecond
	maxRetryDelay   = 2 * time.Second
)

// Client sends requests to an entry on behalf of one caller. It is safe for concurrent use.
type Client struct {
	service   lavendervalev1connect.ProgramServiceClient
	key       string
	retryTime time.Duration
}

// Config configures a Client.
type Config struct {
	// URL is the base URL of the entry, such as http://127.0.0.1:7400.
	URL string
	// Key is the caller's secret key, sent as a bearer token.
	Key string
	// HTTP is the HTTP client to use; nil means http.DefaultClient.
	HTTP *http.Client
	// RetryTime limits how long one request is retried, counted from its first attempt.
	// Zero means DefaultRetryTime; a negative value disables retries.
	RetryTime time.Duration
}

// New returns a Client. It does not connect yet.
func New(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = http.DefaultClient
	}
	if c.RetryTime == 0 {
		c.RetryTime = DefaultRetryTime
	}
	return &Client{service: lavendervalev1connect.NewProgramServiceClient(c.HTTP, c.URL), key: c.Key, retryTime: c.RetryTime}
}

// NewKey returns a new idempotency key for a program, a UUIDv7.
func NewKey() (string, error) {
	key, err := uuid.NewV7()
	return key.String(), err
}

// StartConfig configures a program to start.
type StartConfig struct {
	// Class is the name of the program's class.
	Class string
	// Key is an idempotency key from NewKey. Starting again with the same key returns the
	// same program.
	Key string
	// BudgetTokens is the number of tokens that the program may spend; 0 means the budget
	// of the class.
	BudgetTokens int64
}

// Start starts a program.
func (c *Client) Start(ctx context.Context, s StartConfig) (*Program, error) {
	return c.start(ctx, &pb.StartRequest{Class: s.Class, Key: s.Key, BudgetTokens: s.BudgetTokens})
}

func (c *Client) start(ctx context.Context, req *pb.StartRequest) (*Program, error) {
	var reply *connect.Response[pb.StartResponse]
	err := c.retry(ctx, "start program", func() error {
		var err error
		reply, err = c.service.Start(ctx, newRequest(c, req))
		return err
	})
	if err != nil {
		return nil, err
	}
	return &Program{
		client: c, id: reply.Msg.GetProgram(), handle: reply.Msg.GetHandle(), nextNumber: reply.Msg.GetNextNumber(),
		budgetLeft: reply.Msg.GetBudgetTokens(), endpoint: reply.Msg.GetEndpoint(),
	}, nil
}

// Resume returns the program that a handle from Program.Handle refers to. It reads the
// current state of the program from the entry.
func (c *Client) Resume(ctx context.Context, handle string) (*Program, error) {
	p := &Program{client: c, handle: handle}
	if _, err := p.Get(ctx); err != nil {
		return nil, err
	}
	return p, nil
}

// newRequest returns a request that carries the message and the caller's key.
func newRequest[T any](c *Client, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+c.key)
	return r
}

// retry calls f until it succeeds, fails with an error that is not retryable, ctx ends, or
// the next attempt would start after the retry time. Delays back off exponentially and are
// at least those that the errors recommend. The outcome of the error is NotRun only if no
// attempt was in doubt, or if the last one was decided by the home, which knows of the others.
func (c *Client) retry(ctx context.Context, op string, f func() error) error {
	inDoubt := false
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = firstRetryDelay
	backOff.MaxInterval = maxRetryDelay
	deadline := time.Now().Add(c.retryTime)
	for {
		err := f()
		if err == nil {
			return nil
		}
		callErr := newError(op, err)
		if inDoubt && callErr.outcome == program.NotRun && callErr.retryable() {
			callErr.outcome = program.InDoubt
		}
		inDoubt = inDoubt || callErr.outcome == program.InDoubt
		delay := max(backOff.NextBackOff(), callErr.RetryAfter())
		if ctx.Err() != nil || !callErr.retryable() || time.Now().Add(delay).After(deadline) {
			return callErr
		}
		if timer.Sleep(ctx, delay) != nil {
			return callErr
		}
	}
}
