// Package key is a caller's secret as the gateway keeps it: only its hash.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const secretBytes = 24

// Key names a customer's secret by its hash. The zero value matches nothing.
type Key struct {
	id       string
	hash     string
	customer string
}

// New returns a key with the identifier that operators use, the hash of its
// secret and the customer that it stands for.
func New(id, hash, customer string) Key {
	return Key{id: id, hash: hash, customer: customer}
}

// ID returns the identifier, which is no secret.
func (k Key) ID() string { return k.id }

// Hash returns the hash of the secret.
func (k Key) Hash() string { return k.hash }

// Customer returns the name of the customer whose key it is.
func (k Key) Customer() string { return k.customer }

// Hash returns the hexadecimal SHA-256 of a secret. Issued secrets carry 192
// random bits, so that a fast hash is enough.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Issue returns a new random secret and the key for it. The secret is shown
// once and kept nowhere.
func Issue(customer string) (Key, string) {
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	secret := "ck_" + base64.RawURLEncoding.EncodeToString(raw)
	hash := Hash(secret)
	return New(hash[:12], hash, customer), secret
}
