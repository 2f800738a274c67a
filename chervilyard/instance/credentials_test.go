package instance

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chervilyard.example/yard/setting"
)

// authority is a certificate authority that signs one fleet's certificates.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{key: newKey(t), dir: t.TempDir()}
	a.cert = &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.write(t, "ca", a.cert, a.key)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func (a *authority) write(t *testing.T, name string, c *x509.Certificate, k *ecdsa.PrivateKey) {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	for file, block := range map[string]*pem.Block{
		name + ".pem": {Type: "CERTIFICATE", Bytes: der}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(filepath.Join(a.dir, file), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// issue writes a certificate that expires at notAfter, and returns the settings
// that name its files.
func (a *authority) issue(t *testing.T, name string, notAfter time.Time) setting.TLS {
	t.Helper()
	a.write(t, name, &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: notAfter}, newKey(t))
	return setting.TLS{CertFile: filepath.Join(a.dir, name+".pem"), KeyFile: filepath.Join(a.dir, name+".key"), CAFile: filepath.Join(a.dir, "ca.pem")}
}

// handshake runs a TLS handshake between a server and a client over a pipe and
// returns the error of each side.
func handshake(t *testing.T, server, client setting.TLS) (serverErr, clientErr error) {
	t.Helper()
	s, err := peerCredentials(server)
	if err != nil {
		t.Fatal(err)
	}
	c, err := peerCredentials(client)
	if err != nil {
		t.Fatal(err)
	}
	serverPipe, clientPipe := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn, _, err := s.ServerHandshake(serverPipe)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		_ = serverPipe.Close() // unblocks the client if the handshake failed
		done <- err
	}()
	conn, _, clientErr := c.ClientHandshake(context.Background(), "peer", clientPipe)
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = clientPipe.Close() // unblocks the server if the handshake failed
	return <-done, clientErr
}

// TestPeerAuthentication guards against connections between instances where
// either side's certificate is expired or is not signed by the fleet's
// authority.
func TestPeerAuthentication(t *testing.T) {
	fleet, otherAuthority := newAuthority(t), newAuthority(t)
	valid, expired := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	a, b := fleet.issue(t, "a", valid), fleet.issue(t, "b", valid)
	if s, c := handshake(t, a, b); s != nil || c != nil {
		t.Errorf("handshake of two fleet members failed: server %v, client %v", s, c)
	}
	foreign := otherAuthority.issue(t, "x", valid)
	forged := foreign
	forged.CAFile = a.CAFile // trusts the fleet's authority but is not signed by it
	for name, other := range map[string]setting.TLS{"foreign": foreign, "forged": forged, "expired": fleet.issue(t, "old", expired)} {
		if s, _ := handshake(t, a, other); s == nil {
			t.Errorf("server accepted a client with a %s certificate", name)
		}
		if _, c := handshake(t, other, a); c == nil {
			t.Errorf("client accepted a server with a %s certificate", name)
		}
	}
}

// TestCertificatesReload checks that replaced certificate files take effect
// without a restart, and that the files are not read on each call.
func TestCertificatesReload(t *testing.T) {
	fleet := newAuthority(t)
	c := &certificates{files: fleet.issue(t, "a", time.Now().Add(time.Hour))}
	now := time.Now()
	first, _, err := c.load(now)
	if err != nil {
		t.Fatal(err)
	}
	fleet.issue(t, "a", time.Now().Add(2*time.Hour))
	if again, _, _ := c.load(now.Add(time.Second)); again != first {
		t.Error("certificate files were read again at 1 s, before the reload interval")
	}
	if second, _, err := c.load(now.Add(certReloadInterval)); err != nil || second == first {
		t.Errorf("replaced certificate files were not read: %v", err)
	}
}
