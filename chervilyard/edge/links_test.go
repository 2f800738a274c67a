package edge_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"chervilyard.example/chervilyard/pool"
)

// targetLinks are the links between instances and targets, which a test can cut each by itself. The
// zero value has none that is cut. The kinds of cut are:
//
//	refused    new connections are refused, open ones are reset
//	reset      new connections are reset once something is sent, open ones at once
//	hanging    connections deliver nothing in either direction; new ones are not made in time
//	half-open  open connections go on, new ones are reset once something is sent
type targetLinks struct {
	mu    sync.Mutex
	cuts  map[link]string // kind
	conns map[*linkConn]bool
}

type link struct{ instance, address string }

// cut cuts a link, or mends it if kind is "".
func (l *targetLinks) cut(instance, address, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts == nil {
		l.cuts = make(map[link]string)
	}
	l.cuts[link{instance, address}] = kind
	for c := range l.conns {
		if c.link == (link{instance, address}) && (kind == "refused" || kind == "reset") {
			_ = c.SetLinger(0)
			_ = c.Close() // its reader gets the error
			delete(l.conns, c)
		}
	}
}

func (l *targetLinks) kind(instance, address string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[link{instance, address}]
}

func (l *targetLinks) dial(ctx context.Context, instance, address string) (net.Conn, error) {
	kind := l.kind(instance, address)
	switch kind {
	case "refused":
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case "hanging":
		select {
		case <-ctx.Done():
		case <-time.After(700 * time.Millisecond):
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	raw, err := pool.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: raw.(*net.TCPConn), links: l, link: link{instance, address}, resets: kind != ""}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*linkConn]bool)
	}
	l.conns[c] = true
	return c, nil
}

// linkConn is a connection over a link.
type linkConn struct {
	*net.TCPConn
	links  *targetLinks
	link   link
	resets bool // made while new connections were reset
}

func (c *linkConn) hangs() bool { return c.links.kind(c.link.instance, c.link.address) == "hanging" }

// Write loses what is written while the link hangs.
func (c *linkConn) Write(p []byte) (int, error) {
	switch {
	case c.resets:
		_ = c.Close()
		return len(p), nil
	case c.hangs():
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// Read returns nothing while the link hangs, and fails after as long as the kernel waits for
// acknowledgements.
func (c *linkConn) Read(p []byte) (int, error) {
	if c.resets {
		return 0, syscall.ECONNRESET
	}
	n, err := c.TCPConn.Read(p)
	for waited := time.Duration(0); c.hangs(); waited += 10 * time.Millisecond {
		if waited > 2500*time.Millisecond {
			return 0, syscall.ETIMEDOUT
		}
		time.Sleep(10 * time.Millisecond)
	}
	return n, err
}

// Close closes the connection.
func (c *linkConn) Close() error {
	go c.links.forget(c) // cut holds the lock as it closes connections
	return c.TCPConn.Close()
}

func (l *targetLinks) forget(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
