package dev_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/certificate"
	"github.com/lavendervale/lavendervale/adapter/certificate/certificatetest"
	"github.com/lavendervale/lavendervale/client"
	"github.com/lavendervale/lavendervale/dev"
	"github.com/lavendervale/lavendervale/program"
)

// startTLSCluster starts a cluster whose processes accept only TLS connections.
func startTLSCluster(t *testing.T) *dev.Cluster {
	t.Helper()
	dir := t.TempDir()
	authority := certificatetest.NewAuthority(t, dir, "authority")
	cert, key := authority.Issue(t, dir, "process", 10)
	certificates, err := certificate.NewStore(certificate.Config{CertificateFile: cert, KeyFile: key, AuthoritiesFile: authority.CertificateFile()})
	require.NoError(t, err)
	authorityPEM, err := os.ReadFile(authority.CertificateFile())
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(authorityPEM))
	return startCluster(t, dev.Config{
		Engines: 2, Domains: 2, Certificates: certificates,
		HTTPClient: &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, ForceAttemptHTTP2: true}},
	})
}

// TestProgramRunsOverTLS runs a program over TLS, and connects to a peer listener without a
// client certificate, which must fail.
func TestProgramRunsOverTLS(t *testing.T) {
	cluster := startTLSCluster(t)
	require.NoError(t, runProgram(cluster, "entry-1"))
	conn, err := net.Dial("tcp", cluster.Addresses("model-1").Peers)
	require.NoError(t, err)
	defer conn.Close()
	withoutCertificate := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	if err = withoutCertificate.Handshake(); err == nil {
		_, err = withoutCertificate.Read(make([]byte, 1))
	}
	require.Error(t, err, "a peer without a certificate got an answer")
}

// TestProgramIsInaccessibleToOtherCallers resumes a caller's program with the key of another
// caller and with an unknown key. Both must be refused, and the program must stay unchanged.
func TestProgramIsInaccessibleToOtherCallers(t *testing.T) {
	cluster := startFastCluster(t, 1)
	p := startProgram(t, cluster, "entry-1", "quote")
	_, err := p.Ask(context.Background(), userMessage("mine"), 4, nil)
	require.NoError(t, err)
	tests := []struct {
		name string
		key  string
		kind string
	}{
		{name: "another caller", key: cluster.OtherCallerKey(), kind: program.KindDenied.String()},
		{name: "an unknown key", key: "no-key-that-is-known-here", kind: program.KindUnauthenticated.String()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := client.New(client.Config{URL: cluster.URL("entry-1"), Key: test.key, RetryTime: -1})
			_, err := other.Resume(context.Background(), p.Handle())
			var clientErr *client.Error
			require.ErrorAs(t, err, &clientErr)
			require.Equal(t, test.kind, clientErr.Kind())
			require.Equal(t, program.NotRun, clientErr.Outcome())
		})
	}
	state, err := p.Get(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 2, state.GetNextNumber(), "a refused request changed the program")
}
