package instance

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"

	"chervilyard.example/yard/setting"
)

const reloadTime = 10 * time.Second // between looks at the certificate files

// certificates reads the peers' certificates again when they are older than
// reloadTime, so that they are replaced without a restart.
type certificates struct {
	files setting.TLS

	mu   sync.Mutex
	cert *tls.Certificate
	pool *x509.CertPool
	read time.Time
}

// peerCredentials returns what proves this instance to others and others to
// it, or nil where the settings choose no protection.
func peerCredentials(files setting.TLS) (credentials.TransportCredentials, error) {
	if files.Insecure {
		return nil, nil
	}
	c := &certificates{files: files}
	if _, _, err := c.load(time.Now()); err != nil {
		return nil, err
	}
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _, err := c.load(time.Now())
			return cert, err
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, err := c.load(time.Now())
			return cert, err
		},
		// Peers are reached by IP number; VerifyConnection checks the chain
		// against the present authority in place of the usual check.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection does the check
		VerifyConnection:   c.verify,
	}
	return credentials.NewTLS(cfg), nil
}

// verify accepts a peer whose certificate the fleet's authority signed.
func (c *certificates) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("instance: the peer has no certificate")
	}
	_, pool, err := c.load(time.Now())
	if err != nil {
		return err
	}
	between := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

func (c *certificates) load(now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cert != nil && now.Sub(c.read) < reloadTime {
		return c.cert, c.pool, nil
	}
	cert, pool, err := c.readFiles()
	if err != nil {
		if c.cert != nil {
			return c.cert, c.pool, nil // half-replaced files; the next look finds both
		}
		return nil, nil, err
	}
	c.cert, c.pool, c.read = cert, pool, now
	return cert, pool, nil
}

func (c *certificates) readFiles() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return nil, nil, fmt.Errorf("instance: read certificate: %w", err)
	}
	ca, err := os.ReadFile(c.files.CA)
	if err != nil {
		return nil, nil, fmt.Errorf("instance: read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, nil, fmt.Errorf("instance: no certificate in %s", c.files.CA)
	}
	return &cert, pool, nil
}
