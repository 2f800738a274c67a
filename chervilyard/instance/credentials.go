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

const certReloadInterval = 10 * time.Second

// certificates caches the key pair and the certificate authority that are used
// between instances. It reads the files again once the cached copy is older
// than certReloadInterval, so that certificates can be replaced without a
// restart. It is safe for concurrent use.
type certificates struct {
	files setting.TLS

	mu     sync.Mutex
	cert   *tls.Certificate
	pool   *x509.CertPool
	readAt time.Time
}

// peerCredentials returns the mutual TLS credentials for connections between
// instances, or nil if the settings disable TLS.
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
		// Peers are addressed by IP address, so host name verification does not
		// apply. VerifyConnection checks the chain against the current authority.
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection verifies the chain
		VerifyConnection:   c.verify,
	}
	return credentials.NewTLS(cfg), nil
}

// verify returns an error unless the peer's certificate was signed by the
// fleet's certificate authority and is valid now.
func (c *certificates) verify(s tls.ConnectionState) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("instance: peer sent no certificate")
	}
	_, pool, err := c.load(time.Now())
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// load returns the cached certificate and authority, after reading the files
// again if the reload interval has passed. If the files cannot be read, it
// returns the cached copy; it fails only if there is none.
func (c *certificates) load(now time.Time) (*tls.Certificate, *x509.CertPool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cert != nil && now.Sub(c.readAt) < certReloadInterval {
		return c.cert, c.pool, nil
	}
	cert, pool, err := c.readFiles()
	if err != nil {
		if c.cert != nil {
			return c.cert, c.pool, nil // the files may be only partly replaced; the next call retries
		}
		return nil, nil, err
	}
	c.cert, c.pool, c.readAt = cert, pool, now
	return cert, pool, nil
}

func (c *certificates) readFiles() (*tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.LoadX509KeyPair(c.files.CertFile, c.files.KeyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("instance: read certificate: %w", err)
	}
	ca, err := os.ReadFile(c.files.CAFile)
	if err != nil {
		return nil, nil, fmt.Errorf("instance: read certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, nil, fmt.Errorf("instance: no PEM certificate in authority file %s", c.files.CAFile)
	}
	return &cert, pool, nil
}
