package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/lavendervale/lavendervale/adapter/transport"
	"github.com/lavendervale/lavendervale/order"
)

const (
	dialTimeout = 2 * time.Second
	// maxResponseBytes limits the body of a response; a longer one is an error.
	maxResponseBytes = 4 << 20
	maxIdleConns     = 64
	// idempotencyKeyHeader carries the key by which a service recognizes a request that
	// it has received before.
	idempotencyKeyHeader = "Idempotency-Key"
)

// Client sends requests to the plain service beside the process.
type Client struct {
	baseURL          string
	idempotentClient *http.Client
	orderClient      *http.Client
}

// Config describes a Client.
type Config struct {
	// Address is the IP address and port of the service.
	Address string
	// Timeout limits one call, including reading the response; 0 means no limit.
	Timeout time.Duration
}

// New returns a client of the service at c.Address. It does not connect yet.
func New(c Config) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	// Each order uses a new connection. On a reused one that the service closes at the
	// same moment, the order could fail after it was sent and would be in doubt.
	orderTransport := transport.New(&http.Transport{DialContext: dial, DisableKeepAlives: true})
	idempotentTransport := transport.New(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConns})
	return &Client{
		baseURL: "http://" + c.Address, orderClient: &http.Client{Transport: orderTransport, Timeout: c.Timeout},
		idempotentClient: &http.Client{Transport: idempotentTransport, Timeout: c.Timeout},
	}
}

// Close closes the idle connections. Requests in progress continue.
func (c *Client) Close() { c.idempotentClient.CloseIdleConnections() }

// Do sends one request, without retries, and returns the body of the response. The error
// is an *order.Error. KindNotRun (the service was not reached) and KindRefused (a status
// from 300 to 499) prove that the request had no effect. The others are KindOverloaded, for
// status 429, and KindInDoubt.
func (c *Client) Do(ctx context.Context, r order.Request) ([]byte, error) {
	const op = "call service"
	requestURL := c.baseURL + "/" + url.PathEscape(r.Method())
	// The type of the body hides that it can be read again, so net/http can't resend it.
	body := io.NopCloser(bytes.NewReader(r.Payload()))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, requestURL, body)
	if err != nil {
		return nil, order.Errorf(op, order.KindNotRun, "%w", err)
	}
	req.Header.Set(idempotencyKeyHeader, r.Key().String())
	req.Header.Set("Content-Type", "application/json")
	req.ContentLength = int64(len(r.Payload()))
	client := c.orderClient
	if r.Idempotent() {
		client = c.idempotentClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, requestError(op, err)
	}
	defer resp.Body.Close()
	return readResponse(op, resp)
}

// requestError converts the error of a request without a response. If the connection could
// not be opened, the request did not run.
func requestError(op string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return order.Errorf(op, order.KindNotRun, "%w", err)
	}
	return order.FinalInDoubtf(op, "%w", err)
}

func readResponse(op string, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, order.FinalInDoubtf(op, "reading the response failed: %w", err)
	case len(body) > maxResponseBytes:
		return nil, order.FinalInDoubtf(op, "response is longer than %d bytes", maxResponseBytes)
	case resp.StatusCode < http.StatusMultipleChoices:
		return body, nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, order.Errorf(op, order.KindOverloaded, "service returned status %s", resp.Status)
	case resp.StatusCode < http.StatusInternalServerError:
		return nil, order.Errorf(op, order.KindRefused, "service returned status %s: %s", resp.Status, bytes.TrimSpace(body))
	}
	return nil, order.FinalInDoubtf(op, "service returned status %s", resp.Status)
}
