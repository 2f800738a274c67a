// Package targetclient sends calls to targets. It passes on only the request headers in
// a short allowlist, so that targets receive neither the API key nor the cookies of a
// caller.
package targetclient

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

// sweepInterval is the interval at which expired idle connections are closed. It is a
// fraction of the time for which the pool keeps them.
const sweepInterval = time.Second

// ForwardedHeaders lists the request headers that are passed on to a target. It
// must not be modified.
var ForwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent", "User-Agent"}

// Client sends calls to targets over pooled connections. The zero value is ready for
// use. A Client is safe for concurrent use.
type Client struct {
	pool pool.Pool
}

// New returns a client without connections.
func New() *Client { return &Client{} }

// Bound closes idle connections above a number, 0 for no limit, and calls onClose for each. It
// must be called before the first Send.
func (c *Client) Bound(limit int, onClose func()) {
	c.pool.MaxOpen, c.pool.OnIdleClosed = func() int { return limit }, onClose
}

// Open returns the number of connections, and how many of them are idle.
func (c *Client) Open() (all, idle int) { return c.pool.Open(), c.pool.Idle() }

// Send sends the call to the target once, without retries, and returns the head of
// the response. A non-idempotent call gets a new connection. The error is a
// *dispatch.NotSentError if no byte of the call can have reached the target. The
// caller must close the response body. If ctx is done before the end of the body, the
// connection is closed.
func (c *Client) Send(ctx context.Context, t target.Target, request *call.Call) (*dispatch.Response, error) {
	header := make(http.Header, len(ForwardedHeaders)+1)
	for _, name := range ForwardedHeaders {
		if v := request.Header.Values(name); len(v) > 0 {
			header[name] = v
		}
	}
	header.Set("X-Request-Id", request.ID)
	res, err := c.pool.Do(ctx, t.Address(), &pool.Request{
		Method: request.Method, RequestTarget: request.TargetPath, Host: t.Address(), Header: header, Body: request.TargetBody,
		NewConn: request.NonIdempotent,
	})
	var failure *pool.Error
	if errors.As(err, &failure) && !failure.MaybeSent {
		return nil, &dispatch.NotSentError{Err: err}
	}
	if err != nil {
		return nil, err
	}
	return &dispatch.Response{
		Status: res.Status, Header: res.Header, Body: responseBody{res},
		EndsWithConnection: res.Framing() == pool.FramedByClose,
	}, nil
}

// RunIdleSweep starts a goroutine that closes expired idle connections at a fixed
// interval. The goroutine stops when ctx is done; the returned channel is then closed.
func (c *Client) RunIdleSweep(ctx context.Context) <-chan struct{} {
	return pause.Every(ctx, sweepInterval, func() { c.pool.CloseExpired(time.Now()) })
}

// CloseIdle closes the idle connections. Calls in flight are not affected.
func (c *Client) CloseIdle() { c.pool.Close() }

// responseBody is the body of a response. If it is closed before it was read to its
// end, the connection is closed and not reused.
type responseBody struct{ *pool.Response }

// Close implements io.Closer.
func (b responseBody) Close() error {
	b.Response.Close()
	return nil
}

var _ io.ReadCloser = responseBody{}
