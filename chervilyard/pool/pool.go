// Package pool sends HTTP/1.1 requests over kept connections and tells exactly
// whether a byte of a request may have reached the other side. Unlike
// http.Transport it never sends a request twice.
package pool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// dialTime bounds the making of a connection: a lost opening packet is
	// repeated after a second, which is later than trying elsewhere.
	dialTime = 700 * time.Millisecond
	// idleTime is how long a connection is kept where the other side names no
	// time of its own.
	idleTime = 4 * time.Second
	// idlePart of the time that the other side names is used at most, since a
	// request may cross the close at its end.
	idlePart = 0.6
	// maxIdle connections are kept for each address.
	maxIdle = 64
	// probeTime is the silence after which the kernel probes a connection, and
	// the pause between probes; probeCount probes without an answer end it.
	probeTime  = time.Second
	probeCount = 2
	// silence without a byte of an answer is longer than a connection takes that
	// is open: where a request ends after it, the path may be gone.
	silence = 500 * time.Millisecond
)

// Failure is a request that got no answer.
type Failure struct {
	Op      string // "dial", "write" or "read"
	Address string
	Sent    bool // a byte may have reached the other side
	Err     error
}

// Error returns the operation, the address and the cause.
func (f *Failure) Error() string { return "pool: " + f.Op + " " + f.Address + ": " + f.Err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Request is one request to send. Header must not hold the fields that frame
// the message; the pool sets those.
type Request struct {
	Method string
	Target string // as it stands in the request line
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection, so that no close can cross the request.
	Fresh bool
	// Began is told when there is a connection, before a byte is sent; it may be nil.
	Began func()
	// Owns reports whether an answer belongs to this request; nil accepts all.
	// Answers of others, left from an abandoned request, are skipped.
	Owns func(http.Header) bool
}

// Pool holds connections by address. The zero value is ready to use. It is safe
// for concurrent use.
type Pool struct {
	// Dialed is told of each new connection; it may be nil.
	Dialed func(address string)

	mu   sync.Mutex
	idle map[string][]*conn
}

// Do sends the request and returns the answer's head. The caller reads the body
// to its end or closes it. When the context ends, so does the connection. The
// error is a *Failure.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.conn(ctx, address, r.Fresh)
	if err != nil {
		return nil, &Failure{Op: "dial", Address: address, Err: err}
	}
	if r.Began != nil {
		r.Began()
	}
	stop := context.AfterFunc(ctx, func() { _ = c.raw.Close() }) // a second close is harmless
	began := time.Now()
	resp, err := c.roundTrip(r)
	if err != nil {
		stop()
		_ = c.raw.Close() // it failed already
		if ctx.Err() == nil || time.Since(began) >= silence {
			p.distrust(address, began)
		}
		var f *Failure
		if errors.As(err, &f) {
			f.Address = address
			return nil, f
		}
		return nil, &Failure{Op: "read", Address: address, Sent: true, Err: err}
	}
	resp.stop = stop
	resp.done = func(c *conn) { p.keep(address, c) }
	return resp, nil
}

// conn returns a kept connection on which nothing came in meanwhile, or a new one.
func (p *Pool) conn(ctx context.Context, address string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		_ = c.raw.Close() // of no use any more
	}
	d := net.Dialer{
		Timeout:         dialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeTime, Interval: probeTime, Count: probeCount},
		Control:         userTimeout,
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.Dialed != nil {
		p.Dialed(address)
	}
	return newConn(raw), nil
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1] // the one used last is the likeliest to be open
	p.idle[address] = list[:len(list)-1]
	return c
}

// keep puts a connection back for later requests.
func (p *Pool) keep(address string, c *conn) {
	c.kept = time.Now()
	c.until = c.kept.Add(c.idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[address]) >= maxIdle {
		_ = c.raw.Close() // nothing is open on it
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// distrust closes the connections that were kept before a request that got no
// answer began: what broke its connection, or made it fall silent, may have done
// so to all, and the next request would find out on each.
func (p *Pool) distrust(address string, began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh := p.idle[address][:0]
	for _, c := range p.idle[address] {
		if c.kept.After(began) {
			fresh = append(fresh, c)
			continue
		}
		_ = c.raw.Close() // nothing is open on it
	}
	if len(fresh) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = fresh
}

// Sweep closes the kept connections whose time is over.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.raw.Close() // nothing is open on it
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Close closes all kept connections.
func (p *Pool) Close() { p.Sweep(time.Now().Add(24 * time.Hour)) }
