package main

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/netip"
	"os"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/lavendervale/lavendervale/api/lavendervale/v1/lavendervalev1connect"
	"github.com/lavendervale/lavendervale/client"
)

// connection holds what a client needs to reach one process.
type connection struct {
	baseURL    string
	httpClient *http.Client
}

// newConnection returns the connection to an IP address and port: TLS 1.3 when the
// authorities flag names a file of root certificates, plain HTTP otherwise.
func newConnection(c *cli.Command, address string) (*connection, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, cli.Exit(fmt.Sprintf("address %q is not an IP address and a port, such as 127.0.0.1:7400", address), exitInvalid)
	}
	path := c.String("authorities")
	if path == "" {
		return &connection{baseURL: "http://" + address, httpClient: http.DefaultClient}, nil
	}
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, cli.Exit(err, exitInvalid)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, cli.Exit(path+" contains no PEM certificate", exitInvalid)
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}, ForceAttemptHTTP2: true}
	return &connection{baseURL: "https://" + address, httpClient: &http.Client{Transport: transport}}, nil
}

// newOperatorClient returns a client of the operator interface at the admin address.
func newOperatorClient(c *cli.Command) (lavendervalev1connect.OperatorServiceClient, error) {
	conn, err := newConnection(c, c.String("admin"))
	if err != nil {
		return nil, err
	}
	return lavendervalev1connect.NewOperatorServiceClient(conn.httpClient, conn.baseURL), nil
}

// newCallerClient returns a client of the caller interface at the entry address.
func newCallerClient(c *cli.Command) (*client.Client, error) {
	conn, err := newConnection(c, c.String("entry"))
	if err != nil {
		return nil, err
	}
	return client.New(client.Config{URL: conn.baseURL, Key: c.String("caller-key"), HTTP: conn.httpClient}), nil
}

// authorizedRequest wraps a message in a request that carries the operator's key.
func authorizedRequest[T any](c *cli.Command, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+c.String("operator-key"))
	return r
}
