// Package store is the client of the platform's key-value service: values with
// revisions, compare-and-swap, and watches.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// The kinds of Error.
const (
	Conflict = "conflict" // another write came first; nothing was written
	Down     = "down"     // nothing reached the store
	Unknown  = "unknown"  // the write may or may not have taken effect
	Refused  = "refused"  // the store refused the call; nothing was written
)

const (
	maxValue    = 1 << 20 // bytes that the platform keeps in one value
	callTimeout = 2 * time.Second
)

// Error is a failed call of the store.
type Error struct {
	Op       string // "get", "put", "list" or "watch"
	Key      string
	Kind     string // Conflict, Down, Unknown or Refused
	Revision int64  // of the value that stands, for Conflict
	Err      error
}

// Error returns the operation, the key, the kind and the cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("store: %s %s: %s", e.Op, e.Key, e.Kind)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of a store error, or "" for any other error.
func KindOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Value is what stands at a key. Revision 0 means that nothing does.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision int64  `json:"revision"`
}

// Client calls one store. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
	// Calls is told of each call, for the count that the platform bills; it may be nil.
	Calls func(op string)
}

// New returns a client of the store at the URL, such as http://127.0.0.1:8070.
func New(base string) *Client {
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Get returns the value of a key. A key without a value has revision 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, "get", key, "", callTimeout)
}

// Watch waits until the key's revision differs from after or the time is over,
// and returns the value that then stands.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error) {
	q := fmt.Sprintf("?after=%d&wait=%s", after, wait)
	return c.read(ctx, "watch", key, q, wait+callTimeout)
}

// List returns the values of all keys with the prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.call(ctx, "list", http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, &Error{Op: "list", Key: prefix, Kind: Down, Err: err}
	}
	defer drain(res)
	var values []Value
	if err := decode(res, &values); err != nil {
		return nil, &Error{Op: "list", Key: prefix, Kind: Down, Err: err}
	}
	return values, nil
}

// Put writes data if the key still has the expected revision, 0 for a key
// without a value, and returns the new revision. After an Error of kind Unknown
// only a read tells whether it took effect.
func (c *Client) Put(ctx context.Context, key string, data []byte, expected int64) (int64, error) {
	if len(data) > maxValue {
		return 0, &Error{Op: "put", Key: key, Kind: Refused, Err: fmt.Errorf("%d bytes are over %d", len(data), maxValue)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := "/v1/kv/" + key + "?revision=" + strconv.FormatInt(expected, 10)
	res, err := c.call(ctx, "put", http.MethodPut, path, data)
	if err != nil {
		return 0, &Error{Op: "put", Key: key, Kind: failure(err), Err: err}
	}
	defer drain(res)
	switch {
	case res.StatusCode == http.StatusConflict:
		var v Value
		_ = decodeBody(res, &v) // the revision is only for the message
		return 0, &Error{Op: "put", Key: key, Kind: Conflict, Revision: v.Revision}
	case res.StatusCode >= http.StatusInternalServerError:
		return 0, &Error{Op: "put", Key: key, Kind: Unknown, Err: errors.New(res.Status)}
	}
	var v Value
	if err := decode(res, &v); err != nil {
		return 0, &Error{Op: "put", Key: key, Kind: Unknown, Err: err}
	}
	return v.Revision, nil
}

// Delete removes a key's value if it still has the expected revision.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := "/v1/kv/" + key + "?revision=" + strconv.FormatInt(expected, 10)
	res, err := c.call(ctx, "delete", http.MethodDelete, path, nil)
	if err != nil {
		return &Error{Op: "delete", Key: key, Kind: failure(err), Err: err}
	}
	defer drain(res)
	switch {
	case res.StatusCode == http.StatusConflict:
		return &Error{Op: "delete", Key: key, Kind: Conflict}
	case res.StatusCode != http.StatusOK:
		return &Error{Op: "delete", Key: key, Kind: Unknown, Err: errors.New(res.Status)}
	}
	return nil
}

func (c *Client) read(ctx context.Context, op, key, query string, limit time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	res, err := c.call(ctx, op, http.MethodGet, "/v1/kv/"+key+query, nil)
	if err != nil {
		return Value{}, &Error{Op: op, Key: key, Kind: Down, Err: err}
	}
	defer drain(res)
	if res.StatusCode == http.StatusNotFound {
		return Value{Key: key}, nil
	}
	var v Value
	if err := decode(res, &v); err != nil {
		return Value{}, &Error{Op: op, Key: key, Kind: Down, Err: err}
	}
	return v, nil
}

func (c *Client) call(ctx context.Context, op, method, path string, body []byte) (*http.Response, error) {
	if c.Calls != nil {
		c.Calls(op)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // the transport must not repeat a write by itself
	return c.http.Do(req)
}

// failure tells a call that never left from one whose answer was lost.
func failure(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Down
	}
	return Unknown
}

func decode(res *http.Response, v any) error {
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return decodeBody(res, v)
}

func decodeBody(res *http.Response, v any) error {
	return json.NewDecoder(io.LimitReader(res.Body, 64*maxValue)).Decode(v)
}

func drain(res *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxValue)) // so that the connection is used again
	_ = res.Body.Close()
}
