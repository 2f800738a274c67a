// Package authenticate finds the customer whose key came with a request, and
// makes sure that the key goes no further.
package authenticate

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/outbound"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/refusal"
)

// Stage authenticates calls.
type Stage struct {
	// Document returns the document in force, or a refusal where there is none
	// that may be used.
	Document func() (*document.Document, error)
}

// Run sets the call's document, key and customer. A call without a key goes on
// without a customer; resolve lets it through on open routes only.
func (s *Stage) Run(c *call.Call) error {
	d, err := s.Document()
	if err != nil {
		return err
	}
	c.Document = d
	secret, err := bearer(c.Header)
	if err != nil {
		return err
	}
	if secret == "" {
		return missing(c)
	}
	k, ok := d.Key(key.Hash(secret))
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "key_unknown", "the key is not known or was withdrawn")
	}
	if astray(c, secret) {
		return refusal.NotRun(http.StatusBadRequest, "key_misplaced", "the key stands outside the Authorization header; it would reach a target")
	}
	owner, ok := d.Customer(k.Customer())
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "key_unknown", "the key's customer is not known")
	}
	c.KeyHash = k.Hash()
	c.Customer = owner
	return nil
}

// bearer returns the secret of the Authorization header, or "".
func bearer(h http.Header) (string, error) {
	values := h.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	scheme, secret, ok := strings.Cut(values[0], " ")
	secret = strings.TrimSpace(secret)
	if len(values) > 1 || !ok || !strings.EqualFold(scheme, "Bearer") || secret == "" {
		return "", refusal.NotRun(http.StatusUnauthorized, "key_malformed", "send one header: Authorization: Bearer KEY")
	}
	return secret, nil
}

// missing tells a call without a key from one whose key is in a wrong place.
func missing(c *call.Call) error {
	for _, v := range places(c) {
		if _, ok := c.Document.Key(key.Hash(v)); ok {
			return refusal.NotRun(http.StatusUnauthorized, "key_misplaced", "the key is in a wrong place; send it as Authorization: Bearer KEY")
		}
	}
	return nil
}

// places returns the values at which a caller may have put a key by mistake.
func places(c *call.Call) []string {
	var found []string
	for name, values := range c.Header {
		if name == "Authorization" || name == "Cookie" {
			continue
		}
		for _, v := range values {
			found = append(found, v, strings.TrimPrefix(v, "Bearer "))
		}
	}
	for _, cookie := range (&http.Request{Header: c.Header}).Cookies() {
		found = append(found, cookie.Value)
	}
	if q, err := url.ParseQuery(c.Query); err == nil {
		for _, values := range q {
			found = append(found, values...)
		}
	}
	return found
}

// astray reports whether the secret stands where a target would read it.
// Cookies and headers outside a short list never reach a target.
func astray(c *call.Call, secret string) bool {
	for _, name := range outbound.Headers {
		for _, v := range c.Header.Values(name) {
			if strings.Contains(v, secret) {
				return true
			}
		}
	}
	query, err := url.QueryUnescape(c.Query)
	if err != nil {
		query = c.Query
	}
	return strings.Contains(query, secret) || strings.Contains(c.Path, secret) || bytes.Contains(c.Body, []byte(secret))
}
