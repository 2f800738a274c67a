// Package outbound sends calls to targets with none of what the caller said to
// the gateway alone: no key, no cookie, no header outside a short list.
package outbound

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/chervilyard/pool"
	"chervilyard.example/yard/pause"
	"chervilyard.example/yard/target"
)

// sweepTime is the pause between two looks for connections that are kept for
// nothing: a fraction of the time for which the pool keeps them.
const sweepTime = time.Second

// Headers are the caller's headers that a target gets.
var Headers = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent", "User-Agent"}

// Client sends calls to targets. It is safe for concurrent use.
type Client struct {
	pool pool.Pool
}

// New returns a client.
func New() *Client { return &Client{} }

// Send sends the call to the target once and returns its answer's head. The
// error is a *dispatch.Unsent where nothing can have reached the target.
func (c *Client) Send(ctx context.Context, t target.Target, one *call.Call) (*dispatch.Response, error) {
	header := make(http.Header, len(Headers)+1)
	for _, name := range Headers {
		if v := one.Header.Values(name); len(v) > 0 {
			header[name] = v
		}
	}
	header.Set("X-Request-Id", one.ID)
	res, err := c.pool.Do(ctx, t.Address(), &pool.Request{
		Method: one.Method, Target: one.TargetPath, Host: t.Address(), Header: header, Body: one.TargetBody,
		Fresh: one.Once,
	})
	var f *pool.Failure
	if errors.As(err, &f) && !f.Sent {
		return nil, &dispatch.Unsent{Err: err}
	}
	if err != nil {
		return nil, err
	}
	return &dispatch.Response{Status: res.Status, Header: res.Header, Body: body{res}}, nil
}

// Run closes connections that are kept for nothing until the context ends, and
// closes the returned channel then.
func (c *Client) Run(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, sweepTime, func() { c.pool.Sweep(time.Now()) })
}

// Close closes the connections that are not in use.
func (c *Client) Close() { c.pool.Close() }

// body is an answer's body. Closing it before its end closes the connection.
type body struct{ *pool.Response }

// Close ends the answer.
func (b body) Close() error {
	b.Response.Close()
	return nil
}

var _ io.ReadCloser = body{}
