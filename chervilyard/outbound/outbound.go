// Package outbound sends calls to targets with none of what the caller said to
// the gateway alone: no key, no cookie, no header outside a short list.
package outbound

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"chervilyard.example/chervilyard/call"
	"chervilyard.example/chervilyard/dispatch"
	"chervilyard.example/yard/target"
)

const (
	dialTime  = time.Second
	idleConns = 256 // kept for each target
)

// Headers are the caller's headers that a target gets.
var Headers = []string{"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "Traceparent", "User-Agent"}

// Client sends calls to targets. It is safe for concurrent use.
type Client struct {
	shared *http.Client
	fresh  *http.Client
}

// New returns a client.
func New() *Client {
	return &Client{
		shared: &http.Client{Transport: transport(false), CheckRedirect: noRedirect},
		fresh:  &http.Client{Transport: transport(true), CheckRedirect: noRedirect},
	}
}

// transport with fresh connections never repeats a request by itself, since it
// does so only where a kept connection turns out to be closed.
func transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     time.Minute,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
	}
}

// noRedirect passes redirects on to the caller: to follow one would send the
// call twice, and perhaps out of its residency.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Send sends the call to the target and returns its answer's head. Sent is
// called before anything can reach the target.
func (c *Client) Send(ctx context.Context, t target.Target, one *call.Call, sent func()) (*dispatch.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent() }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), one.Method, "http://"+t.Address()+one.TargetPath, bytes.NewReader(one.TargetBody))
	if err != nil {
		return nil, err
	}
	for _, name := range Headers {
		if v := one.Header.Values(name); len(v) > 0 {
			req.Header[name] = v
		}
	}
	req.Header.Set("X-Request-Id", one.ID)
	client := c.shared
	if one.Once {
		req.GetBody = nil
		client = c.fresh
	}
	res, err := client.Do(req) //nolint:bodyclose // the caller closes the body of the Response
	if err != nil {
		return nil, err
	}
	return &dispatch.Response{Status: res.StatusCode, Header: res.Header, Body: res.Body}, nil
}

// Close closes idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}
