package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// checkInterval is the least time between two checks whether the files have changed.
	checkInterval = 5 * time.Second
)

// Store holds the certificate of this process and the authorities that sign those of
// peers. It rereads their files during TLS handshakes.
type Store struct {
	config Config
	// mu guards the fields below.
	mu sync.Mutex
	// lastCheckAt is when a handshake last checked the files.
	lastCheckAt time.Time
	// modTimes holds the modification times of the files of certificate, key and
	// authorities when they were last loaded.
	modTimes [3]time.Time
	// keyPair is the certificate of this process with its key.
	keyPair *tls.Certificate
	// authorities is nil when no file of authorities is configured.
	authorities *x509.CertPool
}

// Config describes a Store.
type Config struct {
	// CertificateFile and KeyFile are the paths of the certificate of this process and of
	// its private key, in PEM.
	CertificateFile string
	KeyFile         string
	// AuthoritiesFile is the path of the certificates of the authorities that sign those
	// of peers, in PEM. It may be empty when no peer is verified.
	AuthoritiesFile string
}

// NewStore reads the files of c. Its error names the file that can't be read.
func NewStore(c Config) (*Store, error) {
	s := &Store{config: c}
	if err := s.loadIfChanged(); err != nil {
		return nil, err
	}
	return s, nil
}

// loadIfChanged reads the files when the modification time of one has changed. On an error
// the store keeps its certificates. s.mu must be held, unless the store is not shared yet.
func (s *Store) loadIfChanged() error {
	modTimes, err := s.readModTimes()
	if err != nil {
		return err
	}
	if s.keyPair != nil && modTimes == s.modTimes {
		return nil
	}
	keyPair, err := tls.LoadX509KeyPair(s.config.CertificateFile, s.config.KeyFile)
	if err != nil {
		return trace.Wrap(err, "load certificate %s", s.config.CertificateFile)
	}
	authorities, err := s.readAuthorities()
	if err != nil {
		return err
	}
	s.modTimes, s.keyPair, s.authorities = modTimes, &keyPair, authorities
	return nil
}

// readModTimes returns the modification times of the files of certificate, key and
// authorities, the zero time for a file that is not configured.
func (s *Store) readModTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, path := range []string{s.config.CertificateFile, s.config.KeyFile, s.config.AuthoritiesFile} {
		if path == "" {
			continue
		}
		info, err := os.Stat(path)
		if err != nil {
			return modTimes, trace.ConvertSystemError(err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

// readAuthorities returns nil when no file of authorities is configured.
func (s *Store) readAuthorities() (*x509.CertPool, error) {
	if s.config.AuthoritiesFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.config.AuthoritiesFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return nil, trace.BadParameter("%s contains no certificate in PEM", s.config.AuthoritiesFile)
	}
	return authorities, nil
}

// current returns the certificate and the authorities, after checkInterval those of
// changed files. When a file can't be read, the last good ones stay in use.
func (s *Store) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.lastCheckAt) >= checkInterval {
		s.lastCheckAt = now
		_ = s.loadIfChanged()
	}
	return s.keyPair, s.authorities
}

// ServerConfig returns the configuration of a listener. With requireClientCert a client
// must present a certificate that one of the authorities has signed.
func (s *Store) ServerConfig(requireClientCert bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			keyPair, authorities := s.current()
			config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*keyPair}, NextProtos: []string{"h2", "http/1.1"}}
			if requireClientCert {
				config.ClientAuth = tls.RequireAndVerifyClientCert
				config.ClientCAs = authorities
			}
			return config, nil
		},
	}
}

// ClientConfig returns the configuration of a connection to a peer. The certificate of the
// peer must be signed by one of the authorities; the name in it is not compared with the
// address, as the addresses of processes can change at any time.
func (s *Store) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			keyPair, _ := s.current()
			return keyPair, nil
		},
		// verifyPeer verifies the chain, against the authorities at the time of the
		// handshake.
		InsecureSkipVerify: true, //nolint:gosec
		VerifyConnection:   s.verifyPeer,
	}
}

// verifyPeer verifies that an authority signed the server certificate of a peer.
func (s *Store) verifyPeer(state tls.ConnectionState) error {
	_, authorities := s.current()
	if authorities == nil || len(state.PeerCertificates) == 0 {
		return trace.AccessDenied("can't verify the peer: it sent no certificate or no authorities are configured")
	}
	options := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return trace.Wrap(err)
}
