// Package key defines API keys. The gateway stores only the hash of a key's secret.
package key

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const secretBytes = 24 // 192 bits

// Key is a customer's API key without its secret. It is immutable. The zero value
// matches no secret.
type Key struct {
	id       string
	hash     string
	customer string
}

// New returns a key with the identifier that operators use, the hash of the secret
// as returned by HashSecret, and the name of the customer.
func New(id, hash, customer string) Key {
	return Key{id: id, hash: hash, customer: customer}
}

// ID returns the key's identifier, which is not secret.
func (k Key) ID() string { return k.id }

// Hash returns the hash of the key's secret.
func (k Key) Hash() string { return k.hash }

// Customer returns the name of the customer that the key belongs to.
func (k Key) Customer() string { return k.customer }

// HashSecret returns the hexadecimal SHA-256 hash of a secret. Issued secrets have 192
// random bits, so they need no slow password hash.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Issue returns a new key for the customer and its random secret. The secret is not
// stored and cannot be recovered from the key.
func Issue(customer string) (Key, string) {
	random := make([]byte, secretBytes)
	_, _ = rand.Read(random) // crypto/rand.Read never returns an error
	secret := "ck_" + base64.RawURLEncoding.EncodeToString(random)
	hash := HashSecret(secret)
	return New(hash[:12], hash, customer), secret
}
