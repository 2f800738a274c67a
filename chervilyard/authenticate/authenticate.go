// Package authenticate finds the customer by the key of a request, and refuses
// requests that would pass the key on to a target.
package authenticate

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/targetclient"
	"chervilyard.example/yard/document"
	"chervilyard.example/yard/key"
	"chervilyard.example/yard/refusal"
)

// Stage authenticates calls. Its fields are set before use.
type Stage struct {
	// Document returns the document in force, or a refusal if there is no
	// usable one.
	Document func() (*document.Document, error)
}

// Run sets the document, key hash and customer of the call. A call without a
// key gets no customer; package resolve accepts it on open routes only. A
// misplaced, malformed or unknown key is refused with a *refusal.Refusal.
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
		return checkMisplacedKey(c)
	}
	k, ok := d.Key(key.HashSecret(secret))
	if !ok {
		return refusal.NotRun(http.StatusUnauthorized, "key_unknown", "the key is not known or was withdrawn")
	}
	if reachesTarget(c, secret) {
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

// bearer returns the secret of the Authorization header, or "" if there is no
// such header. It refuses several headers, other schemes and an empty secret.
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

// checkMisplacedKey refuses a call without an Authorization header that carries
// a valid key elsewhere.
func checkMisplacedKey(c *call.Call) error {
	for _, v := range misplacedValues(c) {
		if _, ok := c.Document.Key(key.HashSecret(v)); ok {
			return refusal.NotRun(http.StatusUnauthorized, "key_misplaced", "the key is in a wrong place; send it as Authorization: Bearer KEY")
		}
	}
	return nil
}

// misplacedValues returns the header, cookie and query values in which a caller
// may have sent a key by mistake.
func misplacedValues(c *call.Call) []string {
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

// reachesTarget reports whether the secret is in a part of the request that is
// sent to targets: the path, the query, the body or one of
// targetclient.ForwardedHeaders. Cookies and other headers are not sent.
func reachesTarget(c *call.Call, secret string) bool {
	for _, name := range targetclient.ForwardedHeaders {
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
