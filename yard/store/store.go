// Package store is a client of the platform's key-value store. Each value has a
// revision, which supports compare-and-swap and watches.
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

	"chervilyard.example/yard/head"
)

// The kinds of Error.
const (
	Conflict    = "conflict" // the key has another revision than expected; nothing was written
	Unreachable = "down"     // a read failed, or a write did not reach the store
	Unknown     = "unknown"  // the write may or may not have taken effect
	Rejected    = "refused"  // the value is too large for the store; nothing was written
)

const (
	maxValueBytes = 1 << 20         // limit of the platform for one value
	callTimeout   = 2 * time.Second // for Watch, in addition to its wait
)

// Error describes a failed call of the store.
type Error struct {
	Op       string // "get", "put", "list", "watch" or "delete"
	Key      string // key, or prefix for "list"
	Kind     string // Conflict, Unreachable, Unknown or Rejected
	Revision int64  // current revision of the key for Conflict of a put; 0 if unknown
	Err      error  // cause; may be nil
}

// Error implements the error interface.
func (e *Error) Error() string {
	text := fmt.Sprintf("store: %s %s: %s", e.Op, e.Key, e.Kind)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the Kind of the first *Error in err's chain, or "" if there is none.
func KindOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}

// Value is the value of a key. Revision 0 means that the key has no value.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision int64  `json:"revision"`
}

// Client calls one store. OnCall must be set before use. The errors of its methods
// are of type *Error. A Client is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	// OnCall, if not nil, is called before each call of the store with its
	// operation. The platform bills by the number of calls.
	OnCall func(op string)
}

// New returns a client of the store at the base URL, such as http://127.0.0.1:8070.
func New(baseURL string) *Client {
	return &Client{baseURL: baseURL, http: &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     time.Minute,
	}}}
}

// Get returns the value of a key. If the key has no value, the result has revision
// 0.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	return c.read(ctx, "get", key, "", callTimeout)
}

// Watch waits until the key's revision differs from after, but not longer than
// wait, and returns the current value.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (Value, error) {
	query := fmt.Sprintf("?after=%d&wait=%s", after, wait)
	return c.read(ctx, "watch", key, query, wait+callTimeout)
}

// List returns the values of all keys with the given prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]Value, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := c.call(ctx, "list", http.MethodGet, "/v1/list?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, &Error{Op: "list", Key: prefix, Kind: Unreachable, Err: err}
	}
	defer drain(res)
	var values []Value
	if err := decode(res, &values); err != nil {
		return nil, &Error{Op: "list", Key: prefix, Kind: Unreachable, Err: err}
	}
	return values, nil
}

// Put writes data if the key has the expected revision, 0 for a key without a
// value, and returns the new revision. After an Error of kind Unknown the caller
// has to read the key to find out whether the write took effect.
func (c *Client) Put(ctx context.Context, key string, data []byte, expected int64) (int64, error) {
	if len(data) > maxValueBytes {
		return 0, &Error{Op: "put", Key: key, Kind: Rejected, Err: fmt.Errorf("value has %d bytes, more than the limit of %d", len(data), maxValueBytes)}
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := "/v1/kv/" + key + "?revision=" + strconv.FormatInt(expected, 10)
	res, err := c.call(ctx, "put", http.MethodPut, path, data)
	if err != nil {
		return 0, &Error{Op: "put", Key: key, Kind: errorKind(err), Err: err}
	}
	defer drain(res)
	switch {
	case res.StatusCode == http.StatusConflict:
		var v Value
		_ = decodeBody(res, &v) // ignored: the revision is only informative
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

// Delete deletes a key if it has the expected revision.
func (c *Client) Delete(ctx context.Context, key string, expected int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path := "/v1/kv/" + key + "?revision=" + strconv.FormatInt(expected, 10)
	res, err := c.call(ctx, "delete", http.MethodDelete, path, nil)
	if err != nil {
		return &Error{Op: "delete", Key: key, Kind: errorKind(err), Err: err}
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

func (c *Client) read(ctx context.Context, op, key, query string, timeout time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res, err := c.call(ctx, op, http.MethodGet, "/v1/kv/"+key+query, nil)
	if err != nil {
		return Value{}, &Error{Op: op, Key: key, Kind: Unreachable, Err: err}
	}
	defer drain(res)
	if res.StatusCode == http.StatusNotFound {
		return Value{Key: key}, nil
	}
	var v Value
	if err := decode(res, &v); err != nil {
		return Value{}, &Error{Op: op, Key: key, Kind: Unreachable, Err: err}
	}
	return v, nil
}

// call sends a request and returns its response, whose body the caller must close.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte) (*http.Response, error) {
	if c.OnCall != nil {
		c.OnCall(op)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil // prevents the transport from retrying a write
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if err := head.Check(res.StatusCode, res.Header); err != nil {
		_ = res.Body.Close() // nothing of it is used
		return nil, err
	}
	return res, nil
}

// errorKind returns Unreachable if the connection could not be established, so that the
// store cannot have received the call, and Unknown for any other error.
func errorKind(err error) string {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Unreachable
	}
	return Unknown
}

func decode(res *http.Response, v any) error {
	if res.StatusCode != http.StatusOK {
		return errors.New(res.Status)
	}
	return decodeBody(res, v)
}

// decodeBody decodes a response of at most 64 MiB. A longer one gives an error.
func decodeBody(res *http.Response, v any) error {
	return json.NewDecoder(io.LimitReader(res.Body, 64*maxValueBytes)).Decode(v)
}

func drain(res *http.Response) {
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxValueBytes)) // allows reuse of the connection
	_ = res.Body.Close()
}
