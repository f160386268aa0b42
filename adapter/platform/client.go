package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/lavendervale/lavendervale/adapter/transport"
	"github.com/lavendervale/lavendervale/fleet"
)

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 5 * time.Second
	maxIdleConns   = 16
	// maxResponseBytes limits the part of a response that is read; a longer one fails to
	// decode.
	maxResponseBytes = 64 << 20
	// maxErrorBytes limits the part of an error response that is read for the message.
	maxErrorBytes = 4 << 10
)

// Client reads and appends to the log of the platform and reads its list of instances.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// Config describes a Client.
type Config struct {
	// Address is the IP address and port of the platform.
	Address string
}

// New returns a client of the platform at c.Address. It does not connect yet.
func New(c Config) *Client {
	t := transport.New(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
	})
	return &Client{baseURL: "http://" + c.Address, httpClient: &http.Client{Transport: t, Timeout: requestTimeout}}
}

// Close closes the idle connections. Requests in progress continue.
func (c *Client) Close() { c.httpClient.CloseIdleConnections() }

// Append appends an entry with the given data to a stream and returns its offset. The
// error is a *fleet.Error; after one of KindUnknown the entry may have been appended.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	const op = "append to log"
	var response AppendReply
	requestURL := c.baseURL + "/streams/" + url.PathEscape(stream)
	if err := c.roundTrip(ctx, op, http.MethodPost, requestURL, data, &response); err != nil {
		return 0, err
	}
	return response.Offset, nil
}

// Read returns up to limit entries of a stream, starting at fromOffset. If the log no
// longer has that offset, the error is of fleet.KindExpired and the page is returned as
// well, as its FirstOffset is the oldest offset that can be read.
func (c *Client) Read(ctx context.Context, stream string, fromOffset int64, limit int) (fleet.LogPage, error) {
	const op = "read log"
	requestURL := fmt.Sprintf("%s/streams/%s?from=%d&limit=%d", c.baseURL, url.PathEscape(stream), fromOffset, limit)
	var response ReadReply
	if err := c.roundTrip(ctx, op, http.MethodGet, requestURL, nil, &response); err != nil {
		return fleet.LogPage{}, err
	}
	entries := make([]fleet.LogEntry, 0, len(response.Entries))
	for _, e := range response.Entries {
		entries = append(entries, fleet.NewLogEntry(e.Offset, e.Data, e.Time))
	}
	page := fleet.NewLogPage(response.First, response.Next, entries)
	if fromOffset < response.First {
		return page, fleet.Errorf(op, fleet.KindExpired, "offset %d has expired, the oldest retained one is %d", fromOffset, response.First)
	}
	return page, nil
}

// Instances returns the instances that are running, leaving ones included. The platform
// updates the list with a delay.
func (c *Client) Instances(ctx context.Context) ([]fleet.Instance, error) {
	const op = "read instance list"
	var response []InstanceMessage
	if err := c.roundTrip(ctx, op, http.MethodGet, c.baseURL+"/instances", nil, &response); err != nil {
		return nil, err
	}
	instances := make([]fleet.Instance, 0, len(response))
	for _, m := range response {
		role, err := fleet.ParseRole(m.Role)
		if err != nil {
			return nil, err
		}
		instances = append(instances, fleet.NewInstance(fleet.InstanceConfig{
			Name: m.Name, Address: m.Address, Domain: m.Domain, Role: role, Service: m.Service, Leaving: m.Leaving,
		}))
	}
	return instances, nil
}

// roundTrip sends a request and decodes the JSON response into response. The error is a
// *fleet.Error: its kind is KindUnavailable if the platform did not take the request,
// KindInvalid if it rejected it, and KindUnknown if the request may have taken effect.
func (c *Client) roundTrip(ctx context.Context, op, method, requestURL string, body []byte, response any) error {
	req, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return fleet.Errorf(op, fleet.KindInvalid, "%w", err)
	}
	// With GetBody, net/http could resend the request and append an entry twice.
	req.GetBody = nil
	httpResponse, err := c.httpClient.Do(req)
	if err != nil {
		return requestError(op, err)
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		return statusError(op, httpResponse)
	}
	if err := json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes)).Decode(response); err != nil {
		return fleet.Errorf(op, fleet.KindUnknown, "decode response: %w", err)
	}
	return nil
}

// requestError converts the error of a request without a response. If the connection could
// not be opened, the request had no effect.
func requestError(op string, err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fleet.Errorf(op, fleet.KindUnavailable, "%w", err)
	}
	return fleet.Errorf(op, fleet.KindUnknown, "%w", err)
}

// statusError converts a response with an error status.
func statusError(op string, resp *http.Response) error {
	responseText, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	kind := fleet.KindUnknown
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		kind = fleet.KindUnavailable
	case http.StatusBadRequest, http.StatusNotFound:
		kind = fleet.KindInvalid
	}
	return fleet.Errorf(op, kind, "platform returned status %s: %s", resp.Status, bytes.TrimSpace(responseText))
}
