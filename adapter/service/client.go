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

	"github.com/lavendervale/lavendervale/order"
)

const (
	dialTimeout = 2 * time.Second
	// maxReplyBytes bounds the answer of a service.
	maxReplyBytes = 4 << 20
	maxIdleConns  = 64
	// keyHeader carries the idempotency key.
	keyHeader = "Idempotency-Key"
)

// Client calls the service beside the process.
type Client struct {
	base   string
	repeat *http.Client
	once   *http.Client
}

// Config describes a Client.
type Config struct {
	// Address is the IP address and port of the service.
	Address string
	// Timeout bounds one call, 0 for no bound.
	Timeout time.Duration
}

// New returns a client of the service at an address.
func New(c Config) *Client {
	dial := (&net.Dialer{Timeout: dialTimeout}).DialContext
	// Orders get a connection each: one that the service closed while it was
	// idle would leave an order in doubt.
	once := &http.Transport{DialContext: dial, DisableKeepAlives: true}
	repeat := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdleConns}
	return &Client{
		base: "http://" + c.Address, once: &http.Client{Transport: once, Timeout: c.Timeout},
		repeat: &http.Client{Transport: repeat, Timeout: c.Timeout},
	}
}

// Close ends the idle connections.
func (c *Client) Close() { c.repeat.CloseIdleConnections() }

// Do makes one call and never repeats it; an error of order.KindNotRun or
// order.KindRefused proves that it had no effect.
func (c *Client) Do(ctx context.Context, r order.Request) ([]byte, error) {
	const op = "call service"
	target := c.base + "/" + url.PathEscape(r.Method())
	// A body that can't be read again keeps net/http from sending it twice.
	body := io.NopCloser(bytes.NewReader(r.Payload()))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body)
	if err != nil {
		return nil, order.Errorf(op, order.KindNotRun, "%w", err)
	}
	req.Header.Set(keyHeader, r.Key().String())
	req.Header.Set("Content-Type", "application/json")
	req.ContentLength = int64(len(r.Payload()))
	client := c.once
	if r.Idempotent() {
		client = c.repeat
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, requestError(op, err)
	}
	defer resp.Body.Close()
	return readReply(op, resp)
}

func requestError(op string, err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return order.Errorf(op, order.KindNotRun, "%w", err)
	}
	return order.FinalInDoubtf(op, "%w", err)
}

func readReply(op string, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	switch {
	case err != nil:
		return nil, order.FinalInDoubtf(op, "answer was cut: %w", err)
	case len(body) > maxReplyBytes:
		return nil, order.FinalInDoubtf(op, "answer is longer than %d bytes", maxReplyBytes)
	case resp.StatusCode < http.StatusMultipleChoices:
		return body, nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return nil, order.Errorf(op, order.KindOverloaded, "service answered %s", resp.Status)
	case resp.StatusCode < http.StatusInternalServerError:
		return nil, order.Errorf(op, order.KindRefused, "service answered %s: %s", resp.Status, bytes.TrimSpace(body))
	}
	return nil, order.FinalInDoubtf(op, "service answered %s", resp.Status)
}
