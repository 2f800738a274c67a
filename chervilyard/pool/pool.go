// Package pool sends HTTP/1.1 requests over persistent connections and reports
// exactly whether any byte of a failed request may have reached the server. Unlike
// http.Transport, it never sends a request twice.
package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds connection setup. A lost SYN is retransmitted after one
	// second, by which time the request is better sent elsewhere.
	dialTimeout = 700 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept at most, and the time
	// used where the server states none.
	maxIdleTime = 4 * time.Second
	// idleTimeFraction is the part of the server's stated idle timeout for which a
	// connection is reused, since a request may cross the close at its end.
	idleTimeFraction = 0.6
	// maxIdleConns is the number of idle connections kept for each address.
	maxIdleConns = 64
	// keepAliveInterval is the idle time before the kernel sends the first
	// keep-alive probe and the interval between probes. After keepAliveCount
	// unanswered probes the connection is closed.
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// silenceThreshold is longer than a working connection takes to deliver the
	// first byte of a response. If a request is canceled after it, the network
	// path may be broken.
	silenceThreshold = 500 * time.Millisecond
)

// OpAdmit is the operation of the error of a request that Request.Admit withheld.
const OpAdmit = "admit"

var errWithheld = errors.New("the request was withheld")

// Error is the error of a request that got no response.
type Error struct {
	Op        string // "dial", OpAdmit, "write" or "read"; other packages may set other operations
	Address   string
	MaybeSent bool // a byte may have reached the server
	Kept      bool // the connection had a request before
	Err       error
}

// Error returns the operation, the address and the cause.
func (e *Error) Error() string { return "pool: " + e.Op + " " + e.Address + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Request is one request to send. Header must not contain the fields that frame
// the message, since the pool sets them.
type Request struct {
	Method        string
	RequestTarget string // the request target as sent in the request line
	Host          string
	Header        http.Header
	Body          []byte
	// Pieces follow Body. They must not be modified until the response has ended.
	Pieces [][]byte
	// NewConn requests a new connection, on which the request cannot cross a close by
	// the server.
	NewConn bool
	// Admit is called once there is a connection, before a byte is sent. If it returns
	// false, nothing is sent, and the error is a *Error with OpAdmit. It may be nil.
	Admit func() bool
	// OnWritten is called once the header, and a short body, have been written. It may be
	// nil.
	OnWritten func()
	// OnReceived is called whenever bytes arrive on the connection until the response has ended.
	// It may be nil.
	OnReceived func()
	// Accepts reports whether a response belongs to this request. Responses to other requests
	// are skipped. There may be some on a kept connection, which had other requests before. If
	// it is nil, all responses belong to the request.
	Accepts func(h http.Header, kept bool) bool
}

// bodyLength returns the length of the body in bytes.
func (r *Request) bodyLength() int {
	n := len(r.Body)
	for _, piece := range r.Pieces {
		n += len(piece)
	}
	return n
}

// Pool holds idle connections by address. The zero value is ready to use. A Pool is
// safe for concurrent use.
type Pool struct {
	// Dial connects to an address within the time in which a new connection is worth waiting
	// for. If it is nil, Dial of this package is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial is called with the address of each new connection. It may be nil.
	OnDial func(address string)
	// MaxOpen returns the number of connections above which idle ones are closed, the one that
	// has been idle for longest first; 0 for no limit. Those in use are
	// not closed: the number of requests has to be bounded elsewhere. It may be nil.
	MaxOpen func() int
	// OnIdleClosed is called for each connection that was closed because of MaxOpen. It may be
	// nil.
	OnIdleClosed func()

	open atomic.Int64 // connections that are open or being opened

	mu   sync.Mutex
	idle map[string][]*conn
}

// Do sends the request and returns the response once its header has been read. The
// caller must read the body to its end or close it. When ctx is done, the
// connection is closed. The error is an *Error.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, r.NewConn)
	if err != nil {
		return nil, &Error{Op: "dial", Address: address, Err: err}
	}
	if ctx.Err() != nil {
		c.close() // nothing was sent on it
		return nil, &Error{Op: "dial", Address: address, Err: context.Cause(ctx)}
	}
	if r.Admit != nil && !r.Admit() {
		c.close() // nothing was sent on it
		return nil, &Error{Op: OpAdmit, Address: address, Err: errWithheld}
	}
	stopClose := context.AfterFunc(ctx, func() { c.close() }) // closing twice is harmless
	start := time.Now()
	resp, err := c.roundTrip(r)
	if err != nil {
		stopClose()
		c.close() // the connection has already failed
		if ctx.Err() == nil || time.Since(start) >= silenceThreshold {
			p.closeIdleBefore(address, start)
		}
		var poolErr *Error
		if errors.As(err, &poolErr) {
			poolErr.Address, poolErr.Kept = address, c.kept
			return nil, poolErr
		}
		return nil, &Error{Op: "read", Address: address, MaybeSent: true, Kept: c.kept, Err: err}
	}
	resp.stopClose, resp.Kept = stopClose, c.kept
	resp.release = func(c *conn) { p.putIdle(address, c) }
	return resp, nil
}

// acquire returns an idle connection that is open and has no unread data, or a
// new one if there is none or forceNew is true.
func (p *Pool) acquire(ctx context.Context, address string, forceNew bool) (*conn, error) {
	for !forceNew {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && c.idleAndOpen() {
			return c, nil
		}
		c.close() // expired, closed by the server, or has unread data
	}
	dial := p.Dial
	if dial == nil {
		dial = Dial
	}
	p.open.Add(1)
	p.closeExcess()
	raw, err := dial(ctx, address)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial(address)
	}
	c := newConn(raw)
	c.pool = p
	return c, nil
}

// Open returns the number of connections that are open or being opened.
func (p *Pool) Open() int { return int(p.open.Load()) }

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// aboveLimit reports whether more connections are open than MaxOpen.
func (p *Pool) aboveLimit() bool {
	if p.MaxOpen == nil {
		return false
	}
	limit := p.MaxOpen()
	return limit > 0 && p.Open() > limit
}

// closeExcess closes idle connections until the limit is kept or there are none.
func (p *Pool) closeExcess() {
	for p.aboveLimit() {
		c := p.takeOldestIdle()
		if c == nil {
			return
		}
		c.close()
		if p.OnIdleClosed != nil {
			p.OnIdleClosed()
		}
	}
}

// takeOldestIdle removes the connection that has been idle for longest and returns it, or nil
// if there is none.
func (p *Pool) takeOldestIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *conn
	from := ""
	for address, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleSince.Before(oldest.idleSince)) {
			oldest, from = list[0], address
		}
	}
	if oldest != nil {
		p.idle[from] = slices.Delete(p.idle[from], 0, 1)
	}
	return oldest
}

// Dial connects to an address with TCP. Connections whose other end is silent for seconds fail.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         setUserTimeout,
	}
	return d.DialContext(ctx, "tcp", address)
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1] // the most recently used connection is the most likely to be open
	p.idle[address] = list[:len(list)-1]
	return c
}

// putIdle makes a connection available to later requests.
func (p *Pool) putIdle(address string, c *conn) {
	c.kept, c.idleSince, c.onReceived = true, time.Now(), nil
	c.expires = c.idleSince.Add(c.idleTimeout)
	defer p.closeExcess()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[address]) >= maxIdleConns {
		c.close() // no request uses it
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// closeIdleBefore closes the connections to the address that became idle before
// start, the start of a request that got no response. The same fault may have
// affected all of them, and each further request would have to detect it again.
func (p *Pool) closeIdleBefore(address string, start time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	newer := p.idle[address][:0]
	for _, c := range p.idle[address] {
		if c.idleSince.After(start) {
			newer = append(newer, c)
			continue
		}
		c.close() // no request uses it
	}
	if len(newer) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = newer
}

// CloseIdle closes the idle connections to the address.
func (p *Pool) CloseIdle(address string) { p.closeIdleBefore(address, time.Now()) }

// CloseExpired closes the idle connections that have expired at the time now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.close() // no request uses it
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.CloseExpired(time.Now().Add(24 * time.Hour)) }
