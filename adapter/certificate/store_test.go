package certificate_test

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/lavendervale/lavendervale/adapter/certificate"
	"github.com/lavendervale/lavendervale/adapter/certificate/certificatetest"
)

func newStore(t *testing.T, cert, key, authorities string) *certificate.Store {
	t.Helper()
	s, err := certificate.NewStore(certificate.Config{CertificateFile: cert, KeyFile: key, AuthoritiesFile: authorities})
	require.NoError(t, err)
	return s
}

// handshake connects a client to a server and returns the serial number of the server's
// certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	serverErr := make(chan error, 1)
	go func() {
		serverConn, err := l.Accept()
		if err != nil {
			serverErr <- err
			return
		}
		tlsConn := tls.Server(serverConn, server)
		err = tlsConn.HandshakeContext(context.Background())
		if err == nil {
			_, err = tlsConn.Write([]byte("x"))
		}
		_ = serverConn.Close()
		serverErr <- err
	}()
	clientConn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer clientConn.Close()
	tlsConn := tls.Client(clientConn, client)
	if err := tlsConn.HandshakeContext(context.Background()); err != nil {
		_ = clientConn.Close()
		<-serverErr
		return 0, err
	}
	var oneByte [1]byte
	if _, err := tlsConn.Read(oneByte[:]); err != nil {
		return 0, err
	}
	return tlsConn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-serverErr
}

func TestPeersMustBeSignedByTheAuthority(t *testing.T) {
	dir := t.TempDir()
	ours, theirs := certificatetest.NewAuthority(t, dir, "ours"), certificatetest.NewAuthority(t, dir, "theirs")
	serverCert, serverKey := ours.Issue(t, dir, "server", 10)
	clientCert, clientKey := ours.Issue(t, dir, "client", 11)
	foreignCert, foreignKey := theirs.Issue(t, dir, "foreign", 12)
	server := newStore(t, serverCert, serverKey, ours.CertificateFile())
	tests := []struct {
		name   string
		server *tls.Config
		client *tls.Config
		fails  bool
	}{
		{name: "both signed", server: server.ServerConfig(true), client: newStore(t, clientCert, clientKey, ours.CertificateFile()).ClientConfig()},
		{name: "foreign client", server: server.ServerConfig(true), client: newStore(t, foreignCert, foreignKey, ours.CertificateFile()).ClientConfig(), fails: true},
		{name: "foreign server", server: newStore(t, foreignCert, foreignKey, ours.CertificateFile()).ServerConfig(true), client: newStore(t, clientCert, clientKey, ours.CertificateFile()).ClientConfig(), fails: true},
		{name: "client without a certificate", server: server.ServerConfig(true), client: &tls.Config{InsecureSkipVerify: true}, fails: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := handshake(t, test.server, test.client)
			require.Equal(t, test.fails, err != nil, "%v", err)
		})
	}
}

// TestReplacedFilesAreReloaded checks that a replaced certificate is used without a
// restart, and that a file that is only half written does not displace it.
func TestReplacedFilesAreReloaded(t *testing.T) {
	dir := t.TempDir()
	ours := certificatetest.NewAuthority(t, dir, "ours")
	cert, key := ours.Issue(t, dir, "server", 10)
	server := newStore(t, cert, key, ours.CertificateFile())
	client := newStore(t, cert, key, ours.CertificateFile()).ClientConfig()
	ours.Issue(t, dir, "server", 20)
	later := time.Now().Add(time.Minute)
	require.NoError(t, os.Chtimes(cert, later, later))
	serial, err := handshake(t, server.ServerConfig(true), client)
	require.NoError(t, err)
	require.EqualValues(t, 20, serial)
	require.NoError(t, os.WriteFile(cert, []byte("half a file"), 0o600))
	serial, err = handshake(t, server.ServerConfig(true), client)
	require.NoError(t, err)
	require.EqualValues(t, 20, serial, "the last good certificate stays in use while the file is malformed")
}

func TestErrorNamesUnreadableFile(t *testing.T) {
	_, err := certificate.NewStore(certificate.Config{CertificateFile: "no-such-file.crt", KeyFile: "no-such-file.key"})
	require.ErrorContains(t, err, "no-such-file.crt")
}
