package transport

import (
	"context"
	"net"
	"net/http"
	"strings"
	"unicode"
)

// MinStatus is the lowest status of HTTP.
const MinStatus = 100

// Transport is an http.RoundTripper over connections of type Conn that returns valid responses
// only.
type Transport struct {
	*http.Transport
}

// New returns a Transport that uses base, whose DialContext must be set and open connections without
// TLS. The caller must not use base any more.
func New(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{Transport: base}
}

// RoundTrip sends a request and returns the response. Its errors are those of http.Transport and of
// Check.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// Check returns an error of KindMalformed for a response that net/http accepts although it is not
// valid HTTP: its status is below 100, or the name of a header holds a blank or a control character.
func Check(response *http.Response) error {
	const op = "check response"
	if response.StatusCode < MinStatus {
		return Errorf(op, KindMalformed, "status %q is below %d", response.Status, MinStatus)
	}
	for name := range response.Header {
		if strings.ContainsFunc(name, isBlankOrControl) {
			return Errorf(op, KindMalformed, "name %q of a header holds a blank or a control character", name)
		}
	}
	return nil
}

func isBlankOrControl(r rune) bool { return r == ' ' || unicode.IsControl(r) }
