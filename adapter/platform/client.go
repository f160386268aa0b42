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

	"github.com/lavendervale/lavendervale/fleet"
)

const (
	dialTimeout    = 2 * time.Second
	requestTimeout = 5 * time.Second
	maxIdleConns   = 16
	// maxReplyBytes bounds one answer of the platform.
	maxReplyBytes = 64 << 20
	maxErrorBytes = 4 << 10
)

// Client speaks to the platform's log and instance list.
type Client struct {
	base string
	http *http.Client
}

// Config describes a Client.
type Config struct {
	// Address is the IP address and port of the platform.
	Address string
}

// New returns a client of the platform at an address.
func New(c Config) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
	}
	return &Client{base: "http://" + c.Address, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// Close ends the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Append adds data to a stream and returns its offset.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	const op = "append to log"
	var reply AppendReply
	target := c.base + "/streams/" + url.PathEscape(stream)
	if err := c.do(ctx, op, http.MethodPost, target, data, &reply); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// Read returns up to limit entries of a stream from an offset on; with an
// error of fleet.KindExpired the page still names the oldest offset kept.
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int) (fleet.LogPage, error) {
	const op = "read log"
	target := fmt.Sprintf("%s/streams/%s?from=%d&limit=%d", c.base, url.PathEscape(stream), from, limit)
	var reply ReadReply
	if err := c.do(ctx, op, http.MethodGet, target, nil, &reply); err != nil {
		return fleet.LogPage{}, err
	}
	entries := make([]fleet.LogEntry, 0, len(reply.Entries))
	for _, e := range reply.Entries {
		entries = append(entries, fleet.NewLogEntry(e.Offset, e.Data, e.Time))
	}
	page := fleet.NewLogPage(reply.First, reply.Next, entries)
	if from < reply.First {
		return page, fleet.Errorf(op, fleet.KindExpired, "offset %d is older than %d", from, reply.First)
	}
	return page, nil
}

// Instances returns the live and leaving instances, as of some time ago.
func (c *Client) Instances(ctx context.Context) ([]fleet.Instance, error) {
	const op = "read instance list"
	var reply []InstanceMessage
	if err := c.do(ctx, op, http.MethodGet, c.base+"/instances", nil, &reply); err != nil {
		return nil, err
	}
	list := make([]fleet.Instance, 0, len(reply))
	for _, m := range reply {
		role, err := fleet.ParseRole(m.Role)
		if err != nil {
			return nil, err
		}
		list = append(list, fleet.NewInstance(fleet.InstanceConfig{
			Name: m.Name, Address: m.Address, Domain: m.Domain, Role: role, Service: m.Service, Leaving: m.Leaving,
		}))
	}
	return list, nil
}

// do sends a request and decodes the answer into reply.
func (c *Client) do(ctx context.Context, op, method, target string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fleet.Errorf(op, fleet.KindInvalid, "%w", err)
	}
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		return requestError(op, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(op, resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(reply); err != nil {
		return fleet.Errorf(op, fleet.KindUnknown, "read answer: %w", err)
	}
	return nil
}

func requestError(op string, err error) error {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return fleet.Errorf(op, fleet.KindUnavailable, "%w", err)
	}
	return fleet.Errorf(op, fleet.KindUnknown, "%w", err)
}

func statusError(op string, resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	kind := fleet.KindUnknown
	switch resp.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		kind = fleet.KindUnavailable
	case http.StatusBadRequest, http.StatusNotFound:
		kind = fleet.KindInvalid
	}
	return fleet.Errorf(op, kind, "platform answered %s: %s", resp.Status, bytes.TrimSpace(text))
}
