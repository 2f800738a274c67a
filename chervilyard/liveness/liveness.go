// Package liveness tells whether a target whose connections broke has ended.
package liveness

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds a connection attempt. A target that has ended refuses at once.
	dialTimeout = 150 * time.Millisecond
	// recheckDelay is the time before a second attempt: the listener of a process that ends
	// may outlive its connections for a moment.
	recheckDelay = 20 * time.Millisecond
	// reuseTime is how long the answer that a target has ended is used again. It is less than
	// a target takes to restart.
	reuseTime = time.Second
)

// Checker checks whether targets have ended. The zero value is ready to use. It is safe for
// concurrent use.
type Checker struct {
	// Dial connects to an address. If it is nil, net.Dialer with TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	checks map[string]*check // by address
}

// check is a check of one address. Its other fields may be read once done is closed.
type check struct {
	started time.Time
	done    chan struct{}
	ended   bool
}

// Ended reports whether the target at the address refuses connections. It returns false if
// that is not known within a fraction of a second, or before ctx is done. Calls for one
// address share a check.
func (c *Checker) Ended(ctx context.Context, now time.Time, address string) bool {
	c.mu.Lock()
	maps.DeleteFunc(c.checks, func(_ string, k *check) bool { return k.isDone() && (!k.ended || now.Sub(k.started) >= reuseTime) })
	k := c.checks[address]
	if k == nil {
		k = &check{started: now, done: make(chan struct{})}
		if c.checks == nil {
			c.checks = make(map[string]*check)
		}
		c.checks[address] = k
		c.mu.Unlock()
		// Others wait for the result, also if this caller leaves.
		k.ended = c.refuses(context.WithoutCancel(ctx), address)
		close(k.done)
		return k.ended
	}
	c.mu.Unlock()
	select {
	case <-k.done:
		return k.ended
	case <-ctx.Done():
		return false
	}
}

func (k *check) isDone() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

// refuses reports whether the address refuses a connection, now or after recheckDelay.
func (c *Checker) refuses(ctx context.Context, address string) bool {
	for attempt := range 2 {
		if attempt > 0 {
			time.Sleep(recheckDelay)
		}
		conn, err := c.dial(ctx, address)
		if err == nil {
			_ = conn.Close() // nothing was sent on it
			continue
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return false
}

func (c *Checker) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if c.Dial != nil {
		return c.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}
