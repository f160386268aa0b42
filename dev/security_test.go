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

// startSecureSite starts a site that speaks TLS only.
func startSecureSite(t *testing.T) *dev.Site {
	t.Helper()
	dir := t.TempDir()
	authority := certificatetest.NewAuthority(t, dir, "authority")
	cert, key := authority.Issue(t, dir, "process", 10)
	store, err := certificate.NewStore(certificate.Config{CertificateFile: cert, KeyFile: key, AuthoritiesFile: authority.CertificateFile()})
	require.NoError(t, err)
	text, err := os.ReadFile(authority.CertificateFile())
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(text))
	return start(t, dev.Config{
		Engines: 2, Domains: 2, Certificates: store,
		HTTP: &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}, ForceAttemptHTTP2: true}},
	})
}

func TestWholePathOverTLS(t *testing.T) {
	site := startSecureSite(t)
	require.NoError(t, oneProgram(site, "entry-1"))
	conn, err := net.Dial("tcp", site.Addresses("model-1").Peers)
	require.NoError(t, err)
	defer conn.Close()
	plain := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	if err = plain.Handshake(); err == nil {
		_, err = plain.Read(make([]byte, 1))
	}
	require.Error(t, err, "a process without a certificate gets no answer")
}

func TestCallersAreKeptApart(t *testing.T) {
	site := startSite(t, 1)
	p := startProgram(t, site, "entry-1", "quote")
	_, err := p.Ask(context.Background(), user("mine"), 4, nil)
	require.NoError(t, err)
	tests := []struct {
		name string
		key  string
		kind string
	}{
		{name: "another caller", key: site.OtherCallerKey(), kind: program.KindDenied.String()},
		{name: "an unknown key", key: "no-key-that-is-known-here", kind: program.KindUnauthenticated.String()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			other := client.New(client.Config{URL: site.URL("entry-1"), Key: test.key, RetryTime: -1})
			_, err := other.Resume(context.Background(), p.Handle())
			var failed *client.Error
			require.ErrorAs(t, err, &failed)
			require.Equal(t, test.kind, failed.Kind())
			require.Equal(t, program.NotRun, failed.Outcome())
		})
	}
	state, err := p.Get(context.Background())
	require.NoError(t, err)
	require.EqualValues(t, 2, state.GetNextNumber(), "nothing of the program has changed")
}
