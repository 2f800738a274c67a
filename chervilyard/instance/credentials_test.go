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

// authority signs the certificates of one fleet.
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

// issue returns the files of an instance whose certificate ends at a time.
func (a *authority) issue(t *testing.T, name string, end time.Time) setting.TLS {
	t.Helper()
	a.write(t, name, &x509.Certificate{SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: end}, newKey(t))
	return setting.TLS{Cert: filepath.Join(a.dir, name+".pem"), Key: filepath.Join(a.dir, name+".key"), CA: filepath.Join(a.dir, "ca.pem")}
}

// shake has a client and a server prove themselves to each other.
func shake(t *testing.T, server, client setting.TLS) (serverErr, clientErr error) {
	t.Helper()
	s, err := peerCredentials(server)
	if err != nil {
		t.Fatal(err)
	}
	c, err := peerCredentials(client)
	if err != nil {
		t.Fatal(err)
	}
	left, right := net.Pipe()
	done := make(chan error, 1)
	go func() {
		conn, _, err := s.ServerHandshake(left)
		if err == nil {
			_, err = conn.Write([]byte("x"))
		}
		_ = left.Close() // frees the client where the handshake failed
		done <- err
	}()
	conn, _, clientErr := c.ClientHandshake(context.Background(), "peer", right)
	if clientErr == nil {
		_, clientErr = conn.Read(make([]byte, 1))
	}
	_ = right.Close() // frees the server where the handshake failed
	return <-done, clientErr
}

// TestPeersProveThemselves checks that only instances with a valid certificate
// of the fleet's own authority talk to each other.
func TestPeersProveThemselves(t *testing.T) {
	fleet, stranger := newAuthority(t), newAuthority(t)
	later, earlier := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	a, b := fleet.issue(t, "a", later), fleet.issue(t, "b", later)
	if s, c := shake(t, a, b); s != nil || c != nil {
		t.Errorf("two of the fleet: %v, %v", s, c)
	}
	foreign := stranger.issue(t, "x", later)
	forged := foreign
	forged.CA = a.CA // trusts the fleet, but is not of it
	for name, other := range map[string]setting.TLS{"foreign": foreign, "forged": forged, "expired": fleet.issue(t, "old", earlier)} {
		if s, _ := shake(t, a, other); s == nil {
			t.Errorf("a server took a %s client", name)
		}
		if _, c := shake(t, other, a); c == nil {
			t.Errorf("a client took a %s server", name)
		}
	}
}

// TestCertificatesReload checks that replaced files are read without a restart.
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
		t.Error("files are read at each call")
	}
	if second, _, err := c.load(now.Add(reloadTime)); err != nil || second == first {
		t.Errorf("replaced files were not read: %v", err)
	}
}
